#include "server/server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <exception>

#include "partial_response/compose.h"
#include "server/endpoint_address.h"

namespace granitegap {
namespace {

namespace asio = boost::asio;
constexpr std::size_t kMaxComposed = std::size_t{200} * 1024;  // well inside a frame

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

std::size_t Server::cache_fill_descriptors(const Options& options) {
  return options.declared && options.declared->cache_fill_enabled()
             ? cache_fill_http::CacheFillServer::kMaxConnections
             : 0;
}

// Calls below, and the door where others ask, take their descriptors from the same limit, and never more than
// half of it.
std::size_t Server::client_descriptors(const config::Config& config, const Options& options) {
  auto all = config.limits.sockets;
  if (options.admin) all -= std::min(admin::AdminServer::kDescriptors, all / 4);
  if (!options.declared) return all;
  return all - std::min(options.declared->dependency_connections + cache_fill_descriptors(options), all / 2);
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
          client_descriptors(config_, options_), config_.catalog, edge_actor_.mailbox(), log_,
          options_.inherited_listener ? std::move(*options_.inherited_listener) : net::FileDescriptor()) {
  clocks_ = std::move(clocks);
  if (options_.admin) try {
      admin_ = std::make_unique<admin::AdminServer>(
          context.get_executor(), address<asio::ip::tcp>(*options_.admin),
          [this](admin::Command call) { return answer(call); }, log_);
    } catch (const std::exception& e) {
      throw AddressError("the operators' door at " + text_of(*options_.admin) + ": " + e.what());
    }
  if (options_.inherited_listener) open_lease_table();
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
  if (options_.declared->membership) create_membership_actor();
  if (cache_fill_server_)
    cache_fill_server_->start(
        fleet_->member().self().boot_id,
        {[this](const asio::ip::address& who) { return fleet_->is_authorized(who); },
         [this](edge::CacheFillQuery asked) { return edge_actor_.mailbox().post(std::move(asked)); }});
  if (const auto& r = options_.declared->recovery; r && !r->directory.empty()) create_persistence_actor(*r);
  if (const auto& r = options_.declared->recovery; r && r->guided && fleet_) create_state_transfer_actor();
  // Ends of calls always find room: the limits on open calls bound their number.
  const auto apart = config_.limits.sockets - client_descriptors(config_, options_);
  dependency_client_.emplace(
      context.get_executor(), apart - std::min(cache_fill_descriptors(options_), apart / 2),
      [this](deps::CallCompletion report) { edge_actor_.mailbox().post_control(std::move(report)); });
}

// What stands at this door beside this process must not run what it runs, nor the other way round.
void Server::open_lease_table() {
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
  lease_table_.emplace(std::get<hot_restart::SharedLeaseTable>(std::move(opened)));
  if (lease_table_->was_reset())
    log_.line("keyed requests wait for one window: the table of claims was not to be believed",
              {{"event", "claims_wiped"}});
  const auto token = [this](const edge::Request& r) {
    return hot_restart::hash_key(config_.catalog.classes[std::size_t(r.cls)], r.idempotency_key);
  };
  edge.set_key_lease_hooks({[this, token](const edge::Request& r, Duration span, edge::UnixTime at) {
                              return lease_table_->acquire(token(r), r.arrived_at, span, at) ==
                                     hot_restart::LeaseDecision::acquired;
                            },
                            [this, token](const edge::Request& r) { lease_table_->release(token(r)); }});
}

// Of what this process knows now: no queue stands between a call and its answer.
admin::Reply Server::answer(admin::Command call) {
  auto& lifecycle = edge_actor_.edge().lifecycle();
  if (call == admin::Command::health) {
    std::string text = lifecycle::phase_name(lifecycle.phase());
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
    log_.line(std::string("operators' door: ") + lifecycle::phase_name(lifecycle.phase()),
              {{"event", "lifecycle"}, {"phase", lifecycle::phase_name(lifecycle.phase())}});
  }
  return {true, lifecycle::phase_name(lifecycle.phase())};
}

void Server::start() {
  spawn(edge_actor_.run());
  spawn(link_.run());
  spawn(load_reporter_.run());
  spawn(listener_.run());
  spawn(listener_.enforce_timeouts());
  if (dependency_client_) spawn(dependency_client_->reap_idle_connections());
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
  if (state_transfer_) {
    state_transfer_->start_transfer();
    spawn(state_transfer_->run_server());
    spawn(state_transfer_->run_client());
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

}  // namespace granitegap
