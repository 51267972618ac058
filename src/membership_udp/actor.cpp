#include "membership_udp/actor.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/v6_only.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstring>

#include "membership/milliseconds.h"

namespace granitegap::membership_udp {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using namespace membership;
using boost::system::error_code;
using std::chrono::milliseconds;

// Datagrams processed before other work on the executor gets its turn.
constexpr std::size_t kMaxDatagramsPerTurn = 64;
constexpr int kSocketBufferBytes = 256 * 1024;
// Minimum time between two log lines about datagrams that can't be decoded.
constexpr Duration kMinLogInterval = std::chrono::seconds(10);

// Returns the log text for a change of the connectivity of this process.
const char* connectivity_text(LocalConnectivity connectivity) {
  switch (connectivity) {
    case LocalConnectivity::ok:
      return "this process sends and receives datagrams again";
    case LocalConnectivity::outbound_broken:
      return "datagrams from this process reach no member";
    case LocalConnectivity::inbound_broken:
      return "datagrams of the other members do not reach this process";
  }
  return "?";
}

}  // namespace

udp::endpoint endpoint_of(const Address& a) {
  if (a.v6) return {asio::ip::address_v6(a.ip), a.port};
  return {asio::ip::address_v4({a.ip[0], a.ip[1], a.ip[2], a.ip[3]}), a.port};
}

Address address_of(const udp::endpoint& e) { return address_of(e.address(), e.port()); }

Actor::Actor(const asio::any_io_executor& executor, Settings settings, std::string name,
             std::uint64_t boot_id, Incarnation first_incarnation, std::uint64_t seed, Hooks hooks,
             Logger& log)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      log_(log),
      member_(settings_.options,
              Identity{std::move(name), settings_.zone, settings_.advertise, settings_.secondary_advertise,
                       BootId(boot_id), first_incarnation, settings_.cache_fill_port},
              seed, hooks_.clock()),
      socket_(executor),
      secondary_socket_(executor),
      timer_(executor) {
  open_socket(socket_, settings_.bind);
  if (settings_.secondary_bind) open_socket(secondary_socket_, settings_.secondary_bind);
  log_.line("membership: cluster " + settings_.cluster + ", bound to " + text_of(settings_.bind) +
                ", advertised as " + text_of(settings_.advertise),
            {{"event", "membership"}, {"cluster", settings_.cluster}});
  if (has_secondary())
    log_.line("membership: secondary path bound to " + text_of(settings_.secondary_bind) +
                  ", advertised as " + text_of(settings_.secondary_advertise),
              {{"event", "membership_second"}});
}

void Actor::open_socket(udp::socket& socket, const Address& bind) {
  const auto endpoint = endpoint_of(bind);
  socket.open(endpoint.protocol());
  if (bind.v6) socket.set_option(asio::ip::v6_only(true));
  socket.bind(endpoint);
  socket.non_blocking(true);
  error_code ignored;  // a smaller buffer only causes more datagram loss
  socket.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
  socket.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes), ignored);
}

// Pending datagrams are processed before any decision that depends on the clock, so that after a pause of
// this process they count before its timers fire.
asio::awaitable<void> Actor::receive_from(udp::socket& socket) {
  for (;;) {
    error_code error;
    co_await socket.async_wait(udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    receive_pending(socket);
    dispatch_outputs();
    co_await asio::post(asio::use_awaitable);
  }
}

asio::awaitable<void> Actor::run() {
  for (;;) {
    const auto due = std::chrono::steady_clock::time_point(member_.next_wake().time_since_epoch());
    timer_.expires_at(due);
    error_code woken;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    if (!socket_.is_open()) co_return;
    if (woken) continue;  // cancelled: a datagram has changed the next wake-up
    receive_pending(socket_);
    if (has_secondary()) receive_pending(secondary_socket_);
    if (hooks_.local_state && !leaving_) {
      auto own = hooks_.local_state();
      member_.update_metadata(own.stage, own.warmup_percent, own.pressure_percent,
                              std::move(own.endpoint_health), now());
      member_.update_metadata(own.recovery_status, now());
    }
    member_.wake(now());
    dispatch_outputs();
  }
}

void Actor::receive_pending(udp::socket& socket) {
  for (std::size_t k = 0; k < kMaxDatagramsPerTurn; ++k) {
    error_code error;
    const auto bytes = socket.receive_from(asio::buffer(buffer_), sender_, 0, error);
    if (error) return;  // no datagram is pending, or the error concerned a single datagram
    handle(bytes, socket);
  }
}

void Actor::handle(std::size_t bytes, udp::socket& from) {
  const auto decoded = decode({buffer_.data(), bytes}, settings_.cluster);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) return count_decode_error(*error);
  if (const auto* query = std::get_if<StatusQuery>(&decoded)) return answer(*query, from);
  if (const auto* datagram = std::get_if<Datagram>(&decoded)) member_.receive(*datagram, bytes, now());
}

