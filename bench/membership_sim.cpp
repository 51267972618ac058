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
#include <exception>
#include <nlohmann/json.hpp>

#include "fleet/health_check_simulation.h"
#include "fleet/simulated_fleet.h"
#include "quantile.h"

namespace granitegap::bench {
namespace {

using fleet::SimulatedFleet;
using membership::ChangeKind;
using Json = nlohmann::ordered_json;
using namespace std::chrono_literals;

double ms(Duration d) { return double(d.count()) / 1000; }

constexpr auto kStartInterval = 20ms;  // between two processes
constexpr auto kFormTimeout = 300s;
constexpr auto kSettleTime = 10s;  // after the fleet has formed
constexpr auto kAgreeTimeout = 120s;
constexpr auto kPauseTime = 5s, kTimeBetweenPauses = 1s;
constexpr int kPauseRoundSeconds = 6;
constexpr auto kPartitionTime = 20s;

struct RunOptions {
  std::string scenario = "calm";
  std::uint64_t seed = 1;
  std::size_t size = 48;
  int seconds = 60;
  double loss = 0.05;
  bool plain = false, formed = false;
};

// Health checks a second at the bottom of an outage, from so many servers, and how fast all know that it is
// over.
Json run_outage(const RunOptions& options) {
  Json out{{"scenario", options.scenario}, {"seed", options.seed}, {"size", options.size}};
  for (const bool together : {true, false}) {
    const auto outage = fleet::simulate_outage(options.size, together, options.seed);
    out[together ? "together" : "alone"] = {{"probes_per_s", outage.calls_a_second},
                                            {"all_back_within_s", outage.back_within_s}};
  }
  return out;
}

membership::Options membership_options(const RunOptions& options) {
  membership::Options membership;
  membership.baseline_mode = options.plain;
  return membership;
}

// One scenario on a simulated fleet.
class Run {
 public:
  explicit Run(const RunOptions& options);
  Json execute();

 private:
  void note_detection(std::size_t observer, const membership::Change& change);
  void start_all();
  bool all_alive();
  bool all_killed_gone();
  void play_scenario();
  void lose_datagrams();
  void kill(std::size_t count);
  void pause_some();
  void partition_halves();
  Json figures(bool formed, double form_ms, double seconds);

