#include "membership/datagram.h"

#include <xxhash.h>

#include <algorithm>

namespace granitegap::membership {
namespace {

// Maximum encoded sizes in bytes, field tag included: 9 for a 64-bit number, 6 for a smaller number, 27 for
// an address, 3 for the tag and length of a nested message.
constexpr std::size_t kFixed64Bytes = 9, kNumberBytes = 6, kAddressBytes = 27, kFrameBytes = 3;
// Magic, version and checksum; then the cluster's name.
constexpr std::size_t kEnvelopeBytes = 12 + 2 + kMaxNameBytes;

std::size_t max_string_size(const std::string& text) { return 3 + text.size(); }

std::size_t max_encoded_size(const MemberMetadata& metadata) {
  return kFrameBytes + kNumberBytes * 4 + 2 * kFixed64Bytes + max_string_size(metadata.zone) +
         (metadata.conflicting_address ? kAddressBytes : 0) +
         (metadata.secondary_address ? kAddressBytes : 0) +
         (metadata.recovery_status == RecoveryStatus{} ? 0 : kFrameBytes + 4 * kNumberBytes) +
         (metadata.cache_fill_port ? kNumberBytes : 0) +
         metadata.links.size() * (kFrameBytes + kFixed64Bytes + 2) +
         metadata.endpoint_health.size() * (kFrameBytes + kFixed64Bytes + 2);
}

}  // namespace

std::size_t max_encoded_size(const Record& record) {
  return kFrameBytes + max_string_size(record.name) + kAddressBytes + 3 * kFixed64Bytes + 2 * kNumberBytes +
         (record.metadata ? max_encoded_size(*record.metadata) : 0);
}

std::size_t max_encoded_size(const Datagram& datagram) {
  std::size_t size = kEnvelopeBytes + kFrameBytes + max_string_size(datagram.from.name) + kAddressBytes +
                     2 * kFixed64Bytes + kNumberBytes;
  size += kFrameBytes + 3 * kNumberBytes + kFixed64Bytes;
  if (const auto* ping = std::get_if<Ping>(&datagram.body))
    size += max_string_size(ping->target) + max_string_size(ping->origin);
  if (const auto* request = std::get_if<PingRequest>(&datagram.body))
    size += max_string_size(request->target) + kAddressBytes;
  if (const auto* indirect = std::get_if<IndirectAck>(&datagram.body))
    size += max_string_size(indirect->target);
  if (const auto* request = std::get_if<SyncRequest>(&datagram.body)) size += 3 + 4 * request->sums.size();
  for (const auto& record : datagram.updates) size += max_encoded_size(record);
  return size + (datagram.padding ? 3 + datagram.padding : 0);
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