void Actor::count_decode_error(DecodeError error) {
  ++decode_errors_[std::size_t(error)];
  const auto at = now();
  if (decode_error_logged_at_ != TimePoint{} && at - decode_error_logged_at_ < kMinLogInterval) return;
  decode_error_logged_at_ = at;
  log_.line("membership: dropped a datagram from " + text_of(address_of(sender_)) + ": " + text_of(error) +
                "; " + std::to_string(decode_errors_[std::size_t(error)]) + " dropped for this reason so far",
            {{"event", "membership_bad_datagram"}, {"why", text_of(error)}});
}

void Actor::dispatch_outputs() {
  for (const auto& s : member_.take_outgoing())
    send(s.via_secondary ? secondary_socket_ : socket_, endpoint_of(s.to),
         encode(s.datagram, settings_.cluster));
  const auto changes = member_.take_changes();
  for (const auto& change : changes) log_change(change);
  if (!changes.empty() || std::exchange(view_due_, false))
    if (hooks_.view) hooks_.view(std::make_shared<const View>(make_view(member_, now())));
  timer_.cancel();
}

// Does not wait: if the send buffer is full, the datagram is dropped and counted.
void Actor::send(udp::socket& by, const udp::endpoint& to, const std::string& bytes) {
  error_code error;
  by.send_to(asio::buffer(bytes), to, 0, error);
  if (error) ++unsent_datagrams_;
}

void Actor::change(Settings fresh) {
  std::string kept;
  const auto note = [&](bool same, const char* what) {
    if (!same) kept.append(kept.empty() ? "" : ", ").append(what);
  };
  note(fresh.cluster == settings_.cluster, "cluster");
  note(fresh.bind == settings_.bind, "bind");
  note(fresh.advertise == settings_.advertise, "advertise");
  note(fresh.secondary_bind == settings_.secondary_bind &&
           fresh.secondary_advertise == settings_.secondary_advertise,
       "second");
  note(fresh.zone == settings_.zone, "zone");
  settings_.options = std::move(fresh.options);
  member_.update_options(settings_.options);
  if (!kept.empty())
    log_.line("reload: changed but kept until a restart: membership " + kept,
              {{"event", "reload_kept"}, {"kept", kept}});
}

void Actor::leave() {
  if (std::exchange(leaving_, true)) return;
  member_.leave(now());
  dispatch_outputs();
}

void Actor::log_change(const Change& change) {
  const auto line = [&](const std::string& text, std::string_view event) {
    log_.line("membership: " + text, {{"event", event}, {"subject", change.name}});
  };
  const auto i = member_.roster().find(change.name);
  switch (change.kind) {
    case ChangeKind::joined:
      return line(change.name + " joined", "member_joined");
    case ChangeKind::restarted:
      return line(change.name + " has restarted", "member_restarted");
    case ChangeKind::suspected:
      return line(change.name + " is suspected to have failed", "member_suspect");
    case ChangeKind::refuted:
      return line(change.name + " is alive", "member_alive");
    case ChangeKind::died:
      return line(change.name + " is declared dead", "member_dead");
    case ChangeKind::left:
      return line(change.name + " has left", "member_left");
    case ChangeKind::removed:
    case ChangeKind::metadata_updated:
    case ChangeKind::limit_holders:
      return;
    case ChangeKind::link_broken:
      if (i != kNoMember)
        line(member_.roster().at(i).link_inbound ? "no datagrams arrive directly from " + change.name
                                                 : "no datagrams arrive directly at " + change.name,
             "link_broken");
      return;
    case ChangeKind::link_recovered:
      return line("direct link with " + change.name + " works again", "link_mended");
    case ChangeKind::local_connectivity:
      return line(connectivity_text(member_.local_connectivity()), "hearing");
    case ChangeKind::view_certainty:
      return line(member_.uncertain()
                      ? "view uncertain: many members fell silent at once, none is declared dead"
                      : "view certain again",
                  "certainty");
    case ChangeKind::quorum:
      return line(member_.has_quorum() ? "a majority of the fleet is reachable again"
                                       : "no majority of the fleet is reachable",
                  "majority");
    case ChangeKind::name_conflict:
      return line(member_.conflicting_address()
                      ? "another process runs under this name at " + text_of(*member_.conflicting_address())
                      : "no other process runs under this name any more",
                  "twin");
  }
}

