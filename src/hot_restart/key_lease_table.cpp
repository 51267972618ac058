#include "hot_restart/key_lease_table.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <string>

namespace granitegap::hot_restart {
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

std::uint64_t KeyLeaseTable::check_of(const KeyLease& claim) {
  return XXH3_64bits(&claim, offsetof(KeyLease, check)) | 1;  // never 0, which is a free place
}
std::uint64_t KeyLeaseTable::check_of(const Head& head) {
  return XXH3_64bits(&head, offsetof(Head, doubt_until_us)) | 1;
}

void KeyLeaseTable::put_in_doubt(UnixTime now, Duration longest) {
  head_.doubt_until_us = std::max(head_.doubt_until_us, us(now + longest));
}

bool KeyLeaseTable::adopt(UnixTime now, Duration longest) {
  if (head_.magic == kMagic && head_.places == places_.size() && head_.check == check_of(head_)) {
    // Guards against a doubt without an end, as after a clock that was far ahead.
    head_.doubt_until_us = std::min(head_.doubt_until_us, us(now + longest));
    return true;
  }
  const auto* bytes = reinterpret_cast<const unsigned char*>(&head_);
  const bool blank = std::all_of(bytes, bytes + sizeof head_, [](unsigned char b) { return b == 0; });
  head_ = Head{};
  std::fill(places_.begin(), places_.end(), KeyLease{});
  head_.magic = kMagic;
  head_.places = places_.size();
  head_.check = check_of(head_);
  if (!blank) put_in_doubt(now, longest);
  return blank;
}

Verdict KeyLeaseTable::claim(const Token& token, UnixTime reached, Duration span, std::uint64_t boot_id,
                             UnixTime now, Duration longest) {
  KeyLease* free = nullptr;
  KeyLease* found = nullptr;
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
      place = KeyLease{};
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
  if (found && found->boot_id != boot_id && us(reached) <= found->until_us) return Verdict::theirs;
  auto* to = found ? found : free;
  if (!to) return Verdict::doubt;
  KeyLease fresh{token, us(reached), us(reached + span), boot_id, 0};
  fresh.check = check_of(fresh);
  *to = fresh;
  return Verdict::mine;
}

void KeyLeaseTable::never_ran(const Token& token, std::uint64_t boot_id) {
  for (std::size_t k = 0; k < std::min(kProbes, places_.size()); ++k) {
    auto& place = places_[(token.low + k) % places_.size()];
    if (place.check != 0 && place.token == token && place.boot_id == boot_id) place = KeyLease{};
  }
}

std::size_t KeyLeaseTable::in_force(UnixTime now) const {
  return std::size_t(std::count_if(places_.begin(), places_.end(),
                                   [&](const auto& p) { return p.check != 0 && p.until_us >= us(now); }));
}

}  // namespace granitegap::hot_restart
