#include "membership_udp/codec.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstring>

#include "membership.pb.h"
#include "membership/digest.h"

namespace granitegap::membership_udp {
namespace {

using namespace membership;

constexpr std::string_view kMagic = "ggm1";  // its last character is the format's version
constexpr std::size_t kHead = 12;
constexpr int kMaxUpdates = 64;

std::string seal(const wire::Packet& packet) {
  std::string bytes(kHead, '\0');
  packet.AppendToString(&bytes);
  std::memcpy(bytes.data(), kMagic.data(), kMagic.size());
  return reseal(std::move(bytes));
}

void put(const Address& a, wire::Address* to) {
  to->set_ip(a.ip.data(), a.v6 ? 16 : 4);
  to->set_port(a.port);
}
void put(const RecoveryStatus& c, wire::RecoveryStatus* to) {
  to->set_phase(c.phase);
  to->set_offered_percent(c.offered_percent);
  to->set_donor_port(c.donor_port);
  to->set_full_service_ms(c.full_service_ms);
}

void put(const RecoveryReport& w, wire::RecoveryReport* to) {
  to->set_phase(w.phase);
  to->set_kind(w.kind);
  to->set_since_ms(w.since_ms);
  to->set_offered(w.offered);
  to->set_proven(w.proven);
  to->set_left_ms(w.left_ms);
  to->set_bounded(w.bounded);
  to->set_recoveries(w.recoveries);
  to->set_keyed_wait_ms(w.keyed_wait_ms);
  for (const auto ms : w.reached_ms) to->add_reached_ms(ms);
  for (const auto& s : w.sources) {
    auto* source = to->add_sources();
    source->set_name(s.name);
    source->set_age_ms(s.age_ms);
  }
}

void put(const MemberMetadata& t, wire::MemberMetadata* to) {
  to->set_version(t.version);
  to->set_stage(std::uint32_t(t.stage));
  to->set_warmup_percent(t.warmup_percent);
  to->set_pressure_percent(t.pressure_percent);
  to->set_boot_incarnation(t.boot_incarnation);
  to->set_zone(t.zone);
  if (t.conflicting_address) put(t.conflicting_address, to->mutable_conflicting_address());
  if (t.secondary_address) put(t.secondary_address, to->mutable_secondary_address());
  if (t.recovery_status != RecoveryStatus{}) put(t.recovery_status, to->mutable_recovery_status());
  to->set_cache_fill_port(t.cache_fill_port);
  to->set_superseded_boot_id(std::uint64_t(t.superseded_boot_id));
  for (const auto& l : t.links) {
    auto* link = to->add_links();
    link->set_peer(l.peer);
    link->set_inbound(l.inbound);
  }
  for (const auto& f : t.endpoint_health) {
    auto* finding = to->add_endpoint_health();
    finding->set_endpoint(f.endpoint);
    finding->set_unavailable(f.unavailable);
  }
}
void put(const Record& r, wire::Record* to) {
  to->set_name(r.name);
  put(r.address, to->mutable_address());
  to->set_boot_id(std::uint64_t(r.boot_id));
  to->set_incarnation(r.incarnation);
  to->set_status(std::uint32_t(r.status));
  to->set_suspected_by(r.suspected_by);
  to->set_age_ms(r.age_ms);
  if (r.metadata) put(*r.metadata, to->mutable_metadata());
}
struct PutBody {
  wire::Packet& to;
  void operator()(const Ping& b) const {
    to.mutable_ping()->set_nonce(b.nonce);
    to.mutable_ping()->set_target(b.target);
    to.mutable_ping()->set_origin(b.origin);
    to.mutable_ping()->set_secondary_path(b.secondary_path);
  }
  void operator()(const Ack& b) const {
    to.mutable_ack()->set_nonce(b.nonce);
    to.mutable_ack()->set_heard_ms(b.heard_ms);
    to.mutable_ack()->set_secondary_path(b.secondary_path);
  }
  void operator()(const PingRequest& b) const {
    to.mutable_ping_request()->set_nonce(b.nonce);
    to.mutable_ping_request()->set_target(b.target);
    put(b.address, to.mutable_ping_request()->mutable_address());
  }
  void operator()(const IndirectAck& b) const {
    to.mutable_indirect_ack()->set_nonce(b.nonce);
    to.mutable_indirect_ack()->set_target(b.target);
    to.mutable_indirect_ack()->set_heard_ms(b.heard_ms);
  }
  void operator()(const Nack& b) const { to.mutable_nack()->set_nonce(b.nonce); }
  void operator()(const SyncRequest& b) const {
    to.mutable_sync_request()->set_nonce(b.nonce);
    to.mutable_sync_request()->set_push(b.push);
    for (const auto s : b.sums) to.mutable_sync_request()->add_sums(s);
  }
  void operator()(const SyncChunk& b) const {
    to.mutable_sync_chunk()->set_nonce(b.nonce);
    to.mutable_sync_chunk()->set_index(b.index);
    to.mutable_sync_chunk()->set_last(b.last);
  }
  void operator()(const NameConflict& b) const { to.mutable_name_conflict()->set_to(std::uint64_t(b.to)); }
  void operator()(const GossipOnly&) const { to.mutable_gossip_only(); }
};

// ---- Reading: everything is held against its bounds; the first fault spoils the whole datagram ----
struct Reader {
  bool good = true;
  void need(bool that) { good = good && that; }
  std::string name_of(const std::string& s, bool may_be_empty = false) {
    need(s.size() <= kMaxNameBytes && (may_be_empty || !s.empty()));
    for (const char c : s) need(c > ' ' && c < 127);
    return s;
  }
  Address address_of(const wire::Address& a) {
    need((a.ip().size() == 4 || a.ip().size() == 16) && a.port() > 0 && a.port() <= 65535);
    Address to;
    if (!good) return to;
    std::memcpy(to.ip.data(), a.ip().data(), a.ip().size());
    to.v6 = a.ip().size() == 16;
    to.port = std::uint16_t(a.port());
    return to;
  }
  RecoveryStatus recovery_status_of(const wire::RecoveryStatus& c) {
    need(c.phase() <= kMaxRecoveryPhase && c.offered_percent() <= 100 && c.donor_port() <= 65535);
    return {std::uint8_t(c.phase()), std::uint8_t(c.offered_percent()), std::uint16_t(c.donor_port()),
            c.full_service_ms()};
  }
  MemberMetadata told_of(const wire::MemberMetadata& t) {
    need(t.stage() <= std::uint32_t(Stage::leaving) && t.warmup_percent() <= 100 &&
         t.pressure_percent() <= 100);
    need(t.cache_fill_port() <= 65535);
    need(t.zone().size() <= kMaxZoneBytes && t.links_size() <= int(kMaxLinkFaults) &&
         t.endpoint_health_size() <= int(kMaxEndpointHealth));
    for (const char c : t.zone()) need(c > ' ' && c < 127);
    MemberMetadata to;
    to.version = t.version();
    to.stage = Stage(t.stage());
    to.warmup_percent = std::uint8_t(t.warmup_percent());
    to.pressure_percent = std::uint8_t(t.pressure_percent());
    to.boot_incarnation = t.boot_incarnation();
    to.zone = t.zone();
    if (t.has_conflicting_address()) to.conflicting_address = address_of(t.conflicting_address());
    if (t.has_secondary_address()) to.secondary_address = address_of(t.secondary_address());
    if (t.has_recovery_status()) to.recovery_status = recovery_status_of(t.recovery_status());
    to.cache_fill_port = std::uint16_t(t.cache_fill_port());
    to.superseded_boot_id = BootId(t.superseded_boot_id());
    for (const auto& l : t.links()) to.links.push_back({l.peer(), l.inbound()});
    for (const auto& f : t.endpoint_health()) to.endpoint_health.push_back({f.endpoint(), f.unavailable()});
    return to;
  }
  Record record_of(const wire::Record& r) {
    need(r.status() <= std::uint32_t(Status::left) && r.has_address());
    Record to{name_of(r.name()),  address_of(r.address()), BootId(r.boot_id()), r.incarnation(),
              Status(r.status()), r.suspected_by(),        r.age_ms(),          std::nullopt};
    // Guards against a number from which no refutation could rise.
    need(r.incarnation() < (std::uint64_t(1) << 62));
    if (r.has_metadata()) to.metadata = told_of(r.metadata());
    return to;
  }
  SyncRequest ask_of(const wire::SyncRequest& a) {
    const auto n = std::size_t(a.sums_size());
    need(n == 0 || (std::has_single_bit(n) && n >= kMinBuckets && n <= kMaxBuckets));
    SyncRequest to{a.nonce(), a.push(), {}};
    if (good) to.sums.assign(a.sums().begin(), a.sums().end());
    return to;
  }
  Body body_of(const wire::Packet& p) {
    switch (p.body_case()) {
      case wire::Packet::kPing:
        return Ping{p.ping().nonce(), name_of(p.ping().target(), true), name_of(p.ping().origin(), true),
                    p.ping().secondary_path()};
      case wire::Packet::kAck:
        return Ack{p.ack().nonce(), p.ack().heard_ms(), p.ack().secondary_path()};
      case wire::Packet::kPingRequest:
        return PingRequest{p.ping_request().nonce(), name_of(p.ping_request().target()),
                           address_of(p.ping_request().address())};
      case wire::Packet::kIndirectAck:
        return IndirectAck{p.indirect_ack().nonce(), name_of(p.indirect_ack().target()),
                           p.indirect_ack().heard_ms()};
      case wire::Packet::kNack:
        return Nack{p.nack().nonce()};
      case wire::Packet::kSyncRequest:
        return ask_of(p.sync_request());
      case wire::Packet::kSyncChunk:
        need(p.sync_chunk().index() <= 65535);
        return SyncChunk{p.sync_chunk().nonce(), std::uint16_t(p.sync_chunk().index()),
                         p.sync_chunk().last()};
      case wire::Packet::kNameConflict:
        return NameConflict{BootId(p.name_conflict().to())};
      case wire::Packet::kGossipOnly:
        return GossipOnly{};
      default:
        need(false);
        return GossipOnly{};
    }
  }
  RecoveryReport way_back_of(const wire::RecoveryReport& w) {
    RecoveryReport to;
    need(w.offered() <= 100 && w.proven() <= 100 && w.reached_ms_size() == int(to.reached_ms.size()));
    if (!good) return to;
    to.phase = w.phase();
    to.kind = w.kind();
    to.since_ms = w.since_ms();
    to.left_ms = w.left_ms();
    to.keyed_wait_ms = w.keyed_wait_ms();
    to.offered = std::uint8_t(w.offered());
    to.proven = std::uint8_t(w.proven());
    to.bounded = w.bounded();
    to.recoveries = w.recoveries();
    std::copy(w.reached_ms().begin(), w.reached_ms().end(), to.reached_ms.begin());
    for (const auto& s : w.sources()) to.sources.push_back({s.name(), s.age_ms()});
    return to;
  }
  StatusReply reply_of(const wire::StatusReply& r) {
    StatusReply to;
    to.nonce = r.nonce();
    to.last = r.last();
    to.next = r.next();
    to.cluster = r.cluster();
    to.name = r.name();
    to.incarnation = r.incarnation();
    need(r.stage() <= std::uint32_t(Stage::leaving) &&
         r.local_connectivity() <= std::uint32_t(LocalConnectivity::inbound_broken));
    to.stage = Stage(r.stage());
    to.local_connectivity = LocalConnectivity(r.local_connectivity());
    to.has_quorum = r.has_quorum();
    to.uncertain = r.uncertain();
    to.fleet_size = r.fleet_size();
    for (const auto& l : r.members()) {
      need(l.stage() <= std::uint32_t(Stage::leaving) && l.status() <= std::uint32_t(Status::left) &&
           l.certain_status() <= std::uint32_t(Status::left) && l.warmup_percent() <= 100 &&
           l.pressure_percent() <= 100);
      MemberStatusLine line{
          l.name(),
          l.address(),
          l.zone(),
          l.conflicting_address(),
          l.incarnation(),
          Stage(l.stage()),
          Status(l.status()),
          Status(l.certain_status()),
          l.reachable(),
          l.since_ms(),
          std::uint8_t(l.warmup_percent()),
          std::uint8_t(l.pressure_percent()),
          l.has_recovery_status() ? recovery_status_of(l.recovery_status()) : RecoveryStatus{},
          {},
          {}};
      line.unheard_from.assign(l.unheard_from().begin(), l.unheard_from().end());
      line.not_reaching.assign(l.not_reaching().begin(), l.not_reaching().end());
      to.members.push_back(std::move(line));
    }
    if (r.has_recovery_report()) to.recovery_report = way_back_of(r.recovery_report());
    return to;
  }
};

}  // namespace

std::string reseal(std::string bytes) {
  const auto sum = XXH3_64bits(bytes.data() + kHead, bytes.size() - kHead);
  for (std::size_t i = 0; i < 8; ++i) bytes[kMagic.size() + i] = char(sum >> (8 * i));
  return bytes;
}

std::string encode(const Datagram& d, std::string_view cluster) {
  wire::Packet p;
  p.set_cluster(cluster.data(), cluster.size());
  auto* from = p.mutable_from();
  from->set_name(d.from.name);
  put(d.from.address, from->mutable_address());
  from->set_boot_id(std::uint64_t(d.from.boot_id));
  from->set_incarnation(d.from.incarnation);
  from->set_sent_ms(d.from.sent_ms);
  std::visit(PutBody{p}, d.body);
  for (const auto& r : d.updates) put(r, p.add_updates());
  if (d.padding) p.set_padding(std::string(d.padding, '\0'));
  return seal(p);
}

std::string encode(const StatusQuery& q) {
  wire::Packet p;
  p.mutable_status_query()->set_nonce(q.nonce);
  p.mutable_status_query()->set_from(q.from);
  p.mutable_status_query()->set_recovery_report(q.recovery_report);
  return seal(p);
}

std::string encode(const StatusReply& r) {
  wire::Packet p;
  auto& to = *p.mutable_status_reply();
  to.set_nonce(r.nonce);
  to.set_last(r.last);
  to.set_next(r.next);
  to.set_cluster(r.cluster);
  to.set_name(r.name);
  to.set_incarnation(r.incarnation);
  to.set_stage(std::uint32_t(r.stage));
  to.set_local_connectivity(std::uint32_t(r.local_connectivity));
  to.set_has_quorum(r.has_quorum);
  to.set_uncertain(r.uncertain);
  to.set_fleet_size(r.fleet_size);
  for (const auto& l : r.members) {
    auto& line = *to.add_members();
    line.set_name(l.name);
    line.set_address(l.address);
    line.set_incarnation(l.incarnation);
    line.set_zone(l.zone);
    line.set_stage(std::uint32_t(l.stage));
    line.set_status(std::uint32_t(l.status));
    line.set_reachable(l.reachable);
    line.set_since_ms(l.since_ms);
    line.set_warmup_percent(l.warmup_percent);
    line.set_pressure_percent(l.pressure_percent);
    line.set_conflicting_address(l.conflicting_address);
    for (const auto& n : l.unheard_from) line.add_unheard_from(n);
    for (const auto& n : l.not_reaching) line.add_not_reaching(n);
    line.set_certain_status(std::uint32_t(l.certain_status));
    if (l.recovery_status != RecoveryStatus{}) put(l.recovery_status, line.mutable_recovery_status());
  }
  if (r.recovery_report) put(*r.recovery_report, to.mutable_recovery_report());
  return seal(p);
}

Decoded decode(std::string_view bytes, std::string_view cluster) {
  if (bytes.size() > kMaxDatagram) return DecodeError::oversized;
  if (bytes.size() < kHead || bytes.substr(0, kMagic.size()) != kMagic) return DecodeError::foreign;
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < 8; ++i) sum |= std::uint64_t(std::uint8_t(bytes[kMagic.size() + i])) << (8 * i);
  if (sum != XXH3_64bits(bytes.data() + kHead, bytes.size() - kHead)) return DecodeError::checksum;
  wire::Packet p;
  if (!p.ParseFromArray(bytes.data() + kHead, int(bytes.size() - kHead))) return DecodeError::malformed;
  if (p.has_status_query())
    return StatusQuery{p.status_query().nonce(), p.status_query().from(), p.status_query().recovery_report()};
  Reader read;
  if (p.has_status_reply()) {
    auto reply = read.reply_of(p.status_reply());
    if (!read.good) return DecodeError::malformed;
    return reply;
  }
  if (p.cluster() != cluster) return DecodeError::other_cluster;
  read.need(p.has_from() && p.from().has_address() && p.updates_size() <= kMaxUpdates &&
            p.from().incarnation() < (std::uint64_t(1) << 62));
  Datagram d;
  d.from = {read.name_of(p.from().name()), read.address_of(p.from().address()), BootId(p.from().boot_id()),
            p.from().incarnation(), p.from().sent_ms()};
  d.body = read.body_of(p);
  for (const auto& r : p.updates()) {
    if (!read.good) break;
    d.updates.push_back(read.record_of(r));
  }
  d.padding = std::uint16_t(p.padding().size());
  if (!read.good) return DecodeError::malformed;
  return d;
}

std::string text_of(const Address& a) {
  namespace ip = boost::asio::ip;
  if (a.v6) return "[" + ip::address_v6(a.ip).to_string() + "]:" + std::to_string(a.port);
  const ip::address_v4::bytes_type four{a.ip[0], a.ip[1], a.ip[2], a.ip[3]};
  return ip::address_v4(four).to_string() + ":" + std::to_string(a.port);
}

Address address_of(const boost::asio::ip::address& ip, std::uint16_t port) {
  Address a;
  a.port = port;
  a.v6 = ip.is_v6();
  if (a.v6) {
    a.ip = ip.to_v6().to_bytes();
  } else {
    const auto four = ip.to_v4().to_bytes();
    std::copy(four.begin(), four.end(), a.ip.begin());
  }
  return a;
}

const char* text_of(DecodeError bad) {
  switch (bad) {
    case DecodeError::oversized:
      return "oversized";
    case DecodeError::foreign:
      return "foreign";
    case DecodeError::checksum:
      return "checksum";
    case DecodeError::other_cluster:
      return "other_cluster";
    case DecodeError::malformed:
      return "malformed";
  }
  return "?";
}

}  // namespace granitegap::membership_udp
