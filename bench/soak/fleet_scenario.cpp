#include "fleet_scenario.h"

#include <stdexcept>

namespace granitegap::soak {
namespace {

using namespace std::chrono_literals;

constexpr auto kCalm = 1000ms;       // before the fault
constexpr auto kAftermath = 4000ms;  // after it

const FleetFault& choose_fault(std::span<const FleetFault> faults, const std::string& name, Draw& draw) {
  const auto drawn = draw.between(0, faults.size() - 1);
  if (name.empty()) return faults[drawn];
  for (const auto& fault : faults)
    if (name == fault.name) return fault;
  throw std::runtime_error("the scenario has no play " + name);
}

FleetPlayOptions draw_options(std::uint64_t seed, const RunOptions& run, Draw& draw) {
  FleetPlayOptions options;
  options.program = run.program;
  options.log_folder = run.log_folder;
  options.seed = seed;
  options.members = draw.between(4, 8);
  // Shares that use up the limit, of the fleet or of all but one.
  options.fleet_limit = std::uint32_t((options.members - draw.between(0, 1)) * draw.one_of({1u, 2u, 3u}));
  options.fleet_fill = draw.one_in(3);
  options.stored_state = draw.one_in(2);
  options.dependency_latency = draw.milliseconds(10, 80);
  options.busy_processes = draw.one_of<std::size_t>({0, 0, 6, 18});
  if (run.busy_processes >= 0) options.busy_processes = std::size_t(run.busy_processes);
  return options;
}

std::string description(const FleetFault& fault, const FleetPlayOptions& options) {
  return std::string(fault.name) + ", " + std::to_string(options.members) + " members, fleet_open " +
         std::to_string(options.fleet_limit) + ", " + std::to_string(options.busy_processes) +
         " busy processes";
}

}  // namespace

SeedReport play_fleet_scenario(const char* scenario, std::span<const FleetFault> faults, std::uint64_t seed,
                               const RunOptions& run) {
  Draw draw(seed);
  const auto& fault = choose_fault(faults, run.play, draw);
  auto options = draw_options(seed, run, draw);
  options.late_joiners = fault.late_joiners;
  SeedReport report;
  report.scenario = scenario;
  report.seed = seed;
  report.play = description(fault, options);
  FleetPlay play(std::move(options));
  play.form();
  play.run_for(kCalm);
  fault.disturb(play, draw);
  play.fleet().heal_all();
  play.run_for(kAftermath);
  play.finish(report);
  return report;
}

}  // namespace granitegap::soak
