// The metastable case at sizes that no machine holds: most of a simulated fleet restarts, callers try again
// without limit, with and without recovery's guards, on the same options.
//
//   granitegap_bench_recovery_sim [--seed N] [--seeds N] [--size N] [--load X] [--struck X]
//
// And a newcomer to a fleet of `--members` that knows one endpoint of a dependency to be slow, ten times as
// slow as the others: told by three of them, and blind. `slow_calls`: its calls of that one in each of its
// first seconds, of a hundred; `leaves_it_after_s`: the first second after which never more than 2 in a
// hundred go there.
//
// The last line is one JSON object. `stayed_down`: plays of `seeds` in which the fleet never came back.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <nlohmann/json.hpp>

#include "fleet/recovery_simulation.h"
#include "standin/dependency_simulation.h"

namespace granitegap {
namespace {

using namespace std::chrono_literals;

// Plays one member of such a fleet for ten seconds: its calls of the slow endpoint in each.
std::vector<int> play_member(deps::DependencySimulation& w) {
  std::vector<int> slow(10);
  const auto start = w.now;
  w.behaviour = [&](std::uint32_t, std::uint32_t endpoint, TimePoint now) {
    if (endpoint == 0 && now - start < 10s) ++slow[std::size_t((now - start) / 1s)];
    deps::DependencySimulation::Reply r;
    r.after = Duration(std::int64_t((endpoint == 0 ? 100'000 : 10'000) * (0.7 + 0.6 * w.random_fraction())));
    return r;
  };
  for (std::uint64_t n = 0; n < 1000; ++n) {
    w.start_request(n);
    w.run_for(10ms);
  }
  return slow;
}

nlohmann::ordered_json play_newcomer(std::uint64_t seed, std::size_t members) {
  auto spec = deps::two_dependencies();
  spec.dependencies.pop_back();
  spec.gathers[0].parts.pop_back();
  spec.dependencies[0].endpoints = {
      {"127.0.0.1", 9001}, {"127.0.0.1", 9002}, {"127.0.0.1", 9003}, {"127.0.0.1", 9004}};
  std::vector<warm_state::WarmState> told;
  for (std::size_t n = 1; n < members; ++n) {
    deps::DependencySimulation w(spec, seed * 1000 + n);
    play_member(w);
    if (told.size() < 3) w.scatter_gather.export_state(told.emplace_back(), w.now);
  }
  nlohmann::ordered_json out{{"members", members}};
  for (const bool blind : {false, true}) {
    deps::DependencySimulation w(spec, seed * 1000);
    if (!blind) w.scatter_gather.restore(warm_state::merge(told), w.now);
    const auto slow = play_member(w);
    std::size_t after = slow.size();
    while (after > 0 && slow[after - 1] <= 2) --after;
    out[blind ? "blind" : "told"] = {{"slow_calls", slow}, {"leaves_it_after_s", after}};
  }
  return out;
}

}  // namespace
}  // namespace granitegap

namespace {

int run_main(int argc, char** argv) {
  using granitegap::fleet::RecoverySimulationOptions;
  RecoverySimulationOptions o;
  std::uint64_t seeds = 1;
  std::size_t members = 8;
  bool only_newcomer = false;
  CLI::App app("Coming back in a simulated fleet.", "granitegap_bench_recovery_sim");
  app.add_option("--seed", o.seed, "The first; decides everything");
  app.add_option("--seeds", seeds, "So many plays, one seed after the other")->check(CLI::Range(1, 1000));
  app.add_option("--size", o.servers, "Servers")->check(CLI::Range(2, 5000));
  app.add_option("--load", o.load, "First tries, of what all warm cores can do")->check(CLI::Range(0.1, 2.0));
  app.add_option("--struck", o.restarted_share, "Share that restarts")->check(CLI::Range(0.0, 1.0));
  app.add_option("--members", members, "Of the fleet that the newcomer comes to")->check(CLI::Range(2, 64));
  app.add_flag("--only-newcomer", only_newcomer, "Leave the return out");
  CLI11_PARSE(app, argc, argv);
  nlohmann::ordered_json out{{"seed", o.seed},
                             {"seeds", seeds},
                             {"size", o.servers},
                             {"load", o.load},
                             {"struck", o.restarted_share}};
  const auto first = o.seed;
  for (auto seed = first; seed < first + seeds; ++seed)
    out["newcomer"].push_back(granitegap::play_newcomer(seed, members));
  for (const bool guided : {true, false}) {
    if (only_newcomer) break;
    o.with_recovery = guided;
    std::uint64_t stayed = 0, on_the_way = 0;
    double lost = 0, slowest = 0, runs = 0, answered = 0, over = 0;
    nlohmann::ordered_json full = nlohmann::ordered_json::array(), series;
    for (o.seed = first; o.seed < first + seeds; ++o.seed) {
      const auto f = granitegap::fleet::simulate_recovery(o);
      stayed += f.full_service_s < 0;
      slowest = std::max(slowest, f.full_service_s);
      lost += f.lost_s / double(seeds);
      runs += double(f.runs);
      answered += double(f.answered);
      over = std::max(over, f.max_advertised_over_verified);
      on_the_way += f.not_in_service_at_end;
      full.push_back(f.full_service_s);
      if (o.seed == first)
        for (const double s : f.served) series.push_back(int(1000 * s / f.served_per_second_before) / 1000.0);
    }
    out[guided ? "guided" : "plain"] = {{"full_service_s", full},
                                        {"slowest_s", slowest},
                                        {"stayed_down", stayed},
                                        {"worth_lost", lost},
                                        {"runs_a_served", runs / answered},
                                        {"most_over_proven", over},
                                        {"not_in_service_at_the_end", on_the_way},
                                        {"worth", series}};
  }
  std::printf("%s\n", out.dump().c_str());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run_main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "granitegap_bench_recovery_sim: %s\n", error.what());
    return 1;
  }
}
