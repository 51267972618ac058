// A stand-in dependency for trials by hand: serves a script on loopback until SIGINT or SIGTERM.
#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <exception>

#include "standin/dependency.h"

namespace {

int run_main(int argc, char** argv) {
  using namespace granitegap;
  CLI::App app("A stand-in dependency: answers by a script, faults and all, on loopback only.",
               "granitegap_standin");
  std::string file;
  std::vector<std::uint16_t> ports;
  std::uint64_t seed = 1;
  app.add_option("SCRIPT", file, "A script; its schema is tools/standin/script.schema.cue")->required();
  app.add_option("--port", ports, "A port for each endpoint, in order; 0 takes any")->required();
  app.add_option("--seed", seed, "For latencies and faults");
  CLI11_PARSE(app, argc, argv);
  const auto document = typed_config::load(file);
  if (const auto* error = std::get_if<typed_config::Error>(&document)) {
    std::fprintf(stderr, "%s\n", error->text().c_str());
    return 2;
  }
  auto script = standin::read_script(std::get<typed_config::Document>(document));
  if (const auto* errors = std::get_if<standin::Errors>(&script)) {
    for (const auto& e : *errors) std::fprintf(stderr, "%s\n", e.text().c_str());
    return 2;
  }
  try {
    boost::asio::io_context io;
    standin::Dependency dependency(io, std::get<standin::Script>(std::move(script)), seed, ports,
                                   standin::Dependency::Clock::now());
    for (std::size_t i = 0; i < ports.size(); ++i)
      std::printf("endpoint %zu on 127.0.0.1:%u\n", i, unsigned(dependency.port(i)));
    std::fflush(stdout);
    boost::asio::signal_set end(io, SIGINT, SIGTERM);
    end.async_wait([&](auto, int) { io.stop(); });
    io.run();
    std::printf("%zu requests, %zu at once at the most\n", dependency.counters().arrivals.size(),
                dependency.counters().max_open);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "granitegap_standin: %s\n", e.what());
    return 1;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run_main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "granitegap_standin: %s\n", error.what());
    return 1;
  }
}
