// Controls recovery and slow start after a restart: the phase of recovery, the share of its capacity that the
// process may advertise, and the bound on waits (docs/recovery.md).
//
//            the kernel is up            warm state was transferred,    full share advertised, and no
//                                        or no donor is left            request rejected for a while
//   starting ----------> transferring_state -------------> slow_start -------------> in_service
//                              ^                              ^  ^                        |
//                              |   a long pause               |  |  the kernel restarted  |
//                              +------------------------------|--+------------------------+
//                                                             |
//                                                             +- rejected requests keep it there
//
// The advertised share grows with completed runs and not with time alone, because a fixed slow-start window
// would overload a kernel that takes longer than the window to warm up. A step ends when enough runs met
// their latency objective; the next step advertises at most `growth_factor` times as much. After a step with
// too many missed objectives the share is reduced by the same factor. Without requests nothing is at risk,
// and the share grows slowly.
//
// The bound on waits avoids a metastable failure, in which callers that retry without limit keep a fleet
// overloaded after its kernels are warm (Bronson et al., Metastable Failures in Distributed Systems, HotOS
// 2021; Huang et al., OSDI 2022). While part of the fleet is recovering, it also applies to members that did
// not restart.
//
// Performs no I/O, reads no clock and uses no randomness: decisions are a function of the calls. Time points
// are those of this process's steady clock. Not thread-safe; the owner calls it from one thread.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "granitegap/policy.h"
#include "recovery/fleet_status.h"
#include "recovery/recovery_phase.h"

namespace granitegap::recovery {

// Parameters of RecoveryController. Shares are 0 to 1; durations are granitegap::Duration (microseconds).
struct RecoveryOptions {
  // Maximum time in `transferring_state`, from when the kernel is up.
  Duration max_state_transfer = std::chrono::milliseconds(800);
  double initial_share = 0.1;  // share advertised before any run has ended
  double growth_factor = 1.5;  // the advertised share never exceeds this times the verified share
  // While waits are bounded: maximum expected wait of an arrival, in latency objectives of its class.
  double max_wait_factor = 1;
  // Recovering share of the fleet from which the restart scope is `partial`, and from which it is `majority`.
  double partial_restart_share = 0.2, majority_restart_share = 0.5;
  Duration min_step = std::chrono::milliseconds(300);  // minimum length of a slow-start step
  std::uint32_t min_step_runs = 4;                     // minimum number of runs to evaluate a step
  double min_success_share = 0.8;                // minimum share of a step's runs within their objective
  Duration idle_step = std::chrono::seconds(2);  // length of a step without requests
  // Time without a rejected request and without a partial restart of the fleet after which the bound on waits
  // is lifted.
  Duration calm_period = std::chrono::seconds(3);
  // A longer gap between two ticks counts as a pause (SIGSTOP, a suspended machine), after which warm state
  // is stale.
  Duration max_tick_gap = std::chrono::seconds(5);
  // Time of uninterrupted rejections after which a process in service bounds waits again.
  Duration overload_period = std::chrono::seconds(2);
};

// When the milestones of a recovery were reached, as time since its start; nullopt: not yet.
struct RecoveryTimeline {
  std::optional<Duration> first_response;
  std::optional<Duration> first_healthy;
  std::optional<Duration> half_share;            // 0.5 of the capacity is advertised
  std::optional<Duration> nearly_full_share;     // 0.95 of the capacity is advertised
  std::optional<Duration> in_service;            // Phase::in_service
  std::optional<Duration> estimated_in_service;  // estimate of in_service, made when slow start began
  std::size_t donors = 0;                        // number of members whose warm state was used
};

// A change to be logged, with the controller's state at that moment.
struct RecoveryEvent {
  enum class Type : std::uint8_t {
    phase_changed,
    scope_changed,
    entered_service,
    pause_detected,
    overload_guard_changed
  } type{};
  Phase phase{};
  RestartScope scope{};
  bool overload_guard = false;
};

// The state machine of a process's recovery. See the top of this file.
class RecoveryController {
 public:
  RecoveryController(RecoveryOptions options, TimePoint started);

