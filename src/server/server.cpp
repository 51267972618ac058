#include "server/server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <random>

#include "partial_response/compose.h"

namespace granitegap {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kLastMoment = 60ms;   // before the kill
constexpr milliseconds kDoorBefore = 400ms;  // the end, for what the list has not kept away
constexpr milliseconds kCrossing = 150ms;    // a request may cross the notice on its connection for 50 ms
constexpr milliseconds kLook = 5ms;
constexpr milliseconds kMaxDeadline = 3000ms, kAfterDeadline = 600ms;  // as a handed over door's kill counts
constexpr std::size_t kMaxComposed = 200 * 1024;                       // well inside a frame

template <class Protocol>
typename Protocol::endpoint address(const config::Endpoint& e, boost::system::error_code& error) {
  return {asio::ip::make_address(e.host, error), e.port};
}
template <class Protocol>
typename Protocol::endpoint address(const config::Endpoint& e) {
  return {asio::ip::make_address(e.host), e.port};
}
std::string text_of(const config::Endpoint& e) { return e.host + ":" + std::to_string(e.port); }

}  // namespace

edge::Edge Server::make_edge(const config::Config& config, const Options& options, TimePoint started) {
  edge::Edge edge(config.parsed, config.catalog, config.seed);
  if (options.declared)
    edge.enable_dependencies(
        std::make_shared<const deps::Spec>(options.declared->spec),
        [](std::string result, const std::vector<edge::GatheredPart>& parts) {
          return partial_response::compose(std::move(result), parts, kMaxComposed);
        },
        options.protect_calls);
  if (!options.declared || !options.declared->recovery) return edge;
  const auto& r = *options.declared->recovery;
  if (r.quarantine_keys) edge.enable_restart_quarantine(r.max_clock_back, !r.directory.empty(), started);
  if (r.guided) {
    recovery::RecoveryOptions rules;
    rules.initial_share = r.first;
    rules.growth_factor = r.growth;
    rules.max_wait_factor = r.wait_bound;
    rules.max_state_transfer = r.max_learn;
    rules.max_tick_gap = r.max_pause;
    rules.calm_period = r.calm_for;
    edge.enable_recovery_ramp(rules, started);
  }
  return edge;
}

std::size_t Server::sockets_for_door(const Options& options) {
  return options.declared && options.declared->cache_fill_enabled()
             ? cache_fill_http::CacheFillServer::kMaxConnections
             : 0;
}

// Calls below, and the door where others ask, take their descriptors from the same limit, and never more than
// half of it.
std::size_t Server::sockets_for_peers(const config::Config& config, const Options& options) {
  auto all = config.limits.sockets;
  if (options.admin) all -= std::min(admin::AdminServer::kDescriptors, all / 4);
  if (!options.declared) return all;
  return all - std::min(options.declared->dependency_connections + sockets_for_door(options), all / 2);
}

Server::Server(asio::io_context& context, config::Config config, Options options,
               edge::EdgeActor::Clocks clocks)
    : context_(context),
      config_(std::move(config)),
      options_(std::move(options)),
      log_(config_.name, options_.log),
      edge_actor_(
          context.get_executor(), make_edge(config_, options_, clocks().steady), config_.limits.memory_mb,
          [this](edge::Output output) { dispatch(std::move(output)); }, clocks),
      link_(context.get_executor(), address<asio::ip::tcp>(config_.kernel), config_.catalog,
            edge_actor_.mailbox(), log_),
      load_reporter_(context.get_executor(), address<asio::ip::udp>(config_.announce), config_.name, log_),
      listener_(
          context.get_executor(), address<asio::ip::tcp>(config_.listen),
          sockets_for_peers(config_, options_), config_.catalog, edge_actor_.mailbox(), log_,
          options_.inherited_listener ? std::move(*options_.inherited_listener) : net::FileDescriptor()) {
  clocks_ = std::move(clocks);
  if (options_.admin) try {
      admin_ = std::make_unique<admin::AdminServer>(
          context.get_executor(), address<asio::ip::tcp>(*options_.admin),
          [this](admin::Command call) { return answer(call); }, log_);
    } catch (const std::exception& e) {
      throw AddressError("the operators' door at " + text_of(*options_.admin) + ": " + e.what());
    }
  if (options_.inherited_listener) share_door();
  if (!options_.declared) return;
  if (options_.declared->cache_fill_enabled()) {
    auto& m = *options_.declared->membership;
    cache_fill_server_ = std::make_unique<cache_fill_http::CacheFillServer>(
        context.get_executor(),
        asio::ip::tcp::endpoint(membership_udp::endpoint_of(m.bind).address(),
                                options_.declared->cache_fill_port),
        log_);
    m.cache_fill_port = cache_fill_server_->port();
  }
  if (options_.declared->membership) join_fleet();
  if (cache_fill_server_)
    cache_fill_server_->begin(
        fleet_->member().self().boot_id,
        {[this](const asio::ip::address& who) { return fleet_->is_authorized(who); },
         [this](edge::CacheFillQuery asked) { return edge_actor_.mailbox().post(std::move(asked)); }});
  if (const auto& r = options_.declared->recovery; r && !r->directory.empty()) keep_learned(*r);
  if (const auto& r = options_.declared->recovery; r && r->guided && fleet_) learn_from_others();
  // Ends of calls always find room: the limits on open calls bound their number.
  const auto apart = config_.limits.sockets - sockets_for_peers(config_, options_);
  caller_.emplace(context.get_executor(), apart - std::min(sockets_for_door(options_), apart / 2),
                  [this](deps::CallReport report) { edge_actor_.mailbox().post_control(std::move(report)); });
}

