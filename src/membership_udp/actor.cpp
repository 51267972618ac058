#include "membership_udp/actor.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/v6_only.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstring>

namespace granitegap::membership_udp {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using namespace membership;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr std::size_t kAtOnce = 64;  // datagrams before others get their turn
constexpr int kSocketBuffer = 256 * 1024;
constexpr Duration kBadTold = std::chrono::seconds(10);

}  // namespace

udp::endpoint endpoint_of(const Address& a) {
  if (a.v6) return {asio::ip::address_v6(a.ip), a.port};
  return {asio::ip::address_v4({a.ip[0], a.ip[1], a.ip[2], a.ip[3]}), a.port};
}

Address address_of(const udp::endpoint& e) { return address_of(e.address(), e.port()); }

Actor::Actor(const asio::any_io_executor& executor, Settings settings, std::string name,
             std::uint64_t boot_id, Incarnation first, std::uint64_t seed, Hooks hooks, Logger& log)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      log_(log),
      member_(settings_.options,
              Identity{std::move(name), settings_.zone, settings_.advertise, settings_.secondary_advertise,
                       BootId(boot_id), first, settings_.cache_fill_port},
              seed, hooks_.clock()),
      socket_(executor),
      secondary_socket_(executor),
      timer_(executor) {
  open(socket_, settings_.bind);
  if (settings_.secondary_bind) open(secondary_socket_, settings_.secondary_bind);
  log_.line("membership: cluster " + settings_.cluster + ", bound to " + text_of(settings_.bind) +
                ", reached at " + text_of(settings_.advertise),
            {{"event", "membership"}, {"cluster", settings_.cluster}});
  if (has_secondary())
    log_.line("membership: a second path, bound to " + text_of(settings_.secondary_bind) + ", reached at " +
                  text_of(settings_.secondary_advertise),
              {{"event", "membership_second"}});
}

void Actor::open(udp::socket& socket, const Address& at) {
  const auto bind = endpoint_of(at);
  socket.open(bind.protocol());
  if (at.v6) socket.set_option(asio::ip::v6_only(true));
  socket.bind(bind);
  socket.non_blocking(true);
  error_code ignored;  // a smaller buffer only loses more
  socket.set_option(asio::socket_base::receive_buffer_size(kSocketBuffer), ignored);
  socket.set_option(asio::socket_base::send_buffer_size(kSocketBuffer), ignored);
}

