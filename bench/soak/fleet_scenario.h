// Common part of the scenarios: injects one of several faults into a fleet. The seed chooses the fault and
// the size, limits and load of the fleet.
//
// Threads and errors: as FleetHarness.
#pragma once
#include <span>

#include "draw.h"
#include "fleet_play.h"
#include "scenarios.h"

namespace granitegap::soak {

// A fault of a scenario. `inject` returns when the fault is over.
struct FleetFault {
  const char* name;
  void (*inject)(FleetHarness& harness, SeededRandom& random);
  std::size_t late_joiners = 0;  // FleetHarnessOptions::late_joiners
};

// Runs the scenario once, with the fault and the fleet that `seed` chooses, and returns its results.
SeedReport run_fleet_scenario(const char* scenario, std::span<const FleetFault> faults, std::uint64_t seed,
                              const RunOptions& run_options);

}  // namespace granitegap::soak
