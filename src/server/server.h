// One tile server: its actors, wired. Starts no thread and installs no signal handler.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <variant>

#include "announce/announcer.h"
#include "config/config.h"
#include "edge/module_actor.h"
#include "kernel/link.h"
#include "log/logger.h"
#include "net/listener.h"

namespace granitegap {

class Server {
 public:
  Server(boost::asio::io_context& context, config::Config config,
         edge::ModuleActor::Clocks clocks = edge::read_clocks);
  void start();
  // The notice to leave: ends the context once all is answered, before the kill.
  void drain();
  // A new configuration while running: the kernel's and the announce service's addresses are taken over and
  // stop_ms counts from the next notice; what else differs waits for a restart, and is named in a line.
  void reload(const std::variant<config::Config, config::Problem>& loaded);
  boost::asio::ip::tcp::endpoint local() const { return listener_.local(); }
  edge::ModuleActor& module() { return module_; }

 private:
  void spawn(boost::asio::awaitable<void> actor);
  void dispatch(edge::Output output);
  boost::asio::awaitable<void> leave();

  boost::asio::io_context& context_;
  config::Config config_;
  Logger log_;
  edge::ModuleActor module_;
  kernel::Link link_;
  announce::Announcer announcer_;
  net::Listener listener_;
  bool leaving_ = false;
};

}  // namespace granitegap
