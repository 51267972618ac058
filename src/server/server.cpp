#include "server/server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <exception>

#include "partial_response/compose.h"
#include "server/endpoint_address.h"

namespace granitegap {
namespace {

namespace asio = boost::asio;
constexpr std::size_t kMaxComposed = std::size_t{200} * 1024;  // leaves room in a frame for its headers

}  // namespace

edge::Edge Server::make_edge(const config::Config& config, const Options& options, TimePoint started) {
  edge::Edge edge(config.parsed, config.catalog, config.seed);
  if (options.operator_config)
    edge.enable_dependencies(
        std::make_shared<const deps::Spec>(options.operator_config->spec),
        [](std::string result, const std::vector<edge::GatheredPart>& parts) {
          return partial_response::compose(std::move(result), parts, kMaxComposed);
        },
        options.protect_calls);
  if (!options.operator_config || !options.operator_config->recovery) return edge;
  const auto& section = *options.operator_config->recovery;
  if (section.quarantine_keys)
    edge.enable_restart_quarantine(section.max_clock_back, !section.directory.empty(), started);
  if (section.guided) {
    recovery::RecoveryOptions recovery_options;
    recovery_options.initial_share = section.first;
    recovery_options.growth_factor = section.growth;
    recovery_options.max_wait_factor = section.wait_bound;
    recovery_options.max_state_transfer = section.max_learn;
    recovery_options.max_tick_gap = section.max_pause;
    recovery_options.calm_period = section.calm_for;
    edge.enable_recovery_ramp(recovery_options, started);
  }
  return edge;
}

std::size_t Server::cache_fill_descriptors(const Options& options) {
  return options.operator_config && options.operator_config->cache_fill_enabled()
             ? cache_fill_http::CacheFillServer::kMaxConnections
             : 0;
}

// Returns the number of descriptors for client connections. The admin listener takes at most a quarter of the
// limit on sockets; calls to dependencies and the cache fill server together take at most half of the
// remainder.
std::size_t Server::client_descriptors(const config::Config& config, const Options& options) {
  auto available = config.limits.sockets;
  if (options.admin) available -= std::min(admin::AdminServer::kDescriptors, available / 4);
  if (!options.operator_config) return available;
  return available -
         std::min(options.operator_config->dependency_connections + cache_fill_descriptors(options),
                  available / 2);
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
      link_(context.get_executor(), to_asio_endpoint<asio::ip::tcp>(config_.kernel), config_.catalog,
            edge_actor_.mailbox(), log_),
      load_reporter_(context.get_executor(), to_asio_endpoint<asio::ip::udp>(config_.announce), config_.name,
                     log_),
      listener_(
          context.get_executor(), to_asio_endpoint<asio::ip::tcp>(config_.listen),
          client_descriptors(config_, options_), config_.catalog, edge_actor_.mailbox(), log_,
          options_.inherited_listener ? std::move(*options_.inherited_listener) : net::FileDescriptor()) {
  clocks_ = std::move(clocks);
  if (options_.admin) try {
      admin_server_ = std::make_unique<admin::AdminServer>(
          context.get_executor(), to_asio_endpoint<asio::ip::tcp>(*options_.admin),
          [this](admin::Command command) { return handle_admin_command(command); }, log_);
    } catch (const std::exception& e) {
      throw AddressError("cannot open the admin listener at " + to_text(*options_.admin) + ": " + e.what());
    }
  if (options_.inherited_listener) open_lease_table();
  if (!options_.operator_config) return;
  if (options_.operator_config->cache_fill_enabled()) {
    auto& settings = *options_.operator_config->membership;
    cache_fill_server_ = std::make_unique<cache_fill_http::CacheFillServer>(
        context.get_executor(),
        asio::ip::tcp::endpoint(membership_udp::endpoint_of(settings.bind).address(),
                                options_.operator_config->cache_fill_port),
        log_);
    settings.cache_fill_port = cache_fill_server_->port();
  }
  if (options_.operator_config->membership) create_membership_actor();
  if (cache_fill_server_)
    cache_fill_server_->start(
        membership_actor_->member().self().boot_id,
        {[this](const asio::ip::address& peer) { return membership_actor_->is_authorized(peer); },
         [this](edge::CacheFillQuery query) { return edge_actor_.mailbox().post(std::move(query)); }});
  if (const auto& recovery = options_.operator_config->recovery; recovery && !recovery->directory.empty())
    create_persistence_actor(*recovery);
  if (const auto& recovery = options_.operator_config->recovery;
      recovery && recovery->guided && membership_actor_)
    create_state_transfer_actor();
  // post_control() bypasses the capacity of the mailbox: the limits on open calls bound the number of
  // completions.
  const auto reserved = config_.limits.sockets - client_descriptors(config_, options_);
  dependency_client_.emplace(
      context.get_executor(), reserved - std::min(cache_fill_descriptors(options_), reserved / 2),
      [this](deps::CallCompletion completion) { edge_actor_.mailbox().post_control(std::move(completion)); });
}

// Opens the table of key leases that all processes on the inherited socket share, so that each idempotency
// key is run by one of them only. Without the table this process runs no keyed request.
void Server::open_lease_table() {
  auto& edge = edge_actor_.edge();
  const auto now = clocks_();
  auto opened =
      hot_restart::SharedLeaseTable::open(options_.lease_directory, config_.name,
                                          config_.seed ^ std::uint64_t(now.unix.time_since_epoch().count()),
                                          edge.longest_key_retention(), now.unix);
  if (const auto* error = std::get_if<hot_restart::LeaseTableError>(&opened)) {
    log_.line(
        "no keyed request runs: cannot open the key lease table of the shared listener: " + error->message(),
        {{"event", "claims_unusable"}, {"why", error->message()}});
    edge.set_key_lease_hooks({[](const auto&, auto, auto) { return false; }, {}});
    return;
  }
  lease_table_.emplace(std::get<hot_restart::SharedLeaseTable>(std::move(opened)));
  if (lease_table_->was_reset())
    log_.line(
        "no keyed request runs for one idempotency window: the key lease table was not valid and has been "
        "reset",
        {{"event", "claims_wiped"}});
  const auto key_hash = [this](const edge::Request& r) {
    return hot_restart::hash_key(config_.catalog.classes[std::size_t(r.cls)], r.idempotency_key);
  };
  edge.set_key_lease_hooks(
      {[this, key_hash](const edge::Request& r, Duration span, edge::UnixTime at) {
         return lease_table_->acquire(key_hash(r), r.arrived_at, span, at) ==
                hot_restart::LeaseDecision::acquired;
       },
       [this, key_hash](const edge::Request& r) { lease_table_->release(key_hash(r)); }});
}

// Replies from the current state of the process without going through a mailbox, so that load does not delay
// the reply.
admin::Reply Server::handle_admin_command(admin::Command command) {
  auto& lifecycle = edge_actor_.edge().lifecycle();
  if (command == admin::Command::health) {
    std::string text = lifecycle::phase_name(lifecycle.phase());
    if (lifecycle.kernel_started() && !link_.is_ready()) text += ", kernel link down";
    if (lifecycle.kernel_started() && !lifecycle.stopping() && edge_actor_.edge().controller_unhealthy())
      text += ", held unfit by the module";
    return {lifecycle.kernel_started() && !lifecycle.stopping(), text};
  }
  const auto before = lifecycle.phase();
  const bool accepted = command == admin::Command::quiesce ? lifecycle.quiesce() : lifecycle.resume();
  if (!accepted) return {false, "stopping: nothing leads back"};
  if (lifecycle.phase() != before) {
    edge_actor_.mailbox().post_control(edge::LifecycleChanged{});
    log_.line(std::string("admin listener: phase changed to ") + lifecycle::phase_name(lifecycle.phase()),
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
  if (membership_actor_) {
    spawn(membership_actor_->receive());
    if (membership_actor_->has_secondary()) spawn(membership_actor_->receive_secondary());
    spawn(membership_actor_->run());
  }
  if (cache_fill_server_) spawn(cache_fill_server_->serve());
  if (admin_server_) {
    spawn(admin_server_->serve());
    const auto endpoint = admin_server_->local_endpoint();
    log_.line("admin listener at " + endpoint.address().to_string() + ":" + std::to_string(endpoint.port()),
              {{"event", "operators_door"}, {"port", std::int64_t(endpoint.port())}});
  }
  if (persistence_) spawn(persistence_->run());
  if (state_transfer_) {
    state_transfer_->start_transfer();
    spawn(state_transfer_->run_server());
    spawn(state_transfer_->run_client());
  } else if (edge_actor_.edge().recovery()) {
    edge_actor_.mailbox().post_control(edge::StateTransferFinished{});  // no fleet to transfer state from
  }
  const auto endpoint = local_endpoint();
  log_.line("listening on " + endpoint.address().to_string() + ":" + std::to_string(endpoint.port()),
            {{"event", "listening"}, {"port", std::int64_t(endpoint.port())}});
  if (options_.operator_config)
    log_.line("operator file " + options_.operator_config->file + ": " +
                  std::to_string(options_.operator_config->spec.dependencies.size()) + " dependencies, " +
                  std::to_string(options_.operator_config->spec.gathers.size()) + " classes with gathers",
              {{"event", "declared"}, {"file", options_.operator_config->file}});
}

// An exception that leaves an actor is rethrown from the io context and ends the process, which would
// otherwise run on without that actor.
void Server::spawn(asio::awaitable<void> actor) {
  asio::co_spawn(context_, std::move(actor), [](const std::exception_ptr& error) {
    if (error) std::rethrow_exception(error);
  });
}

}  // namespace granitegap
