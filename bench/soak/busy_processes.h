// Processes that each keep one core busy, to load the machine during a run of a scenario.
//
// Each process exits after a time limit, or when its BusyProcesses object is destroyed. Threads: one. Errors:
// std::runtime_error if a process can't be started.
#pragma once
#include <chrono>
#include <cstddef>
#include <vector>

#include "standin/child_process.h"

namespace granitegap::soak {

// Command-line option that makes this program run as a busy process. Its value is the time limit in
// milliseconds.
inline constexpr char kBusyOption[] = "--busy-ms";

// Starts `count` busy processes and ends them on destruction.
class BusyProcesses {
 public:
  BusyProcesses(std::size_t count, std::chrono::milliseconds time_limit);

 private:
  std::vector<standin::ChildProcess> processes_;
};

// Runs a busy loop for `time_limit`.
void run_busy_loop(std::chrono::milliseconds time_limit);

}  // namespace granitegap::soak
