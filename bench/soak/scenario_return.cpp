// The scenario `return`: members end and restart, are stopped and resumed, or join late, while callers send
// requests that need a dependency to all of them.

#include "fleet_scenario.h"

namespace granitegap::soak {
namespace {

using namespace std::chrono_literals;

// Kills the members and starts them again, all at the same time.
void restart_together(FleetHarness& harness, const std::vector<std::size_t>& members) {
  for (const auto member : members) harness.kill(member);
  for (const auto member : members) harness.start(member);
  for (const auto member : members) harness.wait_until_serving(member);
}

void restart_all(FleetHarness& harness, SeededRandom& random) {
  restart_together(harness, random.sample(harness.size(), harness.size()));
}

void restart_most(FleetHarness& harness, SeededRandom& random) {
  restart_together(harness, random.sample(harness.size() * 3 / 4, harness.size()));
}

void rolling_restart(FleetHarness& harness, SeededRandom& random) {
  const bool gracefully = random.one_in(2);
  for (const auto member : random.sample(harness.size(), harness.size())) {
    if (gracefully)
      harness.terminate(member);
    else
      harness.kill(member);
    harness.start(member);
    harness.wait_until_serving(member);
    harness.run_for(random.milliseconds(0, 600));
  }
}

void stop_one_after_another(FleetHarness& harness, SeededRandom& random) {
  for (const auto member : random.sample(harness.size(), harness.size())) {
    harness.pause(member, FleetHarness::PauseLength::longer_than_suspicion);
    harness.run_for(random.milliseconds(200, 1600));
    harness.resume(member);
    harness.run_for(random.milliseconds(0, 400));
  }
}

void lose_one(FleetHarness& harness, SeededRandom& random) {
  const auto member = random.between(0, harness.size() - 1);
  harness.kill(member);
  harness.run_for(random.milliseconds(2000, 5000));
  harness.start(member);
  harness.wait_until_serving(member);
}

void start_late_joiner(FleetHarness& harness, SeededRandom&) {
  harness.start(harness.size() - 1);
  harness.wait_until_serving(harness.size() - 1);
}

constexpr FleetFault kFaults[] = {
    {"restart_all", restart_all},
    {"restart_most", restart_most},
    {"rolling_restart", rolling_restart},
    {"stop_one_after_another", stop_one_after_another},
    {"lose_one", lose_one},
    {"late_joiner", start_late_joiner, 1},
};

}  // namespace

SeedReport run_return(std::uint64_t seed, const RunOptions& options) {
  return run_fleet_scenario("return", kFaults, seed, options);
}

}  // namespace granitegap::soak