void Server::keep_learned(const operators::OperatorConfig::Recovery& recovery) {
  snapshot::PersistenceActor::Callbacks callbacks;
  callbacks.previous_incarnation_found = [this](const recovery::PreviousIncarnation& found) {
    edge_actor_.mailbox().post_control(edge::PreviousIncarnationFound{found});
  };
  callbacks.warm_state_loaded = [this](warm_state::WarmState what) {
    if (fleet_) fleet_->set_join_addresses(what.members);
    edge_actor_.mailbox().post_control(edge::WarmStateReceived{std::move(what)});
  };
  callbacks.collect_warm_state = [this] { return collect(); };
  persistence_ =
      std::make_unique<snapshot::PersistenceActor>(context_.get_executor(), recovery.directory, config_.name,
                                                   recovery.snapshot_every, std::move(callbacks), log_);
}

warm_state::WarmState Server::collect() const {
  auto what = edge_actor_.edge().export_warm_state(clocks_().steady);
  what.process_name = config_.name;
  if (!fleet_) return what;
  const auto& member = fleet_->member();
  what.boot_id = std::uint64_t(member.self().boot_id);
  const auto& roster = member.roster();
  for (membership::Index i = 0; i < roster.slot_count(); ++i)
    if (const auto& e = roster.at(i); e.known && e.certain_status == membership::Status::alive)
      what.members.push_back(e.address);
  return what;
}

std::optional<membership_udp::RecoveryReport> Server::recovery_report() const {
  const auto* course = edge_actor_.edge().recovery();
  if (!course) return std::nullopt;
  const auto now = clocks_().steady;
  const auto ms = [](Duration d) { return std::chrono::duration_cast<milliseconds>(d).count(); };
  membership_udp::RecoveryReport w;
  w.phase = recovery::text_of(course->phase());
  w.kind = recovery::text_of(course->restart_scope());
  w.since_ms = std::uint64_t(ms(now - std::min(course->phase_since(), now)));
  w.left_ms = std::uint64_t(ms(course->remaining(now)));
  w.keyed_wait_ms = std::uint64_t(ms(edge_actor_.edge().key_quarantine_left(now)));
  w.offered = std::uint8_t(100 * course->advertised_share());
  w.proven = std::uint8_t(100 * course->verified_share());
  w.bounded = course->max_wait_factor().has_value();
  w.recoveries = course->recoveries();
  const auto& m = course->timeline();
  const std::optional<Duration>* reached[] = {&m.first_response, &m.first_healthy,
                                              &m.half_share,     &m.nearly_full_share,
                                              &m.in_service,     &m.estimated_in_service};
  for (std::size_t k = 0; k < w.reached_ms.size(); ++k)
    if (*reached[k]) w.reached_ms[k] = ms(**reached[k]);
  if (learning_)
    for (const auto& name : learning_->donors())
      w.sources.push_back({name, std::uint64_t(ms(now - std::min(learning_->transferred_at(), now)))});
  return w;
}