  const RunOptions& options_;
  SimulatedFleet fleet_;
  std::mt19937_64 random_;
  std::vector<std::size_t> killed_;
  std::vector<bool> has_detected_;  // by observer: the first killed process is not alive
  std::vector<double> detection_ms_;
  TimePoint fault_at_{};
  double agree_ms_ = -1;
  std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
};

Run::Run(const RunOptions& options)
    : options_(options),
      fleet_(membership_options(options), options.seed, options.size),
      random_(options.seed),
      has_detected_(options.size) {
  fleet_.on_change = [this](std::size_t observer, const membership::Change& change) {
    note_detection(observer, change);
  };
}

void Run::note_detection(std::size_t observer, const membership::Change& change) {
  if (killed_.empty() || has_detected_[observer]) return;
  if (change.kind != ChangeKind::died && change.kind != ChangeKind::suspected) return;
  if (change.name != fleet_.name(killed_.front())) return;
  has_detected_[observer] = true;
  detection_ms_.push_back(ms(fleet_.now() - fault_at_));
}

bool Run::all_alive() {
  for (std::size_t n = 0; n < options_.size; ++n) {
    if (!fleet_.is_running(n)) continue;
    if (fleet_.member(n).roster().alive() + 1 < options_.size - killed_.size()) return false;
  }
  return true;
}

bool Run::all_killed_gone() {
  for (std::size_t n = 0; n < options_.size; ++n) {
    if (!fleet_.is_running(n)) continue;
    if (fleet_.member(n).roster().present() + 1 > options_.size - killed_.size()) return false;
  }
  return true;
}

// One process after the other at the rate that seeds admit.
void Run::start_all() {
  if (options_.formed)
    fleet_.start_formed();
  else
    fleet_.start_all(kStartInterval * std::int64_t(options_.size));
}

void Run::lose_datagrams() {
  standin::Rule rule;
  rule.loss = options_.loss;
  fleet_.fault_injector().add(rule);
  fleet_.run_for(std::chrono::seconds(options_.seconds));
}

void Run::kill(std::size_t count) {
  fault_at_ = fleet_.now();
  for (std::size_t k = 0; k < count; ++k) {
    const auto last = options_.size - 1 - k;
    killed_.push_back(last);
    fleet_.kill(last);
  }
  const bool agreed = fleet_.run_until([this] { return all_killed_gone(); }, kAgreeTimeout);
  if (agreed) agree_ms_ = ms(fleet_.now() - fault_at_);
  fleet_.run_for(std::chrono::seconds(options_.seconds));
}

void Run::pause_some() {
  for (int second = 0; second < options_.seconds; second += kPauseRoundSeconds) {
    std::vector<std::size_t> paused;
    for (std::size_t k = 0; k < options_.size / 4; ++k) paused.push_back(random_() % options_.size);
    for (const auto n : paused) fleet_.pause(n);
    fleet_.run_for(kPauseTime);
    for (const auto n : paused) fleet_.resume(n);
    fleet_.run_for(kTimeBetweenPauses);
  }
}

void Run::partition_halves() {
  standin::Rule rule;
  rule.both = true;
  rule.blocked = true;
  for (std::size_t n = 0; n < options_.size; ++n) {
    auto& half = n < options_.size / 2 ? rule.from : rule.to;
    half.insert(fleet_.name(n));
  }
  const auto id = fleet_.fault_injector().add(rule);
  fleet_.run_for(kPartitionTime);
  fleet_.fault_injector().remove(id);
  fault_at_ = fleet_.now();
  const bool agreed = fleet_.run_until([this] { return all_alive(); }, kAgreeTimeout);
  if (agreed) agree_ms_ = ms(fleet_.now() - fault_at_);
}

void Run::play_scenario() {
  if (options_.scenario == "loss") return lose_datagrams();
  if (options_.scenario == "kill") return kill(1);
  if (options_.scenario == "mass_kill") return kill(std::max<std::size_t>(1, options_.size / 3));
  if (options_.scenario == "pauses") return pause_some();
  if (options_.scenario == "halves") return partition_halves();
  fleet_.run_for(std::chrono::seconds(options_.seconds));
}

Json Run::execute() {
  start_all();
  const auto form_began = fleet_.now();
  const bool formed = fleet_.run_until([this] { return all_alive(); }, kFormTimeout);
  const double form_ms = ms(fleet_.now() - form_began);
  fleet_.run_for(kSettleTime);
  fleet_.reset_stats();
  const auto scenario_began = fleet_.now();
  play_scenario();
  return figures(formed, form_ms, ms(fleet_.now() - scenario_began) / 1000);
}

Json Run::figures(bool formed, double form_ms, double seconds) {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  const auto& stats = fleet_.stats();
  const double size = double(options_.size);
  const double member_seconds = seconds * size / 2;  // each datagram has two ends
  const auto wall = std::chrono::steady_clock::now() - began_;
  return Json{{"scenario", options_.scenario},
              {"policy", options_.plain ? "plain" : "guarded"},
              {"seed", options_.seed},
              {"size", options_.size},
              {"formed", formed},
              {"form_ms", form_ms},
              {"virtual_s", seconds},
              {"false_dead", stats.false_dead},
              {"flaps", stats.flaps},
              {"detect_p50_ms", quantile(detection_ms_, 0.5)},
              {"detect_p99_ms", quantile(detection_ms_, 0.99)},
              {"agree_ms", agree_ms_},
              {"bytes_per_member_s", double(stats.bytes) / member_seconds},
              {"datagrams_per_member_s", double(stats.datagrams) / member_seconds},
              {"largest_datagram", stats.largest},
              {"rss_mb", double(usage.ru_maxrss) / 1024},
              {"bytes_per_known_member", double(usage.ru_maxrss) * 1024 / size / size},
              {"wall_s", std::chrono::duration<double>(wall).count()}};
}

}  // namespace
}  // namespace granitegap::bench

namespace {

int run_main(int argc, char** argv) {
  using namespace granitegap::bench;
  RunOptions options;
  CLI::App app("Membership in a simulated fleet.", "granitegap_bench_membership_sim");
  app.add_option("--scenario", options.scenario, "What happens")
      ->check(CLI::IsMember({"calm", "loss", "kill", "mass_kill", "pauses", "halves", "probers"}));
  app.add_option("--seed", options.seed, "Decides everything");
  app.add_option("--size", options.size, "Members")->check(CLI::Range(1, 10000));
  app.add_option("--seconds", options.seconds, "Virtual, of the scenario")->check(CLI::Range(1, 3600));
  app.add_option("--loss", options.loss, "Share of datagrams")->check(CLI::Range(0.0, 1.0));
  app.add_flag("--formed", options.formed, "Begin with a fleet in which all know all");
  app.add_flag("--plain", options.plain, "Fixed timeouts, direct probes, no refutation");
  CLI11_PARSE(app, argc, argv);
  const auto out = options.scenario == "probers" ? run_outage(options) : Run(options).execute();
  std::printf("%s\n", out.dump().c_str());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run_main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "granitegap_bench_membership_sim: %s\n", error.what());
    return 1;
  }
}