// ---- Status queries of `granitegap members` and `granitegap recovery` ----

bool Actor::is_authorized(const asio::ip::address& host) const {
  if (host.is_loopback()) return true;
  const auto& roster = member_.roster();
  for (Index i = 0; i < roster.slot_count(); ++i)
    if (roster.at(i).known && endpoint_of(roster.at(i).address).address() == host) return true;
  return false;
}

std::string Actor::find_name(std::uint64_t hash) const {
  if (hash == name_hash(member_.self().name)) return member_.self().name;
  const auto& roster = member_.roster();
  for (Index i = 0; i < roster.slot_count(); ++i)
    if (roster.at(i).known && roster.at(i).hash == hash) return roster.at(i).name;
  return {};
}

MemberStatusLine Actor::make_own_status_line() const {
  MemberStatusLine line;
  line.name = member_.self().name;
  line.address = text_of(member_.self().address);
  line.incarnation = member_.incarnation();
  line.status = leaving_ ? Status::left : Status::alive;
  line.certain_status = line.status;
  add_metadata(line, member_.metadata());
  return line;
}

MemberStatusLine Actor::make_status_line(const MemberState& member) const {
  MemberStatusLine line;
  line.name = member.name;
  line.address = text_of(member.address);
  line.incarnation = member.incarnation;
  line.status = member.status;
  line.certain_status = member.certain_status;
  line.reachable = member.reachable && member.status == Status::alive;
  line.since_ms = std::uint64_t(std::max<std::int64_t>(to_milliseconds(now() - member.status_since), 0));
  add_metadata(line, member.metadata);
  return line;
}

void Actor::add_metadata(MemberStatusLine& line, const MemberMetadata& metadata) const {
  line.zone = metadata.zone;
  line.stage = metadata.stage;
  line.warmup_percent = metadata.warmup_percent;
  line.pressure_percent = metadata.pressure_percent;
  line.recovery_status = metadata.recovery_status;
  if (metadata.conflicting_address) line.conflicting_address = text_of(metadata.conflicting_address);
  for (const auto& fault : metadata.links) {
    auto peer = find_name(fault.peer);
    if (peer.empty()) continue;
    (fault.inbound ? line.unheard_from : line.not_reaching).push_back(std::move(peer));
  }
}

StatusReply Actor::make_status_header(const StatusQuery& query) const {
  StatusReply reply;
  reply.nonce = query.nonce;
  reply.cluster = settings_.cluster;
  reply.name = member_.self().name;
  reply.incarnation = member_.incarnation();
  reply.stage = member_.metadata().stage;
  reply.local_connectivity = member_.local_connectivity();
  reply.has_quorum = member_.has_quorum();
  reply.uncertain = member_.uncertain();
  reply.fleet_size = std::uint32_t(member_.fleet_size());
  return reply;
}

void Actor::answer(const StatusQuery& query, udp::socket& from) {
  if (!is_authorized(sender_.address())) return;
  auto reply = make_status_header(query);
  if (query.recovery_report) {
    if (hooks_.recovery_report) reply.recovery_report = hooks_.recovery_report();
    reply.last = true;
    while (reply.recovery_report && encode(reply).size() > kMaxDatagram &&
           !reply.recovery_report->sources.empty())
      reply.recovery_report->sources.pop_back();
    return send(from, sender_, encode(reply));
  }
  // The line of this process comes first, then the other members in the order of their slots, so that no
  // member is listed twice if the roster changes between two queries.
  const auto& roster = member_.roster();
  auto next = query.from;
  for (; next <= roster.slot_count(); ++next) {
    const bool own = next == 0;
    if (!own && !roster.at(next - 1).known) continue;
    reply.members.push_back(own ? make_own_status_line() : make_status_line(roster.at(next - 1)));
    reply.next = next + 1;
    if (encode(reply).size() > kMaxDatagram) {
      reply.members.pop_back();
      break;
    }
  }
  reply.next = next;
  reply.last = next > roster.slot_count();
  send(from, sender_, encode(reply));
}

}  // namespace granitegap::membership_udp