void Server::learn_from_others() {
  const auto& m = *options_.declared->membership;
  const auto& member = fleet_->member();
  state_transfer::Actor::Options options{m.cluster,
                                         config_.name,
                                         m.zone,
                                         membership_udp::endpoint_of(m.bind).address(),
                                         options_.declared->recovery->state_transfer_port,
                                         config_.seed ^ std::uint64_t(member.self().boot_id)};
  recovery::DonorSelectionOptions rules;
  rules.total_timeout = options_.declared->recovery->max_learn;
  state_transfer::Actor::Callbacks callbacks;
  callbacks.clock = [this] { return clocks_().steady; };
  callbacks.make_response = [this] {
    const auto& me = fleet_->member();
    recovery::TransferResponse o;
    o.donor = config_.name;
    o.boot_id = me.self().boot_id;
    const auto* course = edge_actor_.edge().recovery();
    o.in_service = course && course->phase() == recovery::Phase::in_service;
    o.view_certain =
        me.has_quorum() && !me.uncertain() && me.local_connectivity() == membership::LocalConnectivity::ok;
    o.view_age = fleet_->time_since_last_received();
    if (o.in_service) o.state = collect();
    return o;
  };
  callbacks.may_request = [this](const asio::ip::address& who) { return fleet_->is_authorized(who); };
  callbacks.finished = [this](warm_state::WarmState what, std::size_t sources) {
    if (sources > 0) {
      fleet_->set_join_addresses(what.members);
      edge_actor_.mailbox().post_control(edge::WarmStateReceived{std::move(what), sources});
    }
    edge_actor_.mailbox().post_control(edge::StateTransferFinished{sources});
  };
  learning_ = std::make_unique<state_transfer::Actor>(context_.get_executor(), std::move(options), rules,
                                                      std::move(callbacks), log_);
}

// A life of its own at each start: the platform's seed is new then, and the clock tells most lives apart.
void Server::join_fleet() {
  const auto now = clocks_();
  const auto unix_ms = std::uint64_t(
      std::chrono::duration_cast<std::chrono::milliseconds>(now.unix.time_since_epoch()).count());
  std::mt19937_64 random(config_.seed ^ std::uint64_t(now.unix.time_since_epoch().count()));
  const auto boot_id = random();
  membership_udp::Actor::Hooks hooks;
  hooks.clock = [this] { return clocks_().steady; };
  hooks.recovery_report = [this] { return recovery_report(); };
  hooks.local_state = [this] {
    auto s = edge_actor_.edge().member_status(clocks_().steady);
    if (learning_) s.recovery_status.donor_port = learning_->port();
    return membership_udp::Actor::LocalState{s.stage, s.warmth_percent, s.load_percent,
                                             std::move(s.endpoint_health), s.recovery_status};
  };
  hooks.view = [this](std::shared_ptr<const membership::View> view) {
    if (learning_) learning_->update_view(view);
    edge_actor_.mailbox().post_control(edge::MembershipUpdate{std::move(view)});
  };
  fleet_ = std::make_unique<membership_udp::Actor>(context_.get_executor(), *options_.declared->membership,
                                                   config_.name, boot_id, unix_ms, random(), std::move(hooks),
                                                   log_);
}

// What stands at this door beside this process must not run what it runs, nor the other way round.
void Server::share_door() {
  auto& edge = edge_actor_.edge();
  const auto now = clocks_();
  auto opened = hot_restart::SharedLeaseTable::open(
      options_.lease_folder, config_.name, config_.seed ^ std::uint64_t(now.unix.time_since_epoch().count()),
      edge.longest_key_retention(), now.unix);
  if (const auto* error = std::get_if<hot_restart::LeaseTableError>(&opened)) {
    log_.line("no keyed request runs: the door is shared and its table can't be: " + error->message(),
              {{"event", "claims_unusable"}, {"why", error->message()}});
    edge.set_key_lease_hooks({[](const auto&, auto, auto) { return false; }, {}});
    return;
  }
  shared_.emplace(std::get<hot_restart::SharedLeaseTable>(std::move(opened)));
  if (shared_->was_reset())
    log_.line("keyed requests wait for one window: the table of claims was not to be believed",
              {{"event", "claims_wiped"}});
  const auto token = [this](const edge::Request& r) {
    return hot_restart::hash_key(config_.catalog.classes[std::size_t(r.cls)], r.idempotency_key);
  };
  edge.set_key_lease_hooks({[this, token](const edge::Request& r, Duration span, edge::UnixTime at) {
                              return shared_->acquire(token(r), r.arrived_at, span, at) ==
                                     hot_restart::LeaseDecision::acquired;
                            },
                            [this, token](const edge::Request& r) { shared_->release(token(r)); }});
}

