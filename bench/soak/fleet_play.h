// One play of a soak: a fleet of real processes that gathers from a stand-in dependency with a fleet-wide
// limit, under callers that never pause, on a machine that may be loaded.
//
// A scenario drives it: form(), then faults by way of the methods here, then finish(), which waits until the
// fleet has converged and judges the counts.
//
// Ownership: owns the fleet, the dependency, the callers and the busy processes. Threads: one, besides its
// own. Errors: std::runtime_error where processes can't be started.
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

struct FleetPlayOptions {
  std::string program;     // path of the granitegap executable
  std::uint64_t seed = 1;  // of the network and the processes
  std::size_t members = 4;
  std::size_t late_joiners = 0;   // of the members, the last ones: form() does not start them
  std::uint32_t fleet_limit = 8;  // `fleet_open`
  bool fleet_fill = false;
  bool stored_state = false;  // processes keep a directory over restarts
  std::chrono::milliseconds dependency_latency{20};
  std::size_t busy_processes = 0;
  std::filesystem::path log_folder;  // where the logs of a faulty play go
};

class FleetPlay {
 public:
  explicit FleetPlay(FleetPlayOptions options);
  ~FleetPlay();
  FleetPlay(const FleetPlay&) = delete;
  FleetPlay& operator=(const FleetPlay&) = delete;

  // Starts the members and waits until all see all; then the callers begin, and calls are counted.
  void form();

  static std::string name_of(std::size_t member) { return "n" + std::to_string(member); }
  std::size_t size() const { return options_.members; }
  fleet::ProcessFleet& fleet() { return fleet_; }

  // Faults of processes. A member that ended, or stopped for so long that it can't refute a suspicion, may be
  // declared dead by the others.
  void start(std::size_t member);
  void kill(std::size_t member);
  void terminate(std::size_t member);
  enum class PauseLength : std::uint8_t { short_of_suspicion, beyond_suspicion };
  void pause(std::size_t member, PauseLength length);
  void resume(std::size_t member);
  // Cuts the network in two. A side without a majority may be declared dead by the other.
  void partition(const std::vector<std::size_t>& one_side);

  // Lets the play go on for so long.
  void run_for(std::chrono::milliseconds time);
  // Waits until a member that was started serves; a violation where it doesn't.
  void wait_until_serving(std::size_t member);
  // Ends what is left of the faults, waits for convergence and adds what was violated to the report.
  void finish(SeedReport& report);

 private:
  void update_ports();
  bool serves(std::size_t member);
  void judge_deaths();
  void judge_service();
  void save_logs(SeedReport& report) const;

  FleetPlayOptions options_;
  OpenCallMeter meter_;
  standin::DependencyThread dependency_;
  fleet::ProcessFleet fleet_;
  std::unique_ptr<BusyProcesses> busy_;
  std::unique_ptr<Callers> callers_;
  std::set<std::size_t> may_be_dead_;  // members that ended, or stopped for long, at any time
  std::vector<Violation> violations_;
};

}  // namespace granitegap::soak
