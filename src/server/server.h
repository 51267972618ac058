// One tile server: creates its actors and connects them. Starts no thread and installs no signal handler; the
// caller runs the io context.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <stdexcept>
#include <variant>

#include "admin/server.h"
#include "cache_fill_http/server.h"
#include "config/config.h"
#include "deps_http/dependency_client.h"
#include "edge/edge_actor.h"
#include "hot_restart/shared_lease_table.h"
#include "kernel/link.h"
#include "load_report/load_reporter.h"
#include "log/logger.h"
#include "membership_udp/actor.h"
#include "net/listener.h"
#include "operators/operator_config.h"
#include "snapshot/persistence_actor.h"
#include "state_transfer/actor.h"

namespace granitegap {

// The configured address of a listener cannot be used. The program prints the message and exits with
// status 2.
struct AddressError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Server {
 public:
  // Optional features that an operator may configure. The platform starts the program without any of them.
  struct Options {
    std::optional<operators::OperatorConfig> operator_config;  // with its class names resolved
    LogFormat log = LogFormat::text;
    bool protect_calls = true;  // false: calls without budgets, limits or breakers, as a benchmark baseline
    std::optional<net::FileDescriptor> inherited_listener;  // a listening socket; see docs/operation.md
    std::optional<config::Endpoint> admin;                  // address of the admin listener
    // With `inherited_listener`: the directory of the key lease table that all processes on the socket share.
    std::string lease_directory;
  };
  // Opens the listeners and creates the actors that the configuration names. Throws AddressError or
  // boost::system::system_error if an address cannot be used. `context` must outlive the server.
  Server(boost::asio::io_context& context, config::Config config, Options options,
         edge::EdgeActor::Clocks clocks = edge::read_clocks);
  Server(boost::asio::io_context& context, config::Config config,
         edge::EdgeActor::Clocks clocks = edge::read_clocks)
      : Server(context, std::move(config), Options{}, std::move(clocks)) {}
  // Spawns the actors on the io context.
  void start();
  // Begins the graceful shutdown: stops the io context once every request is answered, and before the
  // platform kills the process. Does nothing the second time.
  void drain();
  // Applies a changed configuration while running: the addresses of the kernel and of the announce service
  // apply at once, stop_ms from the next drain. Other differences need a restart and are logged. After an
  // error the previous configuration stays in use.
  void reload(const std::variant<config::Config, config::ConfigError>& loaded);
  // Applies a changed operator file while running. Calls in flight continue. After an error the previous file
  // stays in use.
  void reload(std::variant<operators::OperatorConfig, operators::Errors> loaded);
  // The address that the listener for client proxies is bound to.
  boost::asio::ip::tcp::endpoint local_endpoint() const { return listener_.local_endpoint(); }
  // The address that the admin listener is bound to; absent if none is configured.
  std::optional<boost::asio::ip::tcp::endpoint> admin_endpoint() const {
    if (!admin_server_) return std::nullopt;
    return admin_server_->local_endpoint();
  }
  edge::EdgeActor& edge_actor() { return edge_actor_; }
  // Whether a disk operation still blocks a thread after the io context has stopped. That thread cannot be
  // joined.
  bool has_blocked_disk_thread() const { return persistence_ && persistence_->disk_busy(); }

 private:
  void spawn(boost::asio::awaitable<void> actor);
  // Passes an output of the edge to the actor that performs it.
  void dispatch(edge::Output output);
  void carry_out(edge::Response&& response);
  void carry_out(edge::HealthResponse&& health);
  void carry_out(edge::Command&& command);
  void carry_out(edge::LoadReport&& report);
  void carry_out(edge::CloseIdlePeers&& idle);
  void carry_out(edge::LogEvent&& event);
  void carry_out(edge::DependencyCall&& call);
  void carry_out(edge::CancelDependencyCall&& cancellation);
  void carry_out(edge::StateTransferRequested&& request);
  void carry_out(edge::CacheFillReply&& reply);
  boost::asio::awaitable<void> drain_and_stop();
  void stop();
  boost::asio::awaitable<void> hand_over(std::chrono::milliseconds time_limit);
  std::chrono::milliseconds hand_over_time_limit() const;
  void open_lease_table();
  admin::Reply handle_admin_command(admin::Command command);
  void create_membership_actor();
  void create_state_transfer_actor();
  warm_state::WarmState collect_warm_state() const;
  std::optional<membership_udp::RecoveryReport> recovery_report() const;
  void create_persistence_actor(const operators::OperatorConfig::Recovery& recovery);

  static edge::Edge make_edge(const config::Config& config, const Options& options, TimePoint started);
  static std::size_t cache_fill_descriptors(const Options& options);
  static std::size_t client_descriptors(const config::Config& config, const Options& options);

  boost::asio::io_context& context_;
  config::Config config_;
  Options options_;
  Logger log_;
  edge::EdgeActor edge_actor_;
  kernel::Link link_;
  load_report::LoadReporter load_reporter_;
  net::Listener listener_;
  std::optional<deps_http::DependencyClient> dependency_client_;
  std::unique_ptr<membership_udp::Actor> membership_actor_;  // only if the operator file declares it
  std::unique_ptr<snapshot::PersistenceActor> persistence_;  // likewise
  std::unique_ptr<state_transfer::Actor> state_transfer_;
  std::unique_ptr<cache_fill_http::CacheFillServer> cache_fill_server_;
  std::unique_ptr<admin::AdminServer> admin_server_;
  std::optional<hot_restart::SharedLeaseTable> lease_table_;  // only with an inherited listener
  edge::EdgeActor::Clocks clocks_;
  bool draining_ = false;
};

}  // namespace granitegap