// Of what this process knows now: no queue stands between a call and its answer.
admin::Reply Server::answer(admin::Command call) {
  auto& lifecycle = edge_actor_.edge().lifecycle();
  if (call == admin::Command::health) {
    std::string text = lifecycle::text_of(lifecycle.phase());
    if (lifecycle.kernel_started() && !link_.is_ready()) text += ", kernel link down";
    if (lifecycle.kernel_started() && !lifecycle.stopping() && edge_actor_.edge().controller_unhealthy())
      text += ", held unfit by the module";
    return {lifecycle.kernel_started() && !lifecycle.stopping(), text};
  }
  const auto before = lifecycle.phase();
  const bool done = call == admin::Command::quiesce ? lifecycle.quiesce() : lifecycle.resume();
  if (!done) return {false, "stopping: nothing leads back"};
  if (lifecycle.phase() != before) {
    edge_actor_.mailbox().post_control(edge::LifecycleChanged{});
    log_.line(std::string("operators' door: ") + lifecycle::text_of(lifecycle.phase()),
              {{"event", "lifecycle"}, {"phase", lifecycle::text_of(lifecycle.phase())}});
  }
  return {true, lifecycle::text_of(lifecycle.phase())};
}

void Server::start() {
  spawn(edge_actor_.run());
  spawn(link_.run());
  spawn(load_reporter_.run());
  spawn(listener_.run());
  spawn(listener_.enforce_timeouts());
  if (caller_) spawn(caller_->mind_idle());
  if (fleet_) {
    spawn(fleet_->receive());
    if (fleet_->has_secondary()) spawn(fleet_->receive_secondary());
    spawn(fleet_->run());
  }
  if (cache_fill_server_) spawn(cache_fill_server_->serve());
  if (admin_) {
    spawn(admin_->serve());
    const auto door = admin_->local_endpoint();
    log_.line("operators' door at " + door.address().to_string() + ":" + std::to_string(door.port()),
              {{"event", "operators_door"}, {"port", std::int64_t(door.port())}});
  }
  if (persistence_) spawn(persistence_->run());
  if (learning_) {
    learning_->start_transfer();
    spawn(learning_->run_server());
    spawn(learning_->run_client());
  } else if (edge_actor_.edge().recovery()) {
    edge_actor_.mailbox().post_control(edge::StateTransferFinished{});  // there is nobody to ask
  }
  const auto at = local_endpoint();
  log_.line("listening on " + at.address().to_string() + ":" + std::to_string(at.port()),
            {{"event", "listening"}, {"port", std::int64_t(at.port())}});
  if (options_.declared)
    log_.line("operator file " + options_.declared->file + ": " +
                  std::to_string(options_.declared->spec.dependencies.size()) + " dependencies, " +
                  std::to_string(options_.declared->spec.gathers.size()) + " classes gather",
              {{"event", "declared"}, {"file", options_.declared->file}});
}

// An actor that ends by an exception has broken its promises: better a clear end than half a server.
void Server::spawn(asio::awaitable<void> actor) {
  asio::co_spawn(context_, std::move(actor), [](const std::exception_ptr& failed) {
    if (failed) std::rethrow_exception(failed);
  });
}

void Server::dispatch(edge::Output output) {
  std::visit([this](auto& o) { carry_out(std::move(o)); }, output);
}

