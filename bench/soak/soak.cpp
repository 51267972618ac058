// Runs fault scenarios against fleets of real processes, once for each seed, and counts violated rules.
//
//   granitegap_soak --scenario NAME [--seeds FIRST:LAST] [--jobs N] [--play NAME] [--busy N] [--json]
//                   [--logs FOLDER] [--program PATH]
//
// --play is the name of the fault to inject, --busy the number of busy processes beside each run. The seed
// chooses those that are not given. A seed determines each choice of this program, but the behaviour of the
// processes also depends on the machine. If a run violates a rule, the logs of its processes are kept in
// FOLDER and the last line has the command that repeats the first such seed.
//
// Exit status: 0 if no rule was violated, 1 if one was, 2 for an unknown scenario or fault, invalid seeds or
// a run that failed with an error. Arguments that CLI11 rejects end the program with the exit code of CLI11.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <exception>
#include <mutex>
#include <thread>
#include <vector>

#include "busy_processes.h"
#include "scenarios.h"

namespace granitegap::soak {
namespace {

// Command-line arguments.
struct Arguments {
  std::string scenario = "return", seeds = "1:10";
  std::size_t jobs = 1;
  bool json = false;
  RunOptions run_options;
};

// The seeds from `first` to `last`, both included.
struct SeedRange {
  std::uint64_t first = 0, last = 0;
};

// Parses "FIRST:LAST" or one seed.
SeedRange parse_seeds(const std::string& text) {
  const auto colon = text.find(':');
  const auto first = std::stoull(text.substr(0, colon));
  const auto last = colon == std::string::npos ? first : std::stoull(text.substr(colon + 1));
  if (last < first) throw std::runtime_error("--seeds: last seed is less than the first in \"" + text + "\"");
  return {first, last};
}

const Scenario& find_scenario(const std::string& name) {
  for (const auto& scenario : kScenarios)
    if (name == scenario.name) return scenario;
  throw std::runtime_error("--scenario: expected return or loss, found \"" + name + "\"");
}

void print(const SeedReport& report, bool json) {
  const auto text = json ? to_json(report).dump() + "\n" : to_text(report);
  std::fputs(text.c_str(), stdout);
  std::fflush(stdout);
}

// Runs all seeds, `jobs` at a time, and returns those whose runs violated a rule, in ascending order.
std::vector<std::uint64_t> run_seeds(const Scenario& scenario, SeedRange seeds, const Arguments& arguments) {
  std::atomic<std::uint64_t> next{seeds.first};
  std::mutex mutex;
  std::vector<std::uint64_t> faulty;
  std::exception_ptr error;
  const auto work = [&] {
    try {
      for (auto seed = next++; seed <= seeds.last; seed = next++) {
        const auto report = scenario.run(seed, arguments.run_options);
        const std::lock_guard lock(mutex);
        print(report, arguments.json);
        if (!report.violations.empty()) faulty.push_back(seed);
      }
    } catch (...) {
      const std::lock_guard lock(mutex);
      error = std::current_exception();
    }
  };
  std::vector<std::thread> workers;
  for (std::size_t job = 0; job < arguments.jobs; ++job) workers.emplace_back(work);
  for (auto& worker : workers) worker.join();
  if (error) std::rethrow_exception(error);
  std::sort(faulty.begin(), faulty.end());
  return faulty;
}

void print_summary(const Arguments& arguments, SeedRange seeds, const std::vector<std::uint64_t>& faulty) {
  const auto seed_count = seeds.last - seeds.first + 1;
  std::printf("%s: %llu seeds, %zu faulty", arguments.scenario.c_str(),
              static_cast<unsigned long long>(seed_count), faulty.size());
  if (!faulty.empty()) {
    std::printf("; again: granitegap_soak --scenario %s --seeds %llu", arguments.scenario.c_str(),
                static_cast<unsigned long long>(faulty.front()));
    if (!arguments.run_options.fault.empty()) std::printf(" --play %s", arguments.run_options.fault.c_str());
    if (arguments.run_options.busy_processes >= 0)
      std::printf(" --busy %d", arguments.run_options.busy_processes);
  }
  std::printf("\n");
}

int run_main(int argc, char** argv) {
  CLI::App app("Runs fault scenarios against fleets of real processes and counts violated rules.",
               "granitegap_soak");
  Arguments arguments;
  arguments.run_options.program = PROGRAM;
  arguments.run_options.log_folder = std::filesystem::temp_directory_path() / "granitegap_soak";
  std::size_t busy_ms = 0;
  app.add_option("--scenario", arguments.scenario, "Scenario: return or loss");
  app.add_option("--seeds", arguments.seeds, "FIRST:LAST, or one seed");
  app.add_option("--jobs", arguments.jobs, "Number of concurrent runs")->check(CLI::Range(1, 64));
  app.add_option("--play", arguments.run_options.fault,
                 "Name of the fault to inject (default: the seed chooses)");
  app.add_option("--busy", arguments.run_options.busy_processes,
                 "Number of busy processes beside each run (default: the seed chooses)")
      ->check(CLI::Range(0, 64));
  app.add_flag("--json", arguments.json, "Prints one JSON object for each seed");
  app.add_option("--logs", arguments.run_options.log_folder,
                 "Folder for the logs of runs that violated a rule");
  app.add_option("--program", arguments.run_options.program, "Path of the granitegap executable");
  app.add_option(kBusyOption, busy_ms, "Runs a busy loop for this many milliseconds and exits")->group("");
  CLI11_PARSE(app, argc, argv);
  if (busy_ms > 0) {
    run_busy_loop(std::chrono::milliseconds(busy_ms));
    return 0;
  }
  const auto& scenario = find_scenario(arguments.scenario);
  const auto seeds = parse_seeds(arguments.seeds);
  const auto faulty = run_seeds(scenario, seeds, arguments);
  print_summary(arguments, seeds, faulty);
  return faulty.empty() ? 0 : 1;
}

}  // namespace
}  // namespace granitegap::soak

int main(int argc, char** argv) {
  try {
    return granitegap::soak::run_main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "granitegap_soak: %s\n", error.what());
    return 2;
  }
}
