#include "membership_udp/wire_reader.h"

#include <algorithm>
#include <bit>
#include <cstring>

#include "membership/digest.h"

namespace granitegap::membership_udp {

using namespace membership;

namespace {

constexpr int kMaxUpdates = 64;
constexpr std::uint32_t kMax16Bits = 65535;
// Incarnations below this limit leave room for higher ones; the highest possible one could not be refuted.
constexpr Incarnation kIncarnationLimit = Incarnation(1) << 62;

}  // namespace

std::uint8_t WireReader::percent(std::uint32_t value) {
  require(value <= 100);
  return std::uint8_t(value);
}

std::uint16_t WireReader::port(std::uint32_t value) {
  require(value <= kMax16Bits);
  return std::uint16_t(value);
}

std::string WireReader::text(const std::string& value, std::size_t max_bytes) {
  require(value.size() <= max_bytes);
  require(std::all_of(value.begin(), value.end(), [](char c) { return c > ' ' && c < 127; }));
  return value;
}

std::string WireReader::optional_name(const std::string& value) { return text(value, kMaxNameBytes); }

std::string WireReader::name(const std::string& value) {
  require(!value.empty());
  return optional_name(value);
}

Incarnation WireReader::incarnation(std::uint64_t value) {
  require(value < kIncarnationLimit);
  return value;
}

Address WireReader::read(const wire::Address& address) {
  const auto bytes = address.ip().size();
  require(bytes == 4 || bytes == 16);
  require(address.port() > 0);
  Address to;
  to.port = port(address.port());
  if (!valid_) return {};
  std::memcpy(to.ip.data(), address.ip().data(), bytes);
  to.v6 = bytes == 16;
  return to;
}

RecoveryStatus WireReader::read(const wire::RecoveryStatus& status) {
  require(status.phase() <= kMaxRecoveryPhase);
  RecoveryStatus to;
  to.phase = std::uint8_t(status.phase());
  to.offered_percent = percent(status.offered_percent());
  to.donor_port = port(status.donor_port());
  to.full_service_ms = status.full_service_ms();
  return to;
}

MemberMetadata WireReader::read(const wire::MemberMetadata& metadata) {
  require(metadata.links_size() <= int(kMaxLinkFaults));
  require(metadata.endpoint_health_size() <= int(kMaxEndpointHealth));
  MemberMetadata to;
  to.version = metadata.version();
  to.stage = enumerator(metadata.stage(), Stage::leaving);
  to.warmup_percent = percent(metadata.warmup_percent());
  to.pressure_percent = percent(metadata.pressure_percent());
  to.boot_incarnation = metadata.boot_incarnation();
  to.zone = text(metadata.zone(), kMaxZoneBytes);
  if (metadata.has_conflicting_address()) to.conflicting_address = read(metadata.conflicting_address());
  if (metadata.has_secondary_address()) to.secondary_address = read(metadata.secondary_address());
  if (metadata.has_recovery_status()) to.recovery_status = read(metadata.recovery_status());
  to.cache_fill_port = port(metadata.cache_fill_port());
  to.superseded_boot_id = BootId(metadata.superseded_boot_id());
  for (const auto& fault : metadata.links()) to.links.push_back({fault.peer(), fault.inbound()});
  for (const auto& health : metadata.endpoint_health())
    to.endpoint_health.push_back({health.endpoint(), health.unavailable()});
  return to;
}

Record WireReader::read(const wire::Record& record) {
  require(record.has_address());
  Record to;
  to.name = name(record.name());
  to.address = read(record.address());
  to.boot_id = BootId(record.boot_id());
  to.incarnation = incarnation(record.incarnation());
  to.status = enumerator(record.status(), Status::left);
  to.suspected_by = record.suspected_by();
  to.age_ms = record.age_ms();
  if (record.has_metadata()) to.metadata = read(record.metadata());
  return to;
}

Sender WireReader::read(const wire::Sender& sender) {
  require(sender.has_address());
  Sender to;
  to.name = name(sender.name());
  to.address = read(sender.address());
  to.boot_id = BootId(sender.boot_id());
  to.incarnation = incarnation(sender.incarnation());
  to.sent_ms = sender.sent_ms();
  return to;
}

SyncRequest WireReader::read(const wire::SyncRequest& request) {
  const auto buckets = std::size_t(request.sums_size());
  require(buckets == 0 || (std::has_single_bit(buckets) && buckets >= kMinBuckets && buckets <= kMaxBuckets));
  SyncRequest to{request.nonce(), request.push(), {}};
  if (valid_) to.sums.assign(request.sums().begin(), request.sums().end());
  return to;
}

SyncChunk WireReader::read(const wire::SyncChunk& chunk) {
  require(chunk.index() <= kMax16Bits);
  return {chunk.nonce(), std::uint16_t(chunk.index()), chunk.last()};
}

Body WireReader::read_body(const wire::Packet& packet) {
  switch (packet.body_case()) {
    case wire::Packet::kPing: {
      const auto& ping = packet.ping();
      return Ping{ping.nonce(), optional_name(ping.target()), optional_name(ping.origin()),
                  ping.secondary_path()};
    }
    case wire::Packet::kAck:
      return Ack{packet.ack().nonce(), packet.ack().heard_ms(), packet.ack().secondary_path()};
    case wire::Packet::kPingRequest: {
      const auto& request = packet.ping_request();
      return PingRequest{request.nonce(), name(request.target()), read(request.address())};
    }
    case wire::Packet::kIndirectAck: {
      const auto& ack = packet.indirect_ack();
      return IndirectAck{ack.nonce(), name(ack.target()), ack.heard_ms()};
    }
    case wire::Packet::kNack:
      return Nack{packet.nack().nonce()};
    case wire::Packet::kSyncRequest:
      return read(packet.sync_request());
    case wire::Packet::kSyncChunk:
      return read(packet.sync_chunk());
    case wire::Packet::kNameConflict:
      return NameConflict{BootId(packet.name_conflict().to())};
    case wire::Packet::kGossipOnly:
      return GossipOnly{};
    default:
      require(false);
      return GossipOnly{};
  }
}

Datagram WireReader::read_datagram(const wire::Packet& packet) {
  require(packet.has_from() && packet.updates_size() <= kMaxUpdates);
  Datagram to;
  to.from = read(packet.from());
  to.body = read_body(packet);
  for (const auto& record : packet.updates()) {
    if (!valid_) break;
    to.updates.push_back(read(record));
  }
  to.padding = std::uint16_t(packet.padding().size());
  return to;
}

RecoveryReport WireReader::read(const wire::RecoveryReport& report) {
  RecoveryReport to;
  require(report.reached_ms_size() == int(to.reached_ms.size()));
  to.offered = percent(report.offered());
  to.proven = percent(report.proven());
  if (!valid_) return to;
  to.phase = report.phase();
  to.kind = report.kind();
  to.since_ms = report.since_ms();
  to.left_ms = report.left_ms();
  to.keyed_wait_ms = report.keyed_wait_ms();
  to.bounded = report.bounded();
  to.recoveries = report.recoveries();
  std::copy(report.reached_ms().begin(), report.reached_ms().end(), to.reached_ms.begin());
  for (const auto& source : report.sources()) to.sources.push_back({source.name(), source.age_ms()});
  return to;
}

MemberStatusLine WireReader::read(const wire::MemberStatusLine& member) {
  MemberStatusLine to;
  to.name = member.name();
  to.address = member.address();
  to.zone = member.zone();
  to.conflicting_address = member.conflicting_address();
  to.incarnation = member.incarnation();
  to.stage = enumerator(member.stage(), Stage::leaving);
  to.status = enumerator(member.status(), Status::left);
  to.certain_status = enumerator(member.certain_status(), Status::left);
  to.reachable = member.reachable();
  to.since_ms = member.since_ms();
  to.warmup_percent = percent(member.warmup_percent());
  to.pressure_percent = percent(member.pressure_percent());
  if (member.has_recovery_status()) to.recovery_status = read(member.recovery_status());
  to.unheard_from.assign(member.unheard_from().begin(), member.unheard_from().end());
  to.not_reaching.assign(member.not_reaching().begin(), member.not_reaching().end());
  return to;
}

StatusReply WireReader::read(const wire::StatusReply& reply) {
  StatusReply to;
  to.nonce = reply.nonce();
  to.last = reply.last();
  to.next = reply.next();
  to.cluster = reply.cluster();
  to.name = reply.name();
  to.incarnation = reply.incarnation();
  to.stage = enumerator(reply.stage(), Stage::leaving);
  to.local_connectivity = enumerator(reply.local_connectivity(), LocalConnectivity::inbound_broken);
  to.has_quorum = reply.has_quorum();
  to.uncertain = reply.uncertain();
  to.fleet_size = reply.fleet_size();
  for (const auto& member : reply.members()) to.members.push_back(read(member));
  if (reply.has_recovery_report()) to.recovery_report = read(reply.recovery_report());
  return to;
}

}  // namespace granitegap::membership_udp
