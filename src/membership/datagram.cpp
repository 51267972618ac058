#include "membership/datagram.h"

#include <xxhash.h>

#include <algorithm>

namespace granitegap::membership {
namespace {

// Fixed parts, each with its tag: eight-byte numbers take 9, small ones up to 6, an address 27, the framing
// of a message inside another 3.
constexpr std::size_t kFixed64 = 9, kSmall = 6, kAddress = 27, kFrame = 3;
constexpr std::size_t kEnvelope = 12 + 2 + kMaxNameBytes;  // magic, version, checksum; the cluster's name

std::size_t text_size(const std::string& s) { return 3 + s.size(); }

std::size_t max_encoded_size(const MemberMetadata& metadata) {
  return kFrame + kSmall * 4 + 2 * kFixed64 + text_size(metadata.zone) +
         (metadata.conflicting_address ? kAddress : 0) + (metadata.secondary_address ? kAddress : 0) +
         (metadata.recovery_status == RecoveryStatus{} ? 0 : kFrame + 4 * kSmall) +
         (metadata.cache_fill_port ? kSmall : 0) + metadata.links.size() * (kFrame + kFixed64 + 2) +
         metadata.endpoint_health.size() * (kFrame + kFixed64 + 2);
}

}  // namespace

std::size_t max_encoded_size(const Record& r) {
  return kFrame + text_size(r.name) + kAddress + 3 * kFixed64 + 2 * kSmall +
         (r.metadata ? max_encoded_size(*r.metadata) : 0);
}

std::size_t max_encoded_size(const Datagram& d) {
  std::size_t sum = kEnvelope + kFrame + text_size(d.from.name) + kAddress + 2 * kFixed64 + kSmall;
  sum += kFrame + 3 * kSmall + kFixed64;
  if (const auto* ping = std::get_if<Ping>(&d.body)) sum += text_size(ping->target) + text_size(ping->origin);
  if (const auto* request = std::get_if<PingRequest>(&d.body)) sum += text_size(request->target) + kAddress;
  if (const auto* indirect = std::get_if<IndirectAck>(&d.body)) sum += text_size(indirect->target);
  if (const auto* request = std::get_if<SyncRequest>(&d.body)) sum += 3 + 4 * request->sums.size();
  for (const auto& r : d.updates) sum += max_encoded_size(r);
  return sum + (d.padding ? 3 + d.padding : 0);
}

std::uint64_t name_hash(std::string_view name) {
  return std::max<std::uint64_t>(XXH3_64bits(name.data(), name.size()), 1);
}

const char* text_of(Status status) {
  switch (status) {
    case Status::alive:
      return "alive";
    case Status::suspect:
      return "suspect";
    case Status::dead:
      return "dead";
    case Status::left:
      return "left";
  }
  return "?";
}

const char* text_of(Stage stage) {
  switch (stage) {
    case Stage::starting:
      return "starting";
    case Stage::warming_up:
      return "warming";
    case Stage::serving:
      return "serving";
    case Stage::draining:
      return "draining";
    case Stage::leaving:
      return "leaving";
  }
  return "?";
}

}  // namespace granitegap::membership
