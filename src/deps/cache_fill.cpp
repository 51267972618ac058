#include "deps/cache_fill.h"

#include <arpa/inet.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace granitegap::deps {
namespace {

constexpr std::string_view kTargetPrefix = "/fill/";
constexpr std::size_t kMaxTargetBytes = 4096, kMaxHostBytes = 253;
constexpr Duration kMaxDuration = std::chrono::hours(24 * 7);
constexpr std::uint32_t kMaxBackoffDoublings = 10;
constexpr int kHexadecimal = 16;

// Removes the text up to and including the next '/' and returns it without the '/'.
std::string_view take_segment(std::string_view& text) {
  const auto end = std::min(text.find('/'), text.size());
  const auto segment = text.substr(0, end);
  text.remove_prefix(std::min(end + 1, text.size()));
  return segment;
}

// Returns false unless the whole text is a number that fits.
template <class Number>
bool parse_number(std::string_view text, Number& number, int base = 10) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
  return error == std::errc{} && end == text.data() + text.size();
}

// Parses a number of microseconds from 0 to kMaxDuration.
bool parse_duration(std::string_view text, Duration& duration) {
  std::int64_t microseconds = 0;
  if (!parse_number(text, microseconds) || microseconds < 0 || microseconds > kMaxDuration.count())
    return false;
  duration = Duration(microseconds);
  return true;
}

// Returns the address at which a member accepts cache fills; absent when it accepts none.
std::optional<EndpointSpec> cache_fill_address(const membership::View::Peer& peer) {
  if (!membership::is_available(peer) || peer.metadata.cache_fill_port == 0) return std::nullopt;
  char host[INET6_ADDRSTRLEN];
  const int family = peer.address.v6 ? AF_INET6 : AF_INET;
  if (!::inet_ntop(family, peer.address.ip.data(), host, sizeof host)) return std::nullopt;
  return EndpointSpec{host, peer.metadata.cache_fill_port};
}

bool is_printable(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

}  // namespace

// ---- KeyOwnerSelector ----

void KeyOwnerSelector::update_view(const membership::View& view) {
  own_hash_ = view.own_hash;
  view_is_reliable_ = membership::is_reliable(view) && !view.name_conflict;
  std::vector<Candidate> candidates;
  for (const auto& peer : view.peers) {
    auto address = cache_fill_address(peer);
    if (!address) continue;
    Candidate candidate{{peer.hash, peer.boot_id, *std::move(address)}, {}, 0};
    const auto* known = find(peer.hash);
    if (known && known->owner.boot_id == peer.boot_id) {
      candidate.skipped_until = known->skipped_until;
      candidate.consecutive_failures = known->consecutive_failures;
    }
    candidates.push_back(std::move(candidate));
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.owner.member_hash < b.owner.member_hash; });
  candidates_ = std::move(candidates);
}

KeyOwnerSelector::Candidate* KeyOwnerSelector::find(std::uint64_t member) {
  const auto found = std::lower_bound(
      candidates_.begin(), candidates_.end(), member,
      [](const Candidate& candidate, std::uint64_t hash) { return candidate.owner.member_hash < hash; });
  return found != candidates_.end() && found->owner.member_hash == member ? &*found : nullptr;
}

std::optional<KeyOwner> KeyOwnerSelector::find_owner(std::uint64_t key, TimePoint now) const {
  if (!view_is_reliable_) return std::nullopt;
  const Candidate* best = nullptr;
  std::uint64_t best_score = membership::rendezvous_score(own_hash_, key);
  std::uint64_t best_hash = own_hash_;
  for (const auto& candidate : candidates_) {
    if (now < candidate.skipped_until) continue;
    const auto hash = candidate.owner.member_hash;
    const auto score = membership::rendezvous_score(hash, key);
    if (score < best_score || (score == best_score && hash < best_hash)) continue;
    best = &candidate;
    best_score = score;
    best_hash = hash;
  }
  if (!best) return std::nullopt;
  return best->owner;
}

void KeyOwnerSelector::on_failure(std::uint64_t member, TimePoint now) {
  auto* candidate = find(member);
  // Of several requests that were in flight at the same time only the first failure counts.
  if (!candidate || now < candidate->skipped_until) return;
  const auto doublings = std::min(candidate->consecutive_failures, kMaxBackoffDoublings);
  candidate->skipped_until = now + std::min(kBaseBackoff * (std::int64_t(1) << doublings), kMaxBackoff);
  ++candidate->consecutive_failures;
}

void KeyOwnerSelector::on_success(std::uint64_t member) {
  auto* candidate = find(member);
  if (!candidate) return;
  candidate->skipped_until = {};
  candidate->consecutive_failures = 0;
}

std::uint64_t cache_fill_key(std::string_view dependency, std::string_view path) {
  const auto seed = XXH3_64bits(dependency.data(), dependency.size());
  return XXH3_64bits_withSeed(path.data(), path.size(), seed);
}

// ---- Requests and responses ----

std::string to_request_target(const CacheFillRequest& request) {
  char boot_id[17];
  const auto id = std::uint64_t(request.target_boot_id);
  const auto end = std::to_chars(boot_id, boot_id + sizeof boot_id, id, kHexadecimal).ptr;
  return std::string(kTargetPrefix) + std::string(boot_id, end) + "/" +
         std::to_string(request.max_age.count()) + "/" + std::to_string(request.timeout.count()) + "/" +
         request.dependency + request.path;
}

std::optional<CacheFillRequest> parse_request_target(std::string_view target) {
  if (!target.starts_with(kTargetPrefix) || target.size() > kMaxTargetBytes) return std::nullopt;
  target.remove_prefix(kTargetPrefix.size());
  CacheFillRequest request;
  std::uint64_t boot_id = 0;
  if (!parse_number(take_segment(target), boot_id, kHexadecimal)) return std::nullopt;
  if (!parse_duration(take_segment(target), request.max_age)) return std::nullopt;
  if (!parse_duration(take_segment(target), request.timeout)) return std::nullopt;
  request.target_boot_id = membership::BootId(boot_id);
  const auto path = target.find('/');
  if (path == std::string_view::npos || path == 0 || path > kMaxHostBytes) return std::nullopt;
  request.dependency = target.substr(0, path);
  request.path = target.substr(path);
  // The path becomes part of the request line to the dependency, so it must not contain a line end or a
  // space.
  if (!is_printable(request.path)) return std::nullopt;
  return request;
}

std::string encode_fill_body(Duration age, std::string_view body) {
  return std::to_string(std::max<std::int64_t>(age.count(), 0)).append("\n").append(body);
}

std::optional<CacheFillResponse> parse_fill_body(const std::string& bytes) {
  const auto newline = bytes.find('\n');
  if (newline == std::string::npos) return std::nullopt;
  CacheFillResponse response;
  if (!parse_duration(std::string_view(bytes).substr(0, newline), response.age)) return std::nullopt;
  response.body = bytes.substr(newline + 1);
  return response;
}

}  // namespace granitegap::deps