// What waits is taken in before anything is judged by the clock: after a pause it first hears.
asio::awaitable<void> Actor::receive(udp::socket& socket) {
  for (;;) {
    error_code error;
    co_await socket.async_wait(udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    take_waiting(socket);
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
    if (woken) continue;  // a datagram has moved the wake-up
    take_waiting(socket_);
    if (has_secondary()) take_waiting(secondary_socket_);
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

void Actor::take_waiting(udp::socket& socket) {
  for (std::size_t k = 0; k < kAtOnce; ++k) {
    error_code error;
    const auto bytes = socket.receive_from(asio::buffer(buffer_), from_, 0, error);
    if (error) return;  // nothing more; or an error of one datagram, which is over with it
    take(bytes, socket);
  }
}

void Actor::take(std::size_t bytes, udp::socket& from) {
  const auto decoded = decode({buffer_.data(), bytes}, settings_.cluster);
  if (const auto* bad = std::get_if<DecodeError>(&decoded)) return count(*bad);
  if (const auto* query = std::get_if<StatusQuery>(&decoded)) return answer(*query, from);
  if (const auto* datagram = std::get_if<Datagram>(&decoded)) member_.receive(*datagram, bytes, now());
}

void Actor::count(DecodeError bad) {
  ++bad_[std::size_t(bad)];
  const auto at = now();
  if (bad_told_ != TimePoint{} && at - bad_told_ < kBadTold) return;
  bad_told_ = at;
  log_.line(std::string("membership: datagrams left unread, the newest as ") + text_of(bad) + ": " +
                std::to_string(bad_[std::size_t(bad)]) + " so far",
            {{"event", "membership_bad_datagram"}, {"why", text_of(bad)}});
}

void Actor::dispatch_outputs() {
  for (const auto& s : member_.take_outgoing())
    send(s.via_secondary ? secondary_socket_ : socket_, endpoint_of(s.to),
         encode(s.datagram, settings_.cluster));
  const auto changes = member_.take_changes();
  for (const auto& change : changes) metadata(change);
  if (!changes.empty() || std::exchange(changed_, false))
    if (hooks_.view) hooks_.view(std::make_shared<const View>(make_view(member_, now())));
  timer_.cancel();
}

// Never waits: a full buffer loses it, as the network might.
void Actor::send(udp::socket& by, const udp::endpoint& to, const std::string& bytes) {
  error_code error;
  by.send_to(asio::buffer(bytes), to, 0, error);
  if (error) ++unsent_;
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

void Actor::metadata(const Change& c) {
  const auto line = [&](std::string text, std::string_view event) {
    log_.line("membership: " + text, {{"event", event}, {"subject", c.name}});
  };
  const auto i = member_.roster().find(c.name);
  switch (c.kind) {
    case ChangeKind::joined:
      return line(c.name + " joined", "member_joined");
    case ChangeKind::restarted:
      return line(c.name + " has restarted", "member_restarted");
    case ChangeKind::suspected:
      return line(c.name + " is suspect", "member_suspect");
    case ChangeKind::refuted:
      return line(c.name + " is alive", "member_alive");
    case ChangeKind::died:
      return line(c.name + " is held dead", "member_dead");
    case ChangeKind::left:
      return line(c.name + " has left", "member_left");
    case ChangeKind::removed:
    case ChangeKind::metadata_updated:
      return;
    case ChangeKind::link_broken:
      if (i != kNoMember)
        line(member_.roster().at(i).link_inbound ? "nothing arrives straight from " + c.name
                                                 : "nothing arrives straight at " + c.name,
             "link_broken");
      return;
    case ChangeKind::link_recovered:
      return line("straight link with " + c.name + " works again", "link_mended");
    case ChangeKind::local_connectivity:
      return line(std::string("this process is ") + (member_.local_connectivity() == LocalConnectivity::ok
                                                         ? "heard and hears again"
                                                         : text_of(member_.local_connectivity())),
                  "hearing");
    case ChangeKind::view_certainty:
      return line(member_.uncertain() ? "view uncertain: many silent at once, nobody is removed"
                                      : "view certain again",
                  "certainty");
    case ChangeKind::quorum:
      return line(
          member_.has_quorum() ? "most of the fleet is seen again" : "no majority of the fleet is seen",
          "majority");
    case ChangeKind::name_conflict:
      return line(member_.conflicting_address()
                      ? "another process lives under this name at " + text_of(*member_.conflicting_address())
                      : "no other process under this name any more",
                  "twin");
  }
}

// ---- The question of `granitegap members` ----

bool Actor::is_authorized(const asio::ip::address& who) const {
  if (who.is_loopback()) return true;
  const auto& roster = member_.roster();
  for (Index i = 0; i < roster.slot_count(); ++i)
    if (roster.at(i).known && endpoint_of(roster.at(i).address).address() == who) return true;
  return false;
}

MemberStatusLine Actor::line_of(Index i) const {
  const auto& roster = member_.roster();
  MemberStatusLine l;
  const MemberMetadata* t = nullptr;
  if (i == kNoMember) {
    l.name = member_.self().name;
    l.address = text_of(member_.self().address);
    l.incarnation = member_.incarnation();
    l.status = l.certain_status = leaving_ ? Status::left : Status::alive;
    t = &member_.metadata();
  } else {
    const auto& e = roster.at(i);
    l.name = e.name;
    l.address = text_of(e.address);
    l.incarnation = e.incarnation;
    l.status = e.status;
    l.certain_status = e.certain_status;
    l.reachable = e.reachable && (e.status == Status::alive);
    l.since_ms = std::uint64_t(
        std::max<std::int64_t>(std::chrono::duration_cast<milliseconds>(now() - e.status_since).count(), 0));
    t = &e.metadata;
  }
  l.zone = t->zone;
  l.stage = t->stage;
  l.warmup_percent = t->warmup_percent;
  l.pressure_percent = t->pressure_percent;
  l.recovery_status = t->recovery_status;
  if (t->conflicting_address) l.conflicting_address = text_of(t->conflicting_address);
  for (const auto& fault : t->links) {
    std::string peer;
    if (fault.peer == name_hash(member_.self().name)) peer = member_.self().name;
    for (Index k = 0; k < roster.slot_count() && peer.empty(); ++k)
      if (roster.at(k).known && roster.at(k).hash == fault.peer) peer = roster.at(k).name;
    if (!peer.empty()) (fault.inbound ? l.unheard_from : l.not_reaching).push_back(peer);
  }
  return l;
}

void Actor::answer(const StatusQuery& query, udp::socket& by) {
  if (!is_authorized(from_.address())) return;
  StatusReply r;
  r.nonce = query.nonce;
  r.cluster = settings_.cluster;
  r.name = member_.self().name;
  r.incarnation = member_.incarnation();
  r.stage = member_.metadata().stage;
  r.local_connectivity = member_.local_connectivity();
  r.has_quorum = member_.has_quorum();
  r.uncertain = member_.uncertain();
  r.fleet_size = std::uint32_t(member_.fleet_size());
  if (query.recovery_report) {
    if (hooks_.recovery_report) r.recovery_report = hooks_.recovery_report();
    r.last = true;
    while (r.recovery_report && encode(r).size() > kMaxDatagram && !r.recovery_report->sources.empty())
      r.recovery_report->sources.pop_back();
    return send(by, from_, encode(r));
  }
  // By place, so that a list which changes between two questions names nobody twice.
  const auto& roster = member_.roster();
  auto next = query.from;
  for (; next <= roster.slot_count(); ++next) {
    if (next > 0 && !roster.at(next - 1).known) continue;
    r.members.push_back(line_of(next == 0 ? kNoMember : next - 1));
    r.next = next + 1;
    if (encode(r).size() > kMaxDatagram) {
      r.members.pop_back();
      break;
    }
  }
  r.next = next;
  r.last = next > roster.slot_count();
  send(by, from_, encode(r));
}

}  // namespace granitegap::membership_udp
