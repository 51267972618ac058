// One tile server: its configuration, its signals and its exit status.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>

#include "server/server.h"

namespace granitegap {
namespace {

int run() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until it can be heeded: unhandled it would end the process
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
  try {
    boost::asio::io_context context(1);
    Server server(context, std::move(std::get<config::Config>(loaded)));
    boost::asio::signal_set notice(context, SIGTERM, SIGINT);
    notice.async_wait([&](const boost::system::error_code& error, int) {
      if (!error) server.drain();
    });
    boost::asio::signal_set fresh_config(context, SIGHUP);
    std::function<void(const boost::system::error_code&, int)> reload = [&](const auto& error, int) {
      if (error) return;
      fresh_config.async_wait(reload);
      server.reload(config::load(path));
    };
    fresh_config.async_wait(reload);
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