// One for each kind of output: a new one without does not compile.
void Server::carry_out(edge::Response&& answer) {
  const auto to = answer.to;
  listener_.deliver(to, std::move(answer));
}
void Server::carry_out(edge::HealthResponse&& health) { listener_.deliver(health.to, health); }
void Server::carry_out(edge::Command&& command) { link_.send(command); }
void Server::carry_out(edge::LoadReport&& report) {
  const auto& lifecycle = edge_actor_.edge().lifecycle();
  if (shared_ && lifecycle.kernel_started() && !lifecycle.stopping()) shared_->mark_serving();
  load_reporter_.report(report);
}
void Server::carry_out(edge::CloseIdlePeers&& idle) { listener_.close_idle_connections(idle.idle_for); }
void Server::carry_out(edge::LogEvent&& remark) {
  log_.line(remark.text, {{"event", remark.event}, {"subject", remark.subject}});
}
void Server::carry_out(edge::DependencyCall&& call) {
  if (caller_) caller_->start(std::move(call));
}
void Server::carry_out(edge::CancelDependencyCall&& drop) {
  if (caller_) caller_->abandon(drop.id);
}

void Server::carry_out(edge::StateTransferRequested&&) {
  if (learning_)
    learning_->start_transfer();
  else
    edge_actor_.mailbox().post_control(edge::StateTransferFinished{});
}

void Server::carry_out(edge::CacheFillReply&& answer) {
  if (cache_fill_server_) cache_fill_server_->answer(std::move(answer));
}

void Server::drain() {
  if (std::exchange(leaving_, true)) return;
  // First of all no successor to anybody any more: guards against two that leave the door to each other.
  if (shared_) shared_->mark_draining();
  const bool successor = shared_ && shared_->another_process_serves();
  edge_actor_.edge().lifecycle().stop(successor);
  const auto left = successor ? time_to_hand_over() : config_.stop;
  log_.line("notice to leave: " + std::to_string(left.count()) + " ms left" +
                (successor ? ", the door is another process's" : ""),
            {{"event", "leaving"}, {"left_ms", std::int64_t(left.count())}});
  edge_actor_.mailbox().post_control(edge::Drain{left});
  spawn(successor ? hand_over(left) : leave());
}

// The kill comes after the longest deadline, 3 s at most, and some more; or by stop_ms, if that is less.
std::chrono::milliseconds Server::time_to_hand_over() const {
  Duration longest{};
  for (const auto& c : config_.parsed.settings.classes)
    longest = std::max(longest, c.deadline.value_or(c.latency_objective.value_or(1s)));
  const auto most = std::chrono::duration_cast<milliseconds>(std::min<Duration>(longest, kMaxDeadline));
  return std::min(config_.stop, most + kAfterDeadline);
}

// Another process serves at this door. What was read here is answered here, what still comes on the
// connections that stand too; new ones are the other's, and so are the list and its checks.
asio::awaitable<void> Server::hand_over(std::chrono::milliseconds within) {
  using Clock = std::chrono::steady_clock;
  const auto end = Clock::now() + within - std::min(kLastMoment, within / 8);
  load_reporter_.stop_reporting();
  listener_.start_draining(net::BacklogPolicy::leave);
  asio::steady_timer timer(context_);
  while (Clock::now() < end) {
    timer.expires_after(kLook);
    co_await timer.async_wait(asio::use_awaitable);
    // Its clients end what rests, once they have been told: guards against a request sent back unheard.
    if (edge_actor_.is_idle() && listener_.empty()) break;
  }
  end_all();
}

void Server::reload(const std::variant<config::Config, config::ConfigError>& loaded) {
  if (const auto* problem = std::get_if<config::ConfigError>(&loaded))
    return log_.line("reload: keeping the old configuration: " + problem->message(),
                     {{"event", "reload_refused"}, {"why", problem->message()}});
  const auto& fresh = std::get<config::Config>(loaded);
  boost::system::error_code error;
  const auto kernel = address<asio::ip::tcp>(fresh.kernel, error);
  const auto service = error ? asio::ip::udp::endpoint() : address<asio::ip::udp>(fresh.announce, error);
  if (error) return log_.line("reload: keeping the old configuration: address: " + error.message());
  std::string fixed;
  const auto note = [&](bool same, const char* name) {
    if (!same) fixed.append(fixed.empty() ? "" : ", ").append(name);
  };
  note(fresh.name == config_.name, "name");
  note(fresh.listen == config_.listen, "listen");
  note(fresh.limits == config_.limits, "limits");
  note(fresh.admin == config_.admin, "admin_addr");
  note(fresh.settings_text == config_.settings_text, "settings");
  config_.kernel = fresh.kernel;
  config_.announce = fresh.announce;
  config_.stop = fresh.stop;
  log_.line(
      "reload: kernel at " + text_of(fresh.kernel) + ", announce service at " + text_of(fresh.announce),
      {{"event", "reloaded"}, {"kernel", text_of(fresh.kernel)}, {"announce", text_of(fresh.announce)}});
  if (!fixed.empty())
    log_.line("reload: changed but kept until a restart: " + fixed,
              {{"event", "reload_kept"}, {"kept", fixed}});
  link_.set_endpoint(kernel);
  load_reporter_.set_service(service);
}

