// Membership at sizes that no machine holds: a simulated fleet of the same decision objects, virtual clock.
//
//   granitegap_bench_membership_sim [--scenario calm|loss|kill|mass_kill|pauses|halves|probers] [--seed N]
//   [--size N]
//                                   [--seconds N] [--loss X] [--plain] [--formed]
//
// The last line is one JSON object. `bytes` count the codec's upper bound, so the wire carries less.
// `agree_ms`: from the fault to the moment when every living member holds it.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "fleet/health_check_simulation.h"
#include "fleet/simulated_fleet.h"

namespace granitegap::bench {
namespace {

using fleet::SimulatedFleet;
using membership::ChangeKind;
using membership::Status;
using Json = nlohmann::ordered_json;
using namespace std::chrono_literals;

double ms(Duration d) { return double(d.count()) / 1000; }

double quantile(std::vector<double> v, double q) {
  if (v.empty()) return -1;
  std::sort(v.begin(), v.end());
  return v[std::min(v.size() - 1, std::size_t(q * double(v.size())))];
}

struct Play {
  std::string scenario = "calm";
  std::uint64_t seed = 1;
  std::size_t size = 48;
  int seconds = 60;
  double loss = 0.05;
  bool plain = false, formed = false;
};

// Probes a second at the bottom of an outage, from so many servers, and how fast all know that it is over.
Json probers(const Play& p) {
  Json out{{"scenario", p.scenario}, {"seed", p.seed}, {"size", p.size}};
  for (const bool together : {true, false}) {
    const auto probed = fleet::simulate_outage(p.size, together, p.seed);
    out[together ? "together" : "alone"] = {{"probes_per_s", probed.calls_a_second},
                                            {"all_back_within_s", probed.back_within_s}};
  }
  return out;
}

Json play(const Play& p) {
  if (p.scenario == "probers") return probers(p);
  const auto wall = std::chrono::steady_clock::now();
  membership::Options options;
  options.baseline_mode = p.plain;
  SimulatedFleet f(options, p.seed, p.size);
  std::vector<TimePoint> known(p.size);  // when each first held the killed one other than alive
  std::vector<std::size_t> killed;
  std::vector<double> detect;
  TimePoint fault{};
  f.on_change = [&](std::size_t who, const membership::Change& c) {
    if (fault == TimePoint{} || killed.empty()) return;
    if (c.kind != ChangeKind::died && c.kind != ChangeKind::suspected) return;
    if (c.name == f.name(killed.front()) && known[who] == TimePoint{}) {
      known[who] = f.now();
      detect.push_back(ms(f.now() - fault));
    }
  };
  // One after the other by the seeds' rate, then until they agree.
  if (p.formed)
    f.start_formed();
  else
    f.start_all(std::chrono::milliseconds(20) * std::int64_t(p.size));
  const auto formed_from = f.now();
  const auto alive_everywhere = [&] {
    for (std::size_t n = 0; n < p.size; ++n)
      if (f.is_running(n) && f.member(n).roster().alive() + 1 < p.size - killed.size()) return false;
    return true;
  };
  const bool formed = f.run_until(alive_everywhere, 300s);
  const double form_ms = ms(f.now() - formed_from);
  f.run_for(10s);
  f.reset_stats();
  const auto began = f.now();
  double agree_ms = -1;
  std::mt19937_64 random(p.seed);
  if (p.scenario == "loss") {
    standin::Rule r;
    r.loss = p.loss;
    f.fault_injector().add(r);
    f.run_for(std::chrono::seconds(p.seconds));
  } else if (p.scenario == "kill" || p.scenario == "mass_kill") {
    const auto count = p.scenario == "kill" ? std::size_t(1) : std::max<std::size_t>(1, p.size / 3);
    fault = f.now();
    for (std::size_t k = 0; k < count; ++k) {
      killed.push_back(p.size - 1 - k);
      f.kill(p.size - 1 - k);
    }
    const bool agreed = f.run_until(
        [&] {
          for (std::size_t n = 0; n < p.size; ++n)
            if (f.is_running(n) && f.member(n).roster().present() + 1 > p.size - killed.size()) return false;
          return true;
        },
        120s);
    if (agreed) agree_ms = ms(f.now() - fault);
    f.run_for(std::chrono::seconds(p.seconds));
  } else if (p.scenario == "pauses") {
    for (int s = 0; s < p.seconds; s += 6) {
      std::vector<std::size_t> who;
      for (std::size_t k = 0; k < p.size / 4; ++k) who.push_back(random() % p.size);
      for (const auto n : who) f.pause(n);
      f.run_for(5s);
      for (const auto n : who) f.resume(n);
      f.run_for(1s);
    }
  } else if (p.scenario == "halves") {
    standin::Rule r;
    r.both = r.blocked = true;
    for (std::size_t n = 0; n < p.size; ++n) (n < p.size / 2 ? r.from : r.to).insert(f.name(n));
    const auto rule = f.fault_injector().add(r);
    f.run_for(20s);
    f.fault_injector().remove(rule);
    fault = f.now();
    if (f.run_until(alive_everywhere, 120s)) agree_ms = ms(f.now() - fault);
  } else {
    f.run_for(std::chrono::seconds(p.seconds));
  }
  const double seconds = ms(f.now() - began) / 1000;
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto& g = f.stats();
  const double each = seconds * double(p.size) / 2;  // both ways together
  return Json{{"scenario", p.scenario},
              {"policy", p.plain ? "plain" : "guarded"},
              {"seed", p.seed},
              {"size", p.size},
              {"formed", formed},
              {"form_ms", form_ms},
              {"virtual_s", seconds},
              {"false_dead", g.false_dead},
              {"flaps", g.flaps},
              {"detect_p50_ms", quantile(detect, 0.5)},
              {"detect_p99_ms", quantile(detect, 0.99)},
              {"agree_ms", agree_ms},
              {"bytes_per_member_s", double(g.bytes) / each},
              {"datagrams_per_member_s", double(g.datagrams) / each},
              {"largest_datagram", g.largest},
              {"rss_mb", double(usage.ru_maxrss) / 1024},
              {"bytes_per_known_member", double(usage.ru_maxrss) * 1024 / double(p.size) / double(p.size)},
              {"wall_s", std::chrono::duration<double>(std::chrono::steady_clock::now() - wall).count()}};
}

}  // namespace
}  // namespace granitegap::bench

int main(int argc, char** argv) {
  granitegap::bench::Play p;
  CLI::App app("Membership in a simulated fleet.", "granitegap_bench_membership_sim");
  app.add_option("--scenario", p.scenario, "What happens")
      ->check(CLI::IsMember({"calm", "loss", "kill", "mass_kill", "pauses", "halves", "probers"}));
  app.add_option("--seed", p.seed, "Decides everything");
  app.add_option("--size", p.size, "Members")->check(CLI::Range(1, 10000));
  app.add_option("--seconds", p.seconds, "Virtual, of the scenario")->check(CLI::Range(1, 3600));
  app.add_option("--loss", p.loss, "Share of datagrams")->check(CLI::Range(0.0, 1.0));
  app.add_flag("--formed", p.formed, "Begin with a fleet in which all know all");
  app.add_flag("--plain", p.plain, "Fixed timeouts, direct probes, no refutation");
  CLI11_PARSE(app, argc, argv);
  std::printf("%s\n", granitegap::bench::play(p).dump().c_str());
}
