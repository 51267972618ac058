#include "deps/cache_fill.h"

#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace granitegap::deps {
namespace {

constexpr std::string_view kFill = "/fill/";
constexpr std::size_t kMaxPath = 4096, kMaxName = 253;
constexpr Duration kMaxSpan = std::chrono::hours(24 * 7);

// Up to the next '/', which is taken away too.
std::string_view cut(std::string_view& text) {
  const auto at = std::min(text.find('/'), text.size());
  const auto word = text.substr(0, at);
  text.remove_prefix(std::min(at + 1, text.size()));
  return word;
}

template <class T>
bool number(std::string_view text, T& to, int base = 10) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), to, base);
  return error == std::errc{} && end == text.data() + text.size();
}

bool span(std::string_view text, Duration& to) {
  std::int64_t us = 0;
  if (!number(text, us) || us < 0 || us > kMaxSpan.count()) return false;
  to = Duration(us);
  return true;
}

}  // namespace

void KeyOwners::see(const membership::View& view) {
  own_ = view.own_hash;
  sure_ = membership::is_reliable(view) && !view.name_conflict;
  std::vector<Other> fresh;
  for (const auto& p : view.peers) {
    if (!membership::is_available(p) || p.metadata.cache_fill_port == 0) continue;
    char host[INET6_ADDRSTRLEN];
    if (!::inet_ntop(p.address.v6 ? AF_INET6 : AF_INET, p.address.ip.data(), host, sizeof host)) continue;
    Other o{{p.hash, p.boot_id, {host, p.metadata.cache_fill_port}}, {}, 0};
    // Of another life nothing is held against it.
    if (const auto* known = find(p.hash); known && known->owner.boot_id == p.boot_id)
      o.until = known->until, o.in_a_row = known->in_a_row;
    fresh.push_back(std::move(o));
  }
  std::sort(fresh.begin(), fresh.end(),
            [](const Other& a, const Other& b) { return a.owner.hash < b.owner.hash; });
  others_ = std::move(fresh);
}

KeyOwners::Other* KeyOwners::find(std::uint64_t member) {
  const auto at = std::lower_bound(others_.begin(), others_.end(), member,
                                   [](const Other& o, std::uint64_t hash) { return o.owner.hash < hash; });
  return at != others_.end() && at->owner.hash == member ? &*at : nullptr;
}

std::optional<KeyOwner> KeyOwners::of(std::uint64_t key, TimePoint now) const {
  if (!sure_) return std::nullopt;
  const Other* best = nullptr;
  std::uint64_t most = membership::rendezvous_score(own_, key), whose = own_;
  for (const auto& o : others_) {
    if (now < o.until) continue;
    const auto s = membership::rendezvous_score(o.owner.hash, key);
    if (s < most || (s == most && o.owner.hash < whose)) continue;
    best = &o, most = s, whose = o.owner.hash;
  }
  if (!best) return std::nullopt;
  return best->owner;
}

void KeyOwners::failed(std::uint64_t member, TimePoint now) {
  auto* o = find(member);
  if (!o || now < o->until) return;  // of those asked together the first failure counts
  o->until = now + std::min(kPassedOver * (std::int64_t(1) << std::min(o->in_a_row, 10u)), kPassedOverMost);
  ++o->in_a_row;
}

void KeyOwners::answered(std::uint64_t member) {
  if (auto* o = find(member)) o->until = {}, o->in_a_row = 0;
}

std::uint64_t cache_fill_key(std::string_view dependency, std::string_view path) {
  return XXH3_64bits_withSeed(path.data(), path.size(), XXH3_64bits(dependency.data(), dependency.size()));
}

std::string target_of(const CacheFillRequest& q) {
  char boot_id[17];
  const auto end = std::to_chars(boot_id, boot_id + sizeof boot_id, std::uint64_t(q.to), 16).ptr;
  return std::string(kFill) + std::string(boot_id, end) + "/" + std::to_string(q.fresh.count()) + "/" +
         std::to_string(q.within.count()) + "/" + q.dependency + q.path;
}

std::optional<CacheFillRequest> read_target(std::string_view text) {
  if (!text.starts_with(kFill) || text.size() > kMaxPath) return std::nullopt;
  text.remove_prefix(kFill.size());
  CacheFillRequest q;
  std::uint64_t boot_id = 0;
  if (!number(cut(text), boot_id, 16) || !span(cut(text), q.fresh) || !span(cut(text), q.within))
    return std::nullopt;
  q.to = membership::BootId(boot_id);
  const auto path = text.find('/');
  if (path == std::string_view::npos || path == 0 || path > kMaxName) return std::nullopt;
  q.dependency = text.substr(0, path);
  q.path = text.substr(path);
  // Guards against a target that would become more than one line of the call below.
  for (const char c : q.path)
    if (c <= ' ' || c >= 127) return std::nullopt;
  return q;
}

std::string filled(Duration age, std::string_view body) {
  return std::to_string(std::max<std::int64_t>(age.count(), 0)).append("\n").append(body);
}

std::optional<CacheFillResponse> read_filled(const std::string& bytes) {
  const auto line = bytes.find('\n');
  CacheFillResponse f;
  if (line == std::string::npos || !span(std::string_view(bytes).substr(0, line), f.age)) return std::nullopt;
  f.body = bytes.substr(line + 1);
  return f;
}

}  // namespace granitegap::deps
