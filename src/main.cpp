// One tile server: wiring and signals.
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "announce/announcer.h"
#include "config/config.h"
#include "edge/module_actor.h"
#include "kernel/link.h"
#include "log/logger.h"
#include "net/listener.h"

namespace granitegap {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

template <class Protocol>
typename Protocol::endpoint address(const config::Endpoint& e) {
  return {asio::ip::make_address(e.host), e.port};
}

class Server {
 public:
  Server(asio::io_context& context, config::Config config)
      : context_(context),
        config_(std::move(config)),
        log_(config_.name),
        module_(context.get_executor(), edge::Edge(config_.parsed, config_.catalog, config_.seed),
                [this](edge::Output output) { dispatch(std::move(output)); }),
        link_(context.get_executor(), address<asio::ip::tcp>(config_.kernel), config_.catalog,
              module_.mailbox(), log_),
        announcer_(context.get_executor(), address<asio::ip::udp>(config_.announce), config_.name, log_),
        listener_(context.get_executor(), address<asio::ip::tcp>(config_.listen), config_.limits.sockets,
                  config_.catalog, module_.mailbox(), log_),
        signals_(context, SIGTERM, SIGINT) {}

  void start() {
    spawn(module_.run());
    spawn(link_.run());
    spawn(announcer_.run());
    spawn(listener_.run());
    spawn(leave_on_notice());
    const auto at = listener_.local();
    log_.line("listening on " + at.address().to_string() + ":" + std::to_string(at.port()));
  }

 private:
  // An actor that ends by an exception has broken its promises: better a clear end than half a server.
  void spawn(asio::awaitable<void> actor) {
    asio::co_spawn(context_, std::move(actor), [](const std::exception_ptr& failed) {
      if (failed) std::rethrow_exception(failed);
    });
  }

  void dispatch(edge::Output output) {
    if (auto* answer = std::get_if<edge::Answer>(&output)) {
      const auto to = answer->to;
      listener_.deliver(to, std::move(*answer));
    } else if (auto* health = std::get_if<edge::HealthAnswer>(&output)) {
      listener_.deliver(health->to, *health);
    } else if (const auto* command = std::get_if<edge::Command>(&output)) {
      link_.send(*command);
    } else if (const auto* report = std::get_if<edge::Report>(&output)) {
      announcer_.report(*report);
    } else if (const auto* idle = std::get_if<edge::CloseIdlePeers>(&output)) {
      listener_.close_idle(idle->idle_for);
    } else if (const auto* remark = std::get_if<edge::Remark>(&output)) {
      log_.line(remark->text);
    }
  }

  // Takes and answers what still comes as long as callers may not have heard; then closes the door, sees all
  // answers off and ends before the kill.
  asio::awaitable<void> leave_on_notice() {
    co_await signals_.async_wait(asio::use_awaitable);
    const auto noticed = std::chrono::steady_clock::now();
    log_.line("notice to leave: " + std::to_string(config_.stop.count()) + " ms left");
    if (!module_.mailbox().post(edge::Drain{config_.stop})) log_.line("mailbox full: drain not told");
    const auto end =
        noticed + config_.stop - std::min<std::chrono::milliseconds>(kLastMoment, config_.stop / 8);
    const auto door = end - std::min<std::chrono::milliseconds>(kDoorBefore, config_.stop / 4);
    asio::steady_timer timer(context_, door);
    co_await timer.async_wait(asio::use_awaitable);
    listener_.close_door();
    const auto crossed = std::chrono::steady_clock::now() + std::min(kCrossing, config_.stop / 16);
    for (;;) {
      timer.expires_after(5ms);
      co_await timer.async_wait(asio::use_awaitable);
      const auto now = std::chrono::steady_clock::now();
      if ((now >= crossed && module_.at_rest() && listener_.at_rest()) || now >= end) break;
    }
    log_.line(module_.at_rest() ? "left: all answered" : "left: with requests unanswered");
    context_.stop();
  }

  static constexpr std::chrono::milliseconds kLastMoment = 60ms, kDoorBefore = 400ms;
  static constexpr std::chrono::milliseconds kCrossing = 150ms;  // a request may cross the notice for 50 ms

  asio::io_context& context_;
  config::Config config_;
  Logger log_;
  edge::ModuleActor module_;
  kernel::Link link_;
  announce::Announcer announcer_;
  net::Listener listener_;
  asio::signal_set signals_;
};

int run() {
  const char* path = std::getenv("EDGE_CONFIG");
  if (!path) {
    std::fputs("granitegap: EDGE_CONFIG is not set\n", stderr);
    return 2;
  }
  auto loaded = config::load(path);
  if (const auto* problem = std::get_if<config::Problem>(&loaded)) {
    std::fprintf(stderr, "granitegap: EDGE_CONFIG %s: %s\n", path, problem->what.c_str());
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    asio::io_context context(1);
    Server server(context, std::move(std::get<config::Config>(loaded)));
    server.start();
    context.run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "granitegap: %s\n", e.what());
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace granitegap

int main() { return granitegap::run(); }
