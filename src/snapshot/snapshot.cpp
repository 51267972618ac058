#include "snapshot/snapshot.h"

#include <cstring>
#include <limits>

#include "snapshot.pb.h"
#include "snapshot/checksum_envelope.h"

namespace granitegap::snapshot {
namespace {

constexpr char kMagic[] = "ggl1";
constexpr std::size_t kMaxTextBytes = 255;
constexpr Duration kMaxDuration = std::chrono::hours(24 * 365);
constexpr std::size_t kIpv4Bytes = 4, kIpv6Bytes = 16;

bool is_valid_duration(std::int64_t duration_us) {
  return duration_us >= 0 && duration_us <= kMaxDuration.count();
}

bool is_port(std::uint32_t port) { return port != 0 && port <= std::numeric_limits<std::uint16_t>::max(); }

// ---- Encoding ----

void add_endpoint(wire::Snapshot& message, const warm_state::Endpoint& endpoint) {
  auto* out = message.add_endpoints();
  out->set_dependency(endpoint.dependency);
  out->set_host(endpoint.host);
  out->set_port(endpoint.port);
  out->set_out_for_us(endpoint.ejected_for.count());
  out->set_times_out(endpoint.consecutive_ejections);
  out->set_latency_us(endpoint.latency.count());
  out->set_heard_ago_us(endpoint.latency_age.count());
}

void add_member(wire::Snapshot& message, const membership::Address& member) {
  auto* out = message.add_members();
  out->set_ip(member.ip.data(), member.v6 ? kIpv6Bytes : kIpv4Bytes);
  out->set_port(member.port);
}

void add_cached_response(wire::Snapshot& message, const warm_state::CachedResponse& response) {
  auto* out = message.add_cached_responses();
  out->set_dependency(response.dependency);
  out->set_path(response.path);
  out->set_body(*response.body);
  out->set_age_us(response.age.count());
}

// Drops endpoints, half of them at a time, until the message fits the size limit. With long names a state can
// exceed it even within the item limits. Losing endpoints only reduces the warm state of the next process.
void shrink_to_limit(wire::Snapshot& message) {
  while (message.ByteSizeLong() + kEnvelopeBytes > kMaxSnapshotBytes && message.endpoints_size() > 0) {
    const int kept = message.endpoints_size() / 2;
    message.mutable_endpoints()->DeleteSubrange(kept, message.endpoints_size() - kept);
  }
}

// ---- Decoding: a correct checksum shows that the bytes are intact, not that the values are within bounds
// ----

bool has_valid_header(const wire::Snapshot& message) {
  return message.by().size() <= kMaxTextBytes && message.boot().size() <= kMaxTextBytes &&
         message.since_boot_us() >= 0 && std::size_t(message.endpoints_size()) <= warm_state::kMaxEndpoints &&
         std::size_t(message.members_size()) <= warm_state::kMaxMembers &&
         std::size_t(message.cached_responses_size()) <= warm_state::kMaxCachedResponses;
}

std::optional<warm_state::Endpoint> decode_endpoint(const wire::Endpoint& from) {
  if (from.dependency().size() > kMaxTextBytes || from.host().size() > kMaxTextBytes) return std::nullopt;
  if (!is_port(from.port())) return std::nullopt;
  if (!is_valid_duration(from.out_for_us()) || !is_valid_duration(from.latency_us()) ||
      !is_valid_duration(from.heard_ago_us()))
    return std::nullopt;
  return warm_state::Endpoint{from.dependency(),
                              from.host(),
                              std::uint16_t(from.port()),
                              Duration(from.out_for_us()),
                              from.times_out(),
                              Duration(from.latency_us()),
                              Duration(from.heard_ago_us())};
}

std::optional<membership::Address> decode_member(const wire::Address& from) {
  const auto ip_bytes = from.ip().size();
  if ((ip_bytes != kIpv4Bytes && ip_bytes != kIpv6Bytes) || !is_port(from.port())) return std::nullopt;
  membership::Address address;
  std::memcpy(address.ip.data(), from.ip().data(), ip_bytes);
  address.v6 = ip_bytes == kIpv6Bytes;
  address.port = std::uint16_t(from.port());
  return address;
}

std::optional<warm_state::CachedResponse> decode_cached_response(const wire::CachedResponse& from) {
  warm_state::CachedResponse response{from.dependency(), from.path(),
                                      std::make_shared<const std::string>(from.body()),
                                      Duration(from.age_us())};
  if (response.dependency.size() > kMaxTextBytes || !warm_state::is_within_limits(response) ||
      !is_valid_duration(from.age_us()))
    return std::nullopt;
  return response;
}

// Returns the state in a message, or nullopt if any value is out of bounds.
std::optional<warm_state::WarmState> decode_state(const wire::Snapshot& message) {
  warm_state::WarmState state;
  state.process_name = message.by();
  state.boot_id = message.boot_id();
  for (const auto& from : message.endpoints()) {
    auto endpoint = decode_endpoint(from);
    if (!endpoint) return std::nullopt;
    state.endpoints.push_back(*std::move(endpoint));
  }
  for (const auto& from : message.members()) {
    const auto member = decode_member(from);
    if (!member) return std::nullopt;
    state.members.push_back(*member);
  }
  std::size_t total_bytes = 0;
  for (const auto& from : message.cached_responses()) {
    auto response = decode_cached_response(from);
    if (!response) return std::nullopt;
    total_bytes += warm_state::size_in_bytes(*response);
    if (total_bytes > warm_state::kMaxCachedResponseBytes) return std::nullopt;
    state.cached_responses.push_back(*std::move(response));
  }
  return state;
}

}  // namespace

std::string encode(const Snapshot& snapshot) {
  auto state = snapshot.state;
  warm_state::enforce_limits(state);
  wire::Snapshot message;
  message.set_by(state.process_name);
  message.set_boot_id(state.boot_id);
  message.set_boot(snapshot.taken_at.kernel_boot_id);
  message.set_since_boot_us(snapshot.taken_at.since_boot.count());
  message.set_unix_us(snapshot.taken_at.unix_us);
  for (const auto& endpoint : state.endpoints) add_endpoint(message, endpoint);
  for (const auto& member : state.members) add_member(message, member);
  for (const auto& response : state.cached_responses) add_cached_response(message, response);
  shrink_to_limit(message);
  return wrap_with_checksum(kMagic, message.SerializeAsString());
}

StorageResult<Snapshot> decode_snapshot(const std::string& bytes) {
  const auto unwrapped = unwrap_checked(kMagic, bytes, kMaxSnapshotBytes);
  if (const auto* error = std::get_if<StorageError>(&unwrapped)) return *error;
  const auto& body = std::get<std::string_view>(unwrapped);
  wire::Snapshot message;
  if (!message.ParseFromArray(body.data(), int(body.size()))) return format_error(StorageErrc::damaged);
  if (!has_valid_header(message)) return format_error(StorageErrc::damaged);
  auto state = decode_state(message);
  if (!state) return format_error(StorageErrc::damaged);
  const ClockStamp taken_at{message.boot(), Duration(message.since_boot_us()), message.unix_us()};
  return Snapshot{taken_at, *std::move(state)};
}

}  // namespace granitegap::snapshot
