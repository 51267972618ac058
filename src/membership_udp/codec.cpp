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
constexpr int kMostUpdates = 64;

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
void put(const Course& c, wire::Course* to) {
  to->set_phase(c.phase);
  to->set_offered(c.offered);
  to->set_donor_port(c.donor_port);
  to->set_full_ms(c.full_ms);
}

void put(const WayBack& w, wire::WayBack* to) {
  to->set_phase(w.phase);
  to->set_kind(w.kind);
  to->set_since_ms(w.since_ms);
  to->set_offered(w.offered);
  to->set_proven(w.proven);
  to->set_left_ms(w.left_ms);
  to->set_bounded(w.bounded);
  to->set_ways_back(w.ways_back);
  to->set_keyed_wait_ms(w.keyed_wait_ms);
  for (const auto ms : w.reached_ms) to->add_reached_ms(ms);
  for (const auto& s : w.sources) {
    auto* source = to->add_sources();
    source->set_name(s.name);
    source->set_age_ms(s.age_ms);
  }
}

void put(const Told& t, wire::Told* to) {
  to->set_version(t.version);
  to->set_stage(std::uint32_t(t.stage));
  to->set_warmth(t.warmth);
  to->set_pressed(t.pressed);
  to->set_generation(t.generation);
  to->set_zone(t.zone);
  if (t.twin) put(t.twin, to->mutable_twin());
  if (t.second) put(t.second, to->mutable_second());
  if (t.course != Course{}) put(t.course, to->mutable_course());
  to->set_fill_port(t.fill_port);
  to->set_beyond(std::uint64_t(t.beyond));
  for (const auto& l : t.links) {
    auto* link = to->add_links();
    link->set_peer(l.peer);
    link->set_inward(l.inward);
  }
  for (const auto& f : t.findings) {
    auto* finding = to->add_findings();
    finding->set_endpoint(f.endpoint);
    finding->set_out(f.out);
  }
}
void put(const Record& r, wire::Record* to) {
  to->set_name(r.name);
  put(r.address, to->mutable_address());
  to->set_life(std::uint64_t(r.life));
  to->set_incarnation(r.incarnation);
  to->set_status(std::uint32_t(r.status));
  to->set_accuser(r.accuser);
  to->set_age_ms(r.age_ms);
  if (r.told) put(*r.told, to->mutable_told());
}
struct PutBody {
  wire::Packet& to;
  void operator()(const Ping& b) const {
    to.mutable_ping()->set_nonce(b.nonce);
    to.mutable_ping()->set_target(b.target);
    to.mutable_ping()->set_asker(b.asker);
    to.mutable_ping()->set_second(b.second);
  }
  void operator()(const Ack& b) const {
    to.mutable_ack()->set_nonce(b.nonce);
    to.mutable_ack()->set_heard_ms(b.heard_ms);
    to.mutable_ack()->set_second(b.second);
  }
  void operator()(const Ask& b) const {
    to.mutable_ask()->set_nonce(b.nonce);
    to.mutable_ask()->set_target(b.target);
    put(b.address, to.mutable_ask()->mutable_address());
  }
  void operator()(const Relayed& b) const {
    to.mutable_relayed()->set_nonce(b.nonce);
    to.mutable_relayed()->set_target(b.target);
    to.mutable_relayed()->set_heard_ms(b.heard_ms);
  }
  void operator()(const Nack& b) const { to.mutable_nack()->set_nonce(b.nonce); }
  void operator()(const ExchangeAsk& b) const {
    to.mutable_exchange_ask()->set_nonce(b.nonce);
    to.mutable_exchange_ask()->set_push(b.push);
    for (const auto s : b.sums) to.mutable_exchange_ask()->add_sums(s);
  }
  void operator()(const Piece& b) const {
    to.mutable_piece()->set_nonce(b.nonce);
    to.mutable_piece()->set_index(b.index);
    to.mutable_piece()->set_last(b.last);
  }
  void operator()(const TwinNotice& b) const { to.mutable_twin_notice()->set_to(std::uint64_t(b.to)); }
  void operator()(const Tidings&) const { to.mutable_tidings(); }
};

