// Plays scenarios of faults against fleets of real processes, one play a seed, and counts broken rules.
//
//   granitegap_soak --scenario NAME [--seeds FIRST:LAST] [--jobs N] [--play NAME] [--busy N] [--json]
//                   [--logs FOLDER] [--program PATH]
//
// A seed fixes every choice that the program makes; what the processes make of it depends on the machine as
// well. The logs of the processes of a faulty seed are kept in FOLDER. The last line tells how to play a
// faulty seed again. Exit status: 0 if no rule was broken, 1 if one was, 2 for unusable arguments.
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

struct Arguments {
  std::string scenario = "return", seeds = "1:10";
  std::size_t jobs = 1;
  bool json = false;
  RunOptions run;
};

struct SeedRange {
  std::uint64_t first = 0, last = 0;
};

// "FIRST:LAST", or one seed.
SeedRange parse_seeds(const std::string& text) {
  const auto colon = text.find(':');
  const auto first = std::stoull(text.substr(0, colon));
  const auto last = colon == std::string::npos ? first : std::stoull(text.substr(colon + 1));
  if (last < first) throw std::runtime_error("no seeds in " + text);
  return {first, last};
}

const Scenario& find_scenario(const std::string& name) {
  for (const auto& scenario : kScenarios)
    if (name == scenario.name) return scenario;
  throw std::runtime_error("no scenario " + name);
}

void print(const SeedReport& report, bool json) {
  const auto text = json ? to_json(report).dump() + "\n" : to_text(report);
  std::fputs(text.c_str(), stdout);
  std::fflush(stdout);
}

// Plays all seeds, `jobs` at a time; the seeds that were faulty, in order.
std::vector<std::uint64_t> play_seeds(const Scenario& scenario, SeedRange seeds, const Arguments& arguments) {
  std::atomic<std::uint64_t> next{seeds.first};
  std::mutex mutex;
  std::vector<std::uint64_t> faulty;
  std::exception_ptr error;
  const auto work = [&] {
    try {
      for (auto seed = next++; seed <= seeds.last; seed = next++) {
        const auto report = scenario.run(seed, arguments.run);
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
  const auto played = seeds.last - seeds.first + 1;
  std::printf("%s: %llu seeds, %zu faulty", arguments.scenario.c_str(),
              static_cast<unsigned long long>(played), faulty.size());
  if (!faulty.empty()) {
    std::printf("; again: granitegap_soak --scenario %s --seeds %llu", arguments.scenario.c_str(),
                static_cast<unsigned long long>(faulty.front()));
    if (!arguments.run.play.empty()) std::printf(" --play %s", arguments.run.play.c_str());
    if (arguments.run.busy_processes >= 0) std::printf(" --busy %d", arguments.run.busy_processes);
  }
  std::printf("\n");
}

int run_main(int argc, char** argv) {
  CLI::App app("Plays faults against fleets of real processes and counts broken rules.", "granitegap_soak");
  Arguments arguments;
  arguments.run.program = PROGRAM;
  arguments.run.log_folder = std::filesystem::temp_directory_path() / "granitegap_soak";
  std::size_t busy_ms = 0;
  app.add_option("--scenario", arguments.scenario, "return or loss");
  app.add_option("--seeds", arguments.seeds, "FIRST:LAST, or one");
  app.add_option("--jobs", arguments.jobs, "Plays at a time")->check(CLI::Range(1, 64));
  app.add_option("--play", arguments.run.play, "Only this play of the scenario");
  app.add_option("--busy", arguments.run.busy_processes, "Busy processes beside each play")
      ->check(CLI::Range(0, 64));
  app.add_flag("--json", arguments.json, "One object a seed");
  app.add_option("--logs", arguments.run.log_folder, "Where the logs of faulty seeds go");
  app.add_option("--program", arguments.run.program, "granitegap");
  app.add_option(kBusyOption, busy_ms, "Only uses a core for so long")->group("");
  CLI11_PARSE(app, argc, argv);
  if (busy_ms > 0) {
    stay_busy(std::chrono::milliseconds(busy_ms));
    return 0;
  }
  const auto& scenario = find_scenario(arguments.scenario);
  const auto seeds = parse_seeds(arguments.seeds);
  const auto faulty = play_seeds(scenario, seeds, arguments);
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