void Server::reload(std::variant<operators::OperatorConfig, operators::Errors> loaded) {
  const auto keep = [&](const operators::Errors& errors) {
    for (const auto& e : errors)
      log_.line("reload: keeping the old operator file: " + e.text(),
                {{"event", "reload_refused"}, {"field", e.field}});
  };
  if (const auto* errors = std::get_if<operators::Errors>(&loaded)) return keep(*errors);
  auto& fresh = std::get<operators::OperatorConfig>(loaded);
  if (const auto errors = operators::resolve_classes(fresh, config_.catalog); !errors.empty())
    return keep(errors);
  if (!options_.declared) return;
  if (fresh.dependency_connections != options_.declared->dependency_connections)
    log_.line("reload: changed but kept until a restart: connections",
              {{"event", "reload_kept"}, {"kept", "connections"}});
  if (fresh.membership.has_value() != (fleet_ != nullptr))
    log_.line("reload: changed but kept until a restart: membership",
              {{"event", "reload_kept"}, {"kept", "membership"}});
  else if (fleet_)
    fleet_->change(*fresh.membership);
  if (fresh.recovery != options_.declared->recovery)
    log_.line("reload: changed but kept until a restart: recovery",
              {{"event", "reload_kept"}, {"kept", "recovery"}});
  const auto connections = options_.declared->dependency_connections;
  options_.declared = std::move(fresh);
  options_.declared->dependency_connections = connections;
  log_.line(
      "reload: operator file taken over: " + std::to_string(options_.declared->spec.dependencies.size()) +
          " dependencies, " + std::to_string(options_.declared->spec.gathers.size()) + " classes gather",
      {{"event", "reloaded"}});
  edge_actor_.mailbox().post_control(
      edge::DependencySpecUpdate{std::make_shared<const deps::Spec>(options_.declared->spec)});
}

// Takes and answers what still comes as long as callers may not have heard; then closes the door, sees all
// answers off and ends before the kill.
asio::awaitable<void> Server::leave() {
  using Clock = std::chrono::steady_clock;
  const auto end = Clock::now() + config_.stop - std::min(kLastMoment, config_.stop / 8);
  asio::steady_timer timer(context_, end - std::min(kDoorBefore, config_.stop / 4));
  co_await timer.async_wait(asio::use_awaitable);
  listener_.start_draining(net::BacklogPolicy::accept);
  bool closing = false;
  const auto crossed = Clock::now() + std::min(kCrossing, config_.stop / 16);
  while (Clock::now() < end) {
    timer.expires_after(kLook);
    co_await timer.async_wait(asio::use_awaitable);
    if (Clock::now() < crossed || !edge_actor_.is_idle() || !listener_.is_quiescent()) continue;
    // Nothing is owed any more: the fleet hears that this one leaves, and it waits for some of them to know.
    if (fleet_) fleet_->leave();
    // Before an end is written down nothing more may run; what came in the meantime is answered first.
    if (persistence_ && !std::exchange(closing, true)) {
      edge_actor_.mailbox().post_control(edge::AdmissionClosed{});
      continue;
    }
    if (persistence_) persistence_->shut_down();
    if ((!fleet_ || fleet_->has_left()) && (!persistence_ || persistence_->finished())) break;
  }
  end_all();
}

void Server::end_all() {
  const bool all = edge_actor_.is_idle() && listener_.is_quiescent();
  log_.line(all ? "left: all answered" : "left: with answers unsent",
            {{"event", all ? "left" : "left_unsent"}});
  if (caller_) caller_->close_all();
  if (learning_) learning_->close();
  if (cache_fill_server_) cache_fill_server_->close();
  if (admin_) admin_->close();
  listener_.close_all();
  context_.stop();
}

}  // namespace granitegap
