// Processes that do nothing but use a core, to load the machine during a play.
//
// Each ends by itself after a time limit, and with this object. Threads: one. Errors: std::runtime_error
// where no process can be started.
#pragma once
#include <chrono>
#include <cstddef>
#include <vector>

#include "standin/child_process.h"

namespace granitegap::soak {

// The option by which this program runs as a busy process; its value is the time limit in milliseconds.
inline constexpr char kBusyOption[] = "--busy-ms";

class BusyProcesses {
 public:
  BusyProcesses(std::size_t count, std::chrono::milliseconds time_limit);

 private:
  std::vector<standin::ChildProcess> processes_;
};

// What a busy process does.
void stay_busy(std::chrono::milliseconds time_limit);

}  // namespace granitegap::soak
