// The scenarios of the soak. A seed determines each choice of a run: the size and limits of the fleet, the
// fault, its times and the affected members, and the load of the machine.
//
// Threads: a scenario runs on the calling thread. Errors: std::runtime_error if processes can't be started or
// the scenario has no fault of the given name.
#pragma once
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "report.h"

namespace granitegap::soak {

// Options of a run besides its seed.
struct RunOptions {
  std::string program;               // path of the granitegap executable
  std::filesystem::path log_folder;  // receives the logs of runs that violated a rule
  std::string fault;                 // name of the fault to inject; empty: the seed chooses
  int busy_processes = -1;           // -1: the seed chooses
};

// Kills, terminates, stops or starts members while they receive requests that need a dependency.
SeedReport run_return(std::uint64_t seed, const RunOptions& options);
// Loses datagrams between members, partitions them or stops them briefly; no process ends.
SeedReport run_loss(std::uint64_t seed, const RunOptions& options);

// A scenario and its name on the command line.
struct Scenario {
  const char* name;
  SeedReport (*run)(std::uint64_t seed, const RunOptions& options);
};
inline constexpr Scenario kScenarios[] = {{"return", run_return}, {"loss", run_loss}};

}  // namespace granitegap::soak
