#include "fleet_scenario.h"

#include <stdexcept>

namespace granitegap::soak {
namespace {

using namespace std::chrono_literals;

constexpr auto kTimeBeforeFault = 1000ms;  // without faults, once the fleet has formed
constexpr auto kTimeAfterFault = 4000ms;   // from the end of the fault to the final checks

const FleetFault& choose_fault(std::span<const FleetFault> faults, const std::string& name,
                               SeededRandom& random) {
  // This number is drawn even if a fault is named, so that the later choices of the seed are the same.
  const auto random_index = random.between(0, faults.size() - 1);
  if (name.empty()) return faults[random_index];
  for (const auto& fault : faults)
    if (name == fault.name) return fault;
  throw std::runtime_error("--play: the scenario has no fault named \"" + name + "\"");
}

FleetHarnessOptions choose_options(std::uint64_t seed, const RunOptions& run_options, SeededRandom& random) {
  FleetHarnessOptions options;
  options.program = run_options.program;
  options.log_folder = run_options.log_folder;
  options.seed = seed;
  options.members = random.between(4, 8);
  // The limit divides evenly among all members, or among all but one.
  options.fleet_limit = std::uint32_t((options.members - random.between(0, 1)) * random.one_of({1u, 2u, 3u}));
  options.fleet_fill = random.one_in(3);
  options.stored_state = random.one_in(2);
  options.dependency_latency = random.milliseconds(10, 80);
  options.busy_processes = random.one_of<std::size_t>({0, 0, 6, 18});
  if (run_options.busy_processes >= 0) options.busy_processes = std::size_t(run_options.busy_processes);
  return options;
}

std::string description(const FleetFault& fault, const FleetHarnessOptions& options) {
  return std::string(fault.name) + ", " + std::to_string(options.members) + " members, fleet_open " +
         std::to_string(options.fleet_limit) + ", " + std::to_string(options.busy_processes) +
         " busy processes";
}

}  // namespace

SeedReport run_fleet_scenario(const char* scenario, std::span<const FleetFault> faults, std::uint64_t seed,
                              const RunOptions& run_options) {
  SeededRandom random(seed);
  const auto& fault = choose_fault(faults, run_options.fault, random);
  auto options = choose_options(seed, run_options, random);
  options.late_joiners = fault.late_joiners;
  SeedReport report;
  report.scenario = scenario;
  report.seed = seed;
  report.description = description(fault, options);
  FleetHarness harness(std::move(options));
  harness.form_fleet();
  harness.run_for(kTimeBeforeFault);
  fault.inject(harness, random);
  harness.fleet().heal_all();
  harness.run_for(kTimeAfterFault);
  harness.finish(report);
  return report;
}

}  // namespace granitegap::soak
