// One tile server: its actors, wired. Starts no thread and installs no signal handler.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <stdexcept>
#include <variant>

#include "admin/door.h"
#include "announce/announcer.h"
#include "config/config.h"
#include "deps_http/caller.h"
#include "edge/module_actor.h"
#include "fill_http/door.h"
#include "handover/shared_table.h"
#include "kernel/link.h"
#include "learning_tcp/actor.h"
#include "log/logger.h"
#include "membership_udp/actor.h"
#include "net/listener.h"
#include "operators/operator_file.h"
#include "snapshot/keeper.h"

namespace granitegap {

// An address that was asked for can't be had: a clear line, and exit status 2.
struct UnusableAddress : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Server {
 public:
  struct Extras {                                 // what an operator may add; none of it on the platform
    std::optional<operators::Declared> declared;  // its classes numbered
    LogForm log = LogForm::text;
    bool guarded = true;                    // false: the plain policy that measurements compare with
    std::optional<int> listening;           // an inherited socket; docs/operation.md
    std::optional<config::Endpoint> admin;  // the operators' door
    std::string shared_folder;              // with `listening`: what processes at one door share
  };
  Server(boost::asio::io_context& context, config::Config config, Extras extras,
         edge::ModuleActor::Clocks clocks = edge::read_clocks);
  Server(boost::asio::io_context& context, config::Config config,
         edge::ModuleActor::Clocks clocks = edge::read_clocks)
      : Server(context, std::move(config), Extras{}, std::move(clocks)) {}
  void start();
  // The notice to leave: ends the context once all is answered, before the kill.
  void drain();
  // A new configuration while running: the kernel's and the announce service's addresses are taken over and
  // stop_ms counts from the next notice; what else differs waits for a restart, and is named in a line.
  void reload(const std::variant<config::Config, config::Problem>& loaded);
  // A new operator's file while running: calls in flight go on. One that can't be used keeps the old.
  void reload(std::variant<operators::Declared, operators::Errors> loaded);
  boost::asio::ip::tcp::endpoint local() const { return listener_.local(); }
  // Where operators call; absent where no door was asked for.
  std::optional<boost::asio::ip::tcp::endpoint> admin_door() const {
    if (!admin_) return std::nullopt;
    return admin_->local();
  }
  edge::ModuleActor& module() { return module_; }
  // Once the context has ended: a disk still holds a thread, which nobody can wait for.
  bool disk_hangs() const { return keeper_ && keeper_->at_work(); }

 private:
  void spawn(boost::asio::awaitable<void> actor);
  void dispatch(edge::Output output);
  void carry_out(edge::Answer&& answer);
  void carry_out(edge::HealthAnswer&& health);
  void carry_out(edge::Command&& command);
  void carry_out(edge::Report&& report);
  void carry_out(edge::CloseIdlePeers&& idle);
  void carry_out(edge::Remark&& remark);
  void carry_out(edge::CallBelow&& call);
  void carry_out(edge::DropCall&& drop);
  void carry_out(edge::AskOthers&& ask);
  void carry_out(edge::FillAnswer&& answer);
  boost::asio::awaitable<void> leave();
  void end_all();
  boost::asio::awaitable<void> hand_over(std::chrono::milliseconds within);
  std::chrono::milliseconds time_to_hand_over() const;
  void share_door();
  admin::Reply answer(admin::Call call);
  void join_fleet();
  void learn_from_others();
  learned::Learned collect() const;
  std::optional<membership_udp::WayBack> way_back() const;
  void keep_learned(const operators::Declared::Recovery& recovery);

  static edge::Edge make_edge(const config::Config& config, const Extras& extras, TimePoint started);
  static std::size_t sockets_for_door(const Extras& extras);
  static std::size_t sockets_for_peers(const config::Config& config, const Extras& extras);

  boost::asio::io_context& context_;
  config::Config config_;
  Extras extras_;
  Logger log_;
  edge::ModuleActor module_;
  kernel::Link link_;
  announce::Announcer announcer_;
  net::Listener listener_;
  std::optional<deps_http::Caller> caller_;
  std::unique_ptr<membership_udp::Actor> fleet_;  // only where it is declared
  std::unique_ptr<snapshot::Keeper> keeper_;      // the same
  std::unique_ptr<learning_tcp::Actor> learning_;
  std::unique_ptr<fill_http::Door> fill_door_;
  std::unique_ptr<admin::Door> admin_;
  std::optional<handover::SharedTable> shared_;  // only where the door is shared
  edge::ModuleActor::Clocks clocks_;
  bool leaving_ = false;
};

}  // namespace granitegap
