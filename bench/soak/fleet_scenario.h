// What the scenarios on fleets have in common: one of several faults, drawn by the seed, on a fleet whose
// size, limits and load are drawn as well.
//
// Threads and errors: as FleetPlay.
#pragma once
#include <span>

#include "draw.h"
#include "fleet_play.h"
#include "scenarios.h"

namespace granitegap::soak {

// A fault of a scenario. `disturb` returns when the fault is over.
struct FleetFault {
  const char* name;
  void (*disturb)(FleetPlay& play, Draw& draw);
  std::size_t late_joiners = 0;  // FleetPlayOptions::late_joiners
};

// Plays one of `faults` on a fleet as `seed` draws it.
SeedReport play_fleet_scenario(const char* scenario, std::span<const FleetFault> faults, std::uint64_t seed,
                               const RunOptions& run);

}  // namespace granitegap::soak