  // Inputs. `now` must not decrease.
  void on_fleet_status(const FleetStatus& status, TimePoint now);
  // Sets the number of other members that the previous incarnation knew, which is used until there is a view.
  void on_last_known_members(std::size_t members, TimePoint now);
  // The state transfer has ended: all donors have responded, or none is left.
  void on_state_transferred(std::size_t donors, TimePoint now);
  // The kernel is up. `cold`: it has just started and warms up for `warm_up_left`; otherwise the link to a
  // running kernel was re-established.
  void on_kernel_ready(bool cold, Duration warm_up_left, TimePoint now);
  // A request was answered; `served`: with a result.
  void on_response(bool served, TimePoint now);
  // A health check of this process has been answered.
  void on_health_check(bool healthy, TimePoint now);
  // A run has ended: within its latency objective, or else too late or with a failure.
  void on_run_finished(bool within_objective, TimePoint now);
  // An arrival was rejected because of its expected wait, or shed.
  void on_request_rejected(TimePoint now);
  // Must be called at least every RecoveryOptions::min_step. A gap over max_tick_gap counts as a pause.
  void tick(TimePoint now);

  Phase phase() const { return phase_; }
  RestartScope restart_scope() const { return scope_; }
  // The share of its capacity that the process may advertise, 0 to 1.
  double advertised_share() const { return advertised_share_; }
  // The largest share at which runs have met their latency objectives, 0 to 1.
  double verified_share() const { return verified_share_; }
  // The bound on the expected wait of an arrival, in latency objectives of its class; nullopt: no bound.
  std::optional<double> max_wait_factor() const;
  // Whether waits are bounded while the process is in service.
  bool overload_guard_active() const { return overload_guard_; }
  // The estimated time until the process is in service; zero once it is.
  Duration remaining(TimePoint now) const;
  TimePoint phase_since() const { return phase_since_; }
  // When the current recovery began.
  TimePoint started_at() const { return started_at_; }
  const RecoveryTimeline& timeline() const { return timeline_; }
  // Number of times that recovery began again in this process, after a pause or a restart of the kernel.
  std::uint32_t recoveries() const { return recoveries_; }
  // Returns the events since the last call, oldest first.
  std::vector<RecoveryEvent> take_events() { return std::exchange(events_, {}); }

 private:
  // The runs and rejections in the current slow-start step.
  struct Step {
    TimePoint began;
    std::uint32_t within_objective = 0;
    std::uint32_t missed_objective = 0;
    std::uint32_t rejected = 0;
  };

  void enter(Phase phase, TimePoint now);
  void restart_recovery(Phase phase, TimePoint now);
  RestartScope observed_scope() const;
  bool clearly_below_threshold() const;
  void update_scope(TimePoint now);
  void on_pause(TimePoint now);
  void end_step(TimePoint now);
  void advertise(double share, TimePoint now);
  bool is_calm(TimePoint now) const;
  void complete_slow_start(TimePoint now);
  void set_overload_guard(bool active);
  void detect_overload(TimePoint now);
  void report(RecoveryEvent::Type type);
  Duration elapsed(TimePoint now) const { return now - started_at_; }

  RecoveryOptions options_;
  TimePoint started_at_;
  TimePoint phase_since_;
  TimePoint last_tick_;
  Phase phase_ = Phase::starting;
  RestartScope scope_ = RestartScope::unknown;
  double advertised_share_;
  double verified_share_;
  FleetStatus fleet_;
  bool has_fleet_status_ = false;
  bool kernel_ready_ = false;
  bool state_transferred_ = false;
  bool overload_guard_ = false;
  std::size_t last_known_members_ = 0;
  TimePoint kernel_warm_at_{};
  TimePoint last_rejected_;
  TimePoint calm_since_;
  std::optional<TimePoint> scope_lower_since_;
  std::optional<TimePoint> overloaded_since_;
  Step step_;
  std::uint32_t recoveries_ = 0;
  RecoveryTimeline timeline_;
  std::vector<RecoveryEvent> events_;
};

}  // namespace granitegap::recovery
