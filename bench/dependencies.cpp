// What the gathering of parts earns while services below the tile server fail: the real program on loopback
// sockets, with a stand-in kernel, two stand-in dependencies and stand-in client proxies.
//
//   granitegap_bench_dependencies [--scenario FILE]... [--seed N] [--scale X] [--program PATH]
//
// Without a scenario the standard set is run (bench/scenarios). Each scenario is run three times on the same
// arrivals: `fault_free` (its faults taken out), `guarded`, and `plain` (no budgets, limits or circuit
// breakers: the server waits until the deadline). The last line is one JSON object.
//
// Figures: `served_worth` sums the priority weights of what was served (complete or in parts) within its
// latency objective, the late share of it up to its deadline; `fault_worth` the same of arrivals while the
// fault lasts, `other_worth` of those that need no part. `calls_per_request`: calls that the dependencies got
// while the fault lasted, for each part then asked for. `recovered_ms`: from the fault's end to the first
// second in which 0.98 of the answers are complete.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <future>
#include <nlohmann/json.hpp>

#include "dependency_figures.h"
#include "dependency_run.h"
#include "dependency_workload.h"

namespace granitegap::bench {
namespace {

using Json = nlohmann::ordered_json;

constexpr Policy kPolicies[] = {Policy::fault_free, Policy::guarded, Policy::plain};
constexpr const char* kStandardSet[] = {"one_hangs", "one_slow", "both_down"};

const char* text_of(Policy policy) {
  switch (policy) {
    case Policy::fault_free:
      return "fault_free";
    case Policy::guarded:
      return "guarded";
    case Policy::plain:
      return "plain";
  }
  return "";
}

struct CommandLine {
  std::vector<std::string> files;
  double scale = 1;
  unsigned concurrent_runs = 3;
  RunOptions run;
};

// A scenario with its arrivals, which all its runs share.
struct Experiment {
  standin::Scenario scenario;
  std::vector<Arrival> arrivals;
};

struct RunTask {
  const Experiment* experiment = nullptr;
  Policy policy = Policy::guarded;
  Json figures;
};

std::variant<standin::Scenario, standin::Errors> load_scenario(const std::string& file) {
  const auto document = typed_config::load(file);
  if (const auto* error = std::get_if<typed_config::Error>(&document)) return standin::Errors{*error};
  return standin::read_scenario(std::get<typed_config::Document>(document));
}

// Absent if a scenario can't be read, which is reported.
std::optional<std::vector<Experiment>> load_experiments(const CommandLine& command_line) {
  std::vector<Experiment> experiments;
  for (const auto& file : command_line.files) {
    auto loaded = load_scenario(file);
    if (const auto* errors = std::get_if<standin::Errors>(&loaded)) {
      for (const auto& error : *errors) std::fprintf(stderr, "%s\n", error.text().c_str());
      return std::nullopt;
    }
    auto& scenario = std::get<standin::Scenario>(loaded);
    scenario.rate *= command_line.scale;
    scenario.cores = std::max(1, int(std::lround(scenario.cores * command_line.scale)));
    auto arrivals = draw_arrivals(scenario, command_line.run.seed);
    experiments.push_back({std::move(scenario), std::move(arrivals)});
  }
  return experiments;
}

// Runs every experiment under every policy, several at the same time.
std::vector<RunTask> run_all(const std::vector<Experiment>& experiments, const CommandLine& command_line) {
  std::vector<RunTask> tasks;
  for (const auto& experiment : experiments)
    for (const auto policy : kPolicies) tasks.push_back({&experiment, policy, {}});
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (auto t = next++; t < tasks.size(); t = next++) {
      auto& [experiment, policy, figures] = tasks[t];
      const auto& [scenario, arrivals] = *experiment;
      figures = figures_json(scenario, arrivals, run_workload(scenario, policy, arrivals, command_line.run));
    }
  };
  const auto worker_count = std::min<std::size_t>(command_line.concurrent_runs, tasks.size());
  std::vector<std::future<void>> workers;
  for (std::size_t w = 0; w < worker_count; ++w) workers.push_back(std::async(std::launch::async, work));
  for (auto& worker : workers) worker.get();
  return tasks;
}

double ratio(const Json& dividend, const Json& divisor, const char* figure) {
  const double under = divisor[figure].get<double>();
  return under > 0 ? rounded(dividend[figure].get<double>() / under, 0.0001) : 0;
}

// Adds the comparison of a scenario's policies to its figures, and prints it.
void compare(const std::string& name, Json& figures) {
  const Json fault_free = figures["fault_free"], guarded = figures["guarded"], plain = figures["plain"];
  figures["guarded_to_fault_free"] = ratio(guarded, fault_free, "fault_worth");
  figures["guarded_to_plain"] = ratio(guarded, plain, "fault_worth");
  figures["others_to_fault_free"] = ratio(guarded, fault_free, "other_worth");
  std::fprintf(stderr,
               "%-12s guarded/fault-free %.3f  guarded/plain %.2f  others %.3f  calls/request %.3f  back "
               "after %s ms\n",
               name.c_str(), figures["guarded_to_fault_free"].get<double>(),
               figures["guarded_to_plain"].get<double>(), figures["others_to_fault_free"].get<double>(),
               guarded["calls_per_request"].get<double>(), guarded["recovered_ms"].dump().c_str());
}

int run(int argc, char** argv) {
  CLI::App app("Served worth while services below the tile server fail.", "granitegap_bench_dependencies");
  CommandLine command_line;
  command_line.run.program = std::filesystem::path(argv[0]).parent_path() / "granitegap";
  app.add_option("--scenario", command_line.files, "Scenarios to run instead of the standard set");
  app.add_option("--seed", command_line.run.seed, "For arrivals, latencies and faults");
  app.add_option("--scale", command_line.scale, "Arrivals and cores times this")
      ->check(CLI::Range(0.01, 100.0));
  app.add_option("--together", command_line.concurrent_runs, "Runs at the same time")
      ->check(CLI::Range(1u, 64u));
  app.add_option("--program", command_line.run.program, "The tile server");
  CLI11_PARSE(app, argc, argv);
  if (command_line.files.empty())
    for (const std::string name : kStandardSet) command_line.files.push_back(SCENARIOS "/" + name + ".cue");
  const auto experiments = load_experiments(command_line);
  if (!experiments) return 2;
  Json out{{"seed", command_line.run.seed}, {"scale", command_line.scale}};
  for (auto& task : run_all(*experiments, command_line))
    out["scenarios"][task.experiment->scenario.name][text_of(task.policy)] = std::move(task.figures);
  for (auto& [name, figures] : out["scenarios"].items()) compare(name, figures);
  std::printf("%s\n", out.dump().c_str());
  return 0;
}

}  // namespace
}  // namespace granitegap::bench

int main(int argc, char** argv) {
  try {
    return granitegap::bench::run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "granitegap_bench_dependencies: %s\n", error.what());
    return 1;
  }
}
