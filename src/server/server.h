// One tile server: its actors, wired. Starts no thread and installs no signal handler.
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

// An address that was asked for can't be had: a clear line, and exit status 2.
struct AddressError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Server {
 public:
  struct Options {  // what an operator may add; none of it on the platform
    std::optional<operators::OperatorConfig> declared;  // its classes numbered
    LogFormat log = LogFormat::text;
    bool protect_calls = true;  // false: the plain policy that measurements compare with
    std::optional<net::FileDescriptor> inherited_listener;  // an inherited socket; docs/operation.md
    std::optional<config::Endpoint> admin;                  // the operators' door
    std::string lease_folder;  // with `listening`: what processes at one door share
  };
  Server(boost::asio::io_context& context, config::Config config, Options options,
         edge::EdgeActor::Clocks clocks = edge::read_clocks);
  Server(boost::asio::io_context& context, config::Config config,
         edge::EdgeActor::Clocks clocks = edge::read_clocks)
      : Server(context, std::move(config), Options{}, std::move(clocks)) {}
  void start();
  // The notice to leave: ends the context once all is answered, before the kill.
  void drain();
  // A new configuration while running: the kernel's and the announce service's addresses are taken over and
  // stop_ms counts from the next notice; what else differs waits for a restart, and is named in a line.
  void reload(const std::variant<config::Config, config::ConfigError>& loaded);
  // A new operator's file while running: calls in flight go on. One that can't be used keeps the old.
  void reload(std::variant<operators::OperatorConfig, operators::Errors> loaded);
  boost::asio::ip::tcp::endpoint local_endpoint() const { return listener_.local_endpoint(); }
  // Where operators call; absent where no door was asked for.
  std::optional<boost::asio::ip::tcp::endpoint> admin_endpoint() const {
    if (!admin_) return std::nullopt;
    return admin_->local_endpoint();
  }
  edge::EdgeActor& edge_actor() { return edge_actor_; }
  // Once the context has ended: a disk still holds a thread, which nobody can wait for.
  bool has_blocked_disk_thread() const { return persistence_ && persistence_->disk_busy(); }

 private:
  void spawn(boost::asio::awaitable<void> actor);
  void dispatch(edge::Output output);
  void carry_out(edge::Response&& answer);
  void carry_out(edge::HealthResponse&& health);
  void carry_out(edge::Command&& command);
  void carry_out(edge::LoadReport&& report);
  void carry_out(edge::CloseIdlePeers&& idle);
  void carry_out(edge::LogEvent&& remark);
  void carry_out(edge::DependencyCall&& call);
  void carry_out(edge::CancelDependencyCall&& drop);
  void carry_out(edge::StateTransferRequested&& ask);
  void carry_out(edge::CacheFillReply&& answer);
  boost::asio::awaitable<void> drain_and_stop();
  void stop();
  boost::asio::awaitable<void> hand_over(std::chrono::milliseconds within);
  std::chrono::milliseconds hand_over_time_limit() const;
  void open_lease_table();
  admin::Reply answer(admin::Command call);
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
  std::unique_ptr<membership_udp::Actor> fleet_;             // only where it is declared
  std::unique_ptr<snapshot::PersistenceActor> persistence_;  // the same
  std::unique_ptr<state_transfer::Actor> state_transfer_;
  std::unique_ptr<cache_fill_http::CacheFillServer> cache_fill_server_;
  std::unique_ptr<admin::AdminServer> admin_;
  std::optional<hot_restart::SharedLeaseTable> lease_table_;  // only where the door is shared
  edge::EdgeActor::Clocks clocks_;
  bool draining_ = false;
};

}  // namespace granitegap
