#include "busy_processes.h"

#include <string>

namespace granitegap::soak {

BusyProcesses::BusyProcesses(std::size_t count, std::chrono::milliseconds time_limit) {
  standin::ChildProcessOptions options;
  options.arguments = {"/proc/self/exe", kBusyOption, std::to_string(time_limit.count())};
  options.log = "/dev/null";
  for (std::size_t i = 0; i < count; ++i) processes_.emplace_back(options);
}

void run_busy_loop(std::chrono::milliseconds time_limit) {
  const auto end = std::chrono::steady_clock::now() + time_limit;
  while (std::chrono::steady_clock::now() < end) {
  }
}

}  // namespace granitegap::soak
