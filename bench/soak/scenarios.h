// The scenarios of the soak. A seed fixes every choice of a play: the fleet's size and limits, the fault, its
// moments and victims, and the load of the machine.
//
// Threads: a scenario runs on the thread that calls it. Errors: std::runtime_error where processes can't be
// started.
#pragma once
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "report.h"

namespace granitegap::soak {

struct RunOptions {
  std::string program;               // path of the granitegap executable
  std::filesystem::path log_folder;  // where the logs of faulty seeds go
  std::string play;                  // only this play of the scenario; empty: the seed chooses
  int busy_processes = -1;           // -1: the seed chooses
};

// Members are killed, terminated, stopped or started while they are asked for a dependency.
SeedReport run_return(std::uint64_t seed, const RunOptions& options);
// The network between members loses datagrams or is cut; every member lives all the time.
SeedReport run_loss(std::uint64_t seed, const RunOptions& options);

struct Scenario {
  const char* name;
  SeedReport (*run)(std::uint64_t seed, const RunOptions& options);
};
inline constexpr Scenario kScenarios[] = {{"return", run_return}, {"loss", run_loss}};

}  // namespace granitegap::soak