// ---- Reading: everything is held against its bounds; the first fault spoils the whole datagram ----
struct Reader {
  bool good = true;
  void need(bool that) { good = good && that; }
  std::string name_of(const std::string& s, bool may_be_empty = false) {
    need(s.size() <= kMostName && (may_be_empty || !s.empty()));
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
  Course course_of(const wire::Course& c) {
    need(c.phase() <= kMostCourse && c.offered() <= 100 && c.donor_port() <= 65535);
    return {std::uint8_t(c.phase()), std::uint8_t(c.offered()), std::uint16_t(c.donor_port()), c.full_ms()};
  }
  Told told_of(const wire::Told& t) {
    need(t.stage() <= std::uint32_t(Stage::leaving) && t.warmth() <= 100 && t.pressed() <= 100);
    need(t.fill_port() <= 65535);
    need(t.zone().size() <= kMostZone && t.links_size() <= int(kMostLinkFaults) &&
         t.findings_size() <= int(kMostFindings));
    for (const char c : t.zone()) need(c > ' ' && c < 127);
    Told to;
    to.version = t.version();
    to.stage = Stage(t.stage());
    to.warmth = std::uint8_t(t.warmth());
    to.pressed = std::uint8_t(t.pressed());
    to.generation = t.generation();
    to.zone = t.zone();
    if (t.has_twin()) to.twin = address_of(t.twin());
    if (t.has_second()) to.second = address_of(t.second());
    if (t.has_course()) to.course = course_of(t.course());
    to.fill_port = std::uint16_t(t.fill_port());
    to.beyond = Life(t.beyond());
    for (const auto& l : t.links()) to.links.push_back({l.peer(), l.inward()});
    for (const auto& f : t.findings()) to.findings.push_back({f.endpoint(), f.out()});
    return to;
  }
  Record record_of(const wire::Record& r) {
    need(r.status() <= std::uint32_t(Status::left) && r.has_address());
    Record to{name_of(r.name()),  address_of(r.address()),
              Life(r.life()),     r.incarnation(),
              Status(r.status()), r.accuser(),
              r.age_ms(),         std::nullopt};
    // Guards against a number from which no refutation could rise.
    need(r.incarnation() < (std::uint64_t(1) << 62));
    if (r.has_told()) to.told = told_of(r.told());
    return to;
  }
  ExchangeAsk ask_of(const wire::ExchangeAsk& a) {
    const auto n = std::size_t(a.sums_size());
    need(n == 0 || (std::has_single_bit(n) && n >= kLeastBuckets && n <= kMostBuckets));
    ExchangeAsk to{a.nonce(), a.push(), {}};
    if (good) to.sums.assign(a.sums().begin(), a.sums().end());
    return to;
  }
  Body body_of(const wire::Packet& p) {
    switch (p.body_case()) {
      case wire::Packet::kPing:
        return Ping{p.ping().nonce(), name_of(p.ping().target(), true), name_of(p.ping().asker(), true),
                    p.ping().second()};
      case wire::Packet::kAck:
        return Ack{p.ack().nonce(), p.ack().heard_ms(), p.ack().second()};
      case wire::Packet::kAsk:
        return Ask{p.ask().nonce(), name_of(p.ask().target()), address_of(p.ask().address())};
      case wire::Packet::kRelayed:
        return Relayed{p.relayed().nonce(), name_of(p.relayed().target()), p.relayed().heard_ms()};
      case wire::Packet::kNack:
        return Nack{p.nack().nonce()};
      case wire::Packet::kExchangeAsk:
        return ask_of(p.exchange_ask());
      case wire::Packet::kPiece:
        need(p.piece().index() <= 65535);
        return Piece{p.piece().nonce(), std::uint16_t(p.piece().index()), p.piece().last()};
      case wire::Packet::kTwinNotice:
        return TwinNotice{Life(p.twin_notice().to())};
      case wire::Packet::kTidings:
        return Tidings{};
      default:
        need(false);
        return Tidings{};
    }
  }
  WayBack way_back_of(const wire::WayBack& w) {
    WayBack to;
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
    to.ways_back = w.ways_back();
    std::copy(w.reached_ms().begin(), w.reached_ms().end(), to.reached_ms.begin());
    for (const auto& s : w.sources()) to.sources.push_back({s.name(), s.age_ms()});
    return to;
  }
  Reply reply_of(const wire::Reply& r) {
    Reply to;
    to.nonce = r.nonce();
    to.last = r.last();
    to.next = r.next();
    to.cluster = r.cluster();
    to.name = r.name();
    to.incarnation = r.incarnation();
    need(r.stage() <= std::uint32_t(Stage::leaving) && r.hearing() <= std::uint32_t(Hearing::deaf));
    to.stage = Stage(r.stage());
    to.hearing = Hearing(r.hearing());
    to.majority = r.majority();
    to.uncertain = r.uncertain();
    to.agreed = r.agreed();
    for (const auto& l : r.lines()) {
      need(l.stage() <= std::uint32_t(Stage::leaving) && l.status() <= std::uint32_t(Status::left) &&
           l.certain() <= std::uint32_t(Status::left) && l.warmth() <= 100 && l.pressed() <= 100);
      Line line{l.name(),
                l.address(),
                l.zone(),
                l.twin(),
                l.incarnation(),
                Stage(l.stage()),
                Status(l.status()),
                Status(l.certain()),
                l.reachable(),
                l.since_ms(),
                std::uint8_t(l.warmth()),
                std::uint8_t(l.pressed()),
                l.has_course() ? course_of(l.course()) : Course{},
                {},
                {}};
      line.unheard_from.assign(l.unheard_from().begin(), l.unheard_from().end());
      line.not_reaching.assign(l.not_reaching().begin(), l.not_reaching().end());
      to.lines.push_back(std::move(line));
    }
    if (r.has_way_back()) to.way_back = way_back_of(r.way_back());
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
  from->set_life(std::uint64_t(d.from.life));
  from->set_incarnation(d.from.incarnation);
  from->set_sent_ms(d.from.sent_ms);
  std::visit(PutBody{p}, d.body);
  for (const auto& r : d.updates) put(r, p.add_updates());
  if (d.filler) p.set_filler(std::string(d.filler, '\0'));
  return seal(p);
}

std::string encode(const Query& q) {
  wire::Packet p;
  p.mutable_query()->set_nonce(q.nonce);
  p.mutable_query()->set_from(q.from);
  p.mutable_query()->set_way_back(q.way_back);
  return seal(p);
}

std::string encode(const Reply& r) {
  wire::Packet p;
  auto& to = *p.mutable_reply();
  to.set_nonce(r.nonce);
  to.set_last(r.last);
  to.set_next(r.next);
  to.set_cluster(r.cluster);
  to.set_name(r.name);
  to.set_incarnation(r.incarnation);
  to.set_stage(std::uint32_t(r.stage));
  to.set_hearing(std::uint32_t(r.hearing));
  to.set_majority(r.majority);
  to.set_uncertain(r.uncertain);
  to.set_agreed(r.agreed);
  for (const auto& l : r.lines) {
    auto& line = *to.add_lines();
    line.set_name(l.name);
    line.set_address(l.address);
    line.set_incarnation(l.incarnation);
    line.set_zone(l.zone);
    line.set_stage(std::uint32_t(l.stage));
    line.set_status(std::uint32_t(l.status));
    line.set_reachable(l.reachable);
    line.set_since_ms(l.since_ms);
    line.set_warmth(l.warmth);
    line.set_pressed(l.pressed);
    line.set_twin(l.twin);
    for (const auto& n : l.unheard_from) line.add_unheard_from(n);
    for (const auto& n : l.not_reaching) line.add_not_reaching(n);
    line.set_certain(std::uint32_t(l.certain));
    if (l.course != Course{}) put(l.course, line.mutable_course());
  }
  if (r.way_back) put(*r.way_back, to.mutable_way_back());
  return seal(p);
}

Decoded decode(std::string_view bytes, std::string_view cluster) {
  if (bytes.size() > kMostDatagram) return Bad::oversized;
  if (bytes.size() < kHead || bytes.substr(0, kMagic.size()) != kMagic) return Bad::foreign;
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < 8; ++i) sum |= std::uint64_t(std::uint8_t(bytes[kMagic.size() + i])) << (8 * i);
  if (sum != XXH3_64bits(bytes.data() + kHead, bytes.size() - kHead)) return Bad::checksum;
  wire::Packet p;
  if (!p.ParseFromArray(bytes.data() + kHead, int(bytes.size() - kHead))) return Bad::malformed;
  if (p.has_query()) return Query{p.query().nonce(), p.query().from(), p.query().way_back()};
  Reader read;
  if (p.has_reply()) {
    auto reply = read.reply_of(p.reply());
    if (!read.good) return Bad::malformed;
    return reply;
  }
  if (p.cluster() != cluster) return Bad::other_cluster;
  read.need(p.has_from() && p.from().has_address() && p.updates_size() <= kMostUpdates &&
            p.from().incarnation() < (std::uint64_t(1) << 62));
  Datagram d;
  d.from = {read.name_of(p.from().name()), read.address_of(p.from().address()), Life(p.from().life()),
            p.from().incarnation(), p.from().sent_ms()};
  d.body = read.body_of(p);
  for (const auto& r : p.updates()) {
    if (!read.good) break;
    d.updates.push_back(read.record_of(r));
  }
  d.filler = std::uint16_t(p.filler().size());
  if (!read.good) return Bad::malformed;
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

const char* text_of(Bad bad) {
  switch (bad) {
    case Bad::oversized:
      return "oversized";
    case Bad::foreign:
      return "foreign";
    case Bad::checksum:
      return "checksum";
    case Bad::other_cluster:
      return "other_cluster";
    case Bad::malformed:
      return "malformed";
  }
  return "?";
}

}  // namespace granitegap::membership_udp
