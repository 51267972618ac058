// Test harness for one run of a soak scenario: a fleet of real processes that gathers from a stand-in
// dependency with a fleet-wide limit, under constant load by callers, on a machine that may be busy.
//
// A scenario calls form_fleet(), injects faults through the other methods, and then calls finish(), which
// waits until the fleet has converged and checks the rules.
//
// Ownership: owns the fleet, the dependency, the callers and the busy processes. Threads: one, besides its
// own. Errors: std::runtime_error if processes can't be started.
#pragma once
#include <chrono>
#include <filesystem>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "busy_processes.h"
#include "callers.h"
#include "fleet/process_fleet.h"
#include "open_call_meter.h"
#include "report.h"
#include "standin/dependency_thread.h"

namespace granitegap::soak {

// Settings of one run.
struct FleetHarnessOptions {
  std::string program;     // path of the granitegap executable
  std::uint64_t seed = 1;  // seed of the network and the processes
  std::size_t members = 4;
  std::size_t late_joiners = 0;   // number of members, the last ones, that form_fleet() does not start
  std::uint32_t fleet_limit = 8;  // `fleet_open`
  bool fleet_fill = false;
  bool stored_state = false;  // each process keeps its folder of stored state over restarts
  std::chrono::milliseconds dependency_latency{20};
  std::size_t busy_processes = 0;
  std::filesystem::path log_folder;  // receives the logs of a run that violated a rule
};

// Runs the fleet of one scenario, injects faults and checks the rules.
class FleetHarness {
 public:
  explicit FleetHarness(FleetHarnessOptions options);
  ~FleetHarness();
  FleetHarness(const FleetHarness&) = delete;
  FleetHarness& operator=(const FleetHarness&) = delete;

  // Starts the members, waits until their views have converged, and then starts the callers and the busy
  // processes.
  void form_fleet();

  static std::string member_name(std::size_t member) { return "n" + std::to_string(member); }
  std::size_t size() const { return options_.members; }
  fleet::ProcessFleet& fleet() { return fleet_; }

  // Faults of processes. The others may declare a member dead if its process ended, or was stopped for too
  // long to refute a suspicion.
  void start(std::size_t member);
  void kill(std::size_t member);
  void terminate(std::size_t member);
  enum class PauseLength : std::uint8_t { shorter_than_suspicion, longer_than_suspicion };
  void pause(std::size_t member, PauseLength length);
  void resume(std::size_t member);
  // Partitions the network into two sides. A majority on one side may declare the members of the other dead.
  void partition(const std::vector<std::size_t>& one_side);

  // Continues the run for `time`.
  void run_for(std::chrono::milliseconds time);
  // Waits until the member serves a request. Records a violation if it doesn't in time.
  void wait_until_serving(std::size_t member);
  // Ends the remaining network faults, waits for convergence, checks the rules and fills in the report.
  void finish(SeedReport& report);

 private:
  // Passes the current ports of the running members to the callers.
  void update_ports();
  bool serves(std::size_t member);
  void check_declared_deaths();
  void check_service();
  void save_logs(SeedReport& report) const;

  FleetHarnessOptions options_;
  OpenCallMeter meter_;
  standin::DependencyThread dependency_;
  fleet::ProcessFleet fleet_;
  std::unique_ptr<BusyProcesses> busy_;
  std::unique_ptr<CallerPool> callers_;
  std::set<std::size_t>
      may_be_declared_dead_;  // members that ended, were stopped for long or were in a minority, at any time
  std::vector<Violation> violations_;
};

}  // namespace granitegap::soak
