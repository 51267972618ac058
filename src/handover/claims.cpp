#include "handover/claims.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <string>

namespace granitegap::handover {
namespace {

constexpr std::uint64_t kMagic = 0x67676170636c6d31;  // the last digit is the format's version
constexpr Duration kClocksApart = std::chrono::seconds(2);

std::int64_t us(UnixTime t) { return t.time_since_epoch().count(); }

}  // namespace

Token token_of(std::string_view cls, std::string_view token) {
  auto text = std::to_string(cls.size()).append(1, ':').append(cls).append(token);
  const auto hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

std::uint64_t Claims::check_of(const Claim& claim) {
  return XXH3_64bits(&claim, offsetof(Claim, check)) | 1;  // never 0, which is a free place
}
std::uint64_t Claims::check_of(const Head& head) {
  return XXH3_64bits(&head, offsetof(Head, doubt_until_us)) | 1;
}

void Claims::put_in_doubt(UnixTime now, Duration longest) {
  head_.doubt_until_us = std::max(head_.doubt_until_us, us(now + longest));
}

bool Claims::adopt(UnixTime now, Duration longest) {
  if (head_.magic == kMagic && head_.places == places_.size() && head_.check == check_of(head_)) {
    // Guards against a doubt without an end, as after a clock that was far ahead.
    head_.doubt_until_us = std::min(head_.doubt_until_us, us(now + longest));
    return true;
  }
  const auto* bytes = reinterpret_cast<const unsigned char*>(&head_);
  const bool blank = std::all_of(bytes, bytes + sizeof head_, [](unsigned char b) { return b == 0; });
  head_ = Head{};
  std::fill(places_.begin(), places_.end(), Claim{});
  head_.magic = kMagic;
  head_.places = places_.size();
  head_.check = check_of(head_);
  if (!blank) put_in_doubt(now, longest);
  return blank;
}

Verdict Claims::claim(const Token& token, UnixTime reached, Duration span, std::uint64_t life, UnixTime now,
                      Duration longest) {
  Claim* free = nullptr;
  Claim* found = nullptr;
  for (std::size_t k = 0; k < std::min(kProbes, places_.size()); ++k) {
    auto& place = places_[(token.low + k) % places_.size()];
    if (place.check == 0) {
      if (!free) free = &place;
      continue;
    }
    // A record torn by a kill, or spoilt: whose it was nobody knows.
    if (place.check != check_of(place) || place.reached_us > us(now + kClocksApart) ||
        place.until_us > us(now + kClocksApart + longest)) {
      put_in_doubt(now, longest);
      place = Claim{};
      if (!free) free = &place;
      continue;
    }
    if (place.token == token) {
      found = &place;
      break;
    }
    // For longer than any try that came in its window may still be on its way.
    if (!free && place.until_us + longest.count() < us(now)) free = &place;
  }
  if (us(now) < head_.doubt_until_us) return Verdict::doubt;
  if (found && found->life != life && us(reached) <= found->until_us) return Verdict::theirs;
  auto* to = found ? found : free;
  if (!to) return Verdict::doubt;
  Claim fresh{token, us(reached), us(reached + span), life, 0};
  fresh.check = check_of(fresh);
  *to = fresh;
  return Verdict::mine;
}

void Claims::never_ran(const Token& token, std::uint64_t life) {
  for (std::size_t k = 0; k < std::min(kProbes, places_.size()); ++k) {
    auto& place = places_[(token.low + k) % places_.size()];
    if (place.check != 0 && place.token == token && place.life == life) place = Claim{};
  }
}

std::size_t Claims::in_force(UnixTime now) const {
  return std::size_t(std::count_if(places_.begin(), places_.end(),
                                   [&](const auto& p) { return p.check != 0 && p.until_us >= us(now); }));
}

}  // namespace granitegap::handover
