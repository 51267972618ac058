#include "membership_udp/wire_writer.h"

namespace granitegap::membership_udp {
namespace {

using namespace membership;

void write(const Address& address, wire::Address& to) {
  to.set_ip(address.ip.data(), address.v6 ? 16 : 4);
  to.set_port(address.port);
}

void write(const RecoveryStatus& status, wire::RecoveryStatus& to) {
  to.set_phase(status.phase);
  to.set_offered_percent(status.offered_percent);
  to.set_donor_port(status.donor_port);
  to.set_full_service_ms(status.full_service_ms);
}

void write(const LinkFault& fault, wire::LinkFault& to) {
  to.set_peer(fault.peer);
  to.set_inbound(fault.inbound);
}

void write(const EndpointHealth& health, wire::EndpointHealth& to) {
  to.set_endpoint(health.endpoint);
  to.set_unavailable(health.unavailable);
}

void write(const MemberMetadata& metadata, wire::MemberMetadata& to) {
  to.set_version(metadata.version);
  to.set_stage(std::uint32_t(metadata.stage));
  to.set_warmup_percent(metadata.warmup_percent);
  to.set_pressure_percent(metadata.pressure_percent);
  to.set_boot_incarnation(metadata.boot_incarnation);
  to.set_zone(metadata.zone);
  if (metadata.conflicting_address) write(metadata.conflicting_address, *to.mutable_conflicting_address());
  if (metadata.secondary_address) write(metadata.secondary_address, *to.mutable_secondary_address());
  if (metadata.recovery_status != RecoveryStatus{})
    write(metadata.recovery_status, *to.mutable_recovery_status());
  to.set_cache_fill_port(metadata.cache_fill_port);
  to.set_superseded_boot_id(std::uint64_t(metadata.superseded_boot_id));
  for (const auto& fault : metadata.links) write(fault, *to.add_links());
  for (const auto& health : metadata.endpoint_health) write(health, *to.add_endpoint_health());
}

void write(const Record& record, wire::Record& to) {
  to.set_name(record.name);
  write(record.address, *to.mutable_address());
  to.set_boot_id(std::uint64_t(record.boot_id));
  to.set_incarnation(record.incarnation);
  to.set_status(std::uint32_t(record.status));
  to.set_suspected_by(record.suspected_by);
  to.set_age_ms(record.age_ms);
  if (record.metadata) write(*record.metadata, *to.mutable_metadata());
}

void write(const Sender& from, wire::Sender& to) {
  to.set_name(from.name);
  write(from.address, *to.mutable_address());
  to.set_boot_id(std::uint64_t(from.boot_id));
  to.set_incarnation(from.incarnation);
  to.set_sent_ms(from.sent_ms);
}

// Writes the body of a packet; one overload for each alternative of Body.
struct BodyWriter {
  wire::Packet& packet;

  void operator()(const Ping& body) const {
    auto& to = *packet.mutable_ping();
    to.set_nonce(body.nonce);
    to.set_target(body.target);
    to.set_origin(body.origin);
    to.set_secondary_path(body.secondary_path);
  }
  void operator()(const Ack& body) const {
    auto& to = *packet.mutable_ack();
    to.set_nonce(body.nonce);
    to.set_heard_ms(body.heard_ms);
    to.set_secondary_path(body.secondary_path);
  }
  void operator()(const PingRequest& body) const {
    auto& to = *packet.mutable_ping_request();
    to.set_nonce(body.nonce);
    to.set_target(body.target);
    write(body.address, *to.mutable_address());
  }
  void operator()(const IndirectAck& body) const {
    auto& to = *packet.mutable_indirect_ack();
    to.set_nonce(body.nonce);
    to.set_target(body.target);
    to.set_heard_ms(body.heard_ms);
  }
  void operator()(const Nack& body) const { packet.mutable_nack()->set_nonce(body.nonce); }
  void operator()(const SyncRequest& body) const {
    auto& to = *packet.mutable_sync_request();
    to.set_nonce(body.nonce);
    to.set_push(body.push);
    for (const auto sum : body.sums) to.add_sums(sum);
  }
  void operator()(const SyncChunk& body) const {
    auto& to = *packet.mutable_sync_chunk();
    to.set_nonce(body.nonce);
    to.set_index(body.index);
    to.set_last(body.last);
  }
  void operator()(const NameConflict& body) const {
    packet.mutable_name_conflict()->set_to(std::uint64_t(body.to));
  }
  void operator()(const GossipOnly&) const { packet.mutable_gossip_only(); }
};

void write(const RecoveryReport& report, wire::RecoveryReport& to) {
  to.set_phase(report.phase);
  to.set_kind(report.kind);
  to.set_since_ms(report.since_ms);
  to.set_offered(report.offered);
  to.set_proven(report.proven);
  to.set_left_ms(report.left_ms);
  to.set_bounded(report.bounded);
  to.set_recoveries(report.recoveries);
  to.set_keyed_wait_ms(report.keyed_wait_ms);
  for (const auto ms : report.reached_ms) to.add_reached_ms(ms);
  for (const auto& source : report.sources) {
    auto& encoded = *to.add_sources();
    encoded.set_name(source.name);
    encoded.set_age_ms(source.age_ms);
  }
}

void write(const MemberStatusLine& member, wire::MemberStatusLine& to) {
  to.set_name(member.name);
  to.set_address(member.address);
  to.set_incarnation(member.incarnation);
  to.set_zone(member.zone);
  to.set_stage(std::uint32_t(member.stage));
  to.set_status(std::uint32_t(member.status));
  to.set_reachable(member.reachable);
  to.set_since_ms(member.since_ms);
  to.set_warmup_percent(member.warmup_percent);
  to.set_pressure_percent(member.pressure_percent);
  to.set_conflicting_address(member.conflicting_address);
  for (const auto& name : member.unheard_from) to.add_unheard_from(name);
  for (const auto& name : member.not_reaching) to.add_not_reaching(name);
  to.set_certain_status(std::uint32_t(member.certain_status));
  if (member.recovery_status != RecoveryStatus{})
    write(member.recovery_status, *to.mutable_recovery_status());
}

}  // namespace

void write(const Datagram& datagram, wire::Packet& to) {
  write(datagram.from, *to.mutable_from());
  std::visit(BodyWriter{to}, datagram.body);
  for (const auto& record : datagram.updates) write(record, *to.add_updates());
  if (datagram.padding) to.set_padding(std::string(datagram.padding, '\0'));
}

void write(const StatusQuery& query, wire::StatusQuery& to) {
  to.set_nonce(query.nonce);
  to.set_from(query.from);
  to.set_recovery_report(query.recovery_report);
}

void write(const StatusReply& reply, wire::StatusReply& to) {
  to.set_nonce(reply.nonce);
  to.set_last(reply.last);
  to.set_next(reply.next);
  to.set_cluster(reply.cluster);
  to.set_name(reply.name);
  to.set_incarnation(reply.incarnation);
  to.set_stage(std::uint32_t(reply.stage));
  to.set_local_connectivity(std::uint32_t(reply.local_connectivity));
  to.set_has_quorum(reply.has_quorum);
  to.set_uncertain(reply.uncertain);
  to.set_fleet_size(reply.fleet_size);
  for (const auto& member : reply.members) write(member, *to.add_members());
  if (reply.recovery_report) write(*reply.recovery_report, *to.mutable_recovery_report());
}

}  // namespace granitegap::membership_udp
