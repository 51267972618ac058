// State that the admission controller keeps for each request, class and tenant, and the unit conversions
// shared by the decision steps. These are plain values owned by one controller.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>

#include "granitegap/policy.h"
#include "tuning.h"

namespace granitegap::policy {

/// Phase of a request between its arrival and its end.
enum class Phase {
  queued,           ///< admitted and not started, or stopped with its progress discarded
  running,          ///< on the cores
  paused,           ///< stopped with its progress kept
  awaiting_call,    ///< waits until its call to the dependency is made
  calling,          ///< its call is open
  awaiting_result,  ///< waits for the result of the request that it duplicates
};

/// One request from its arrival until the host has reported its end.
struct Request {
  RequestArrived arrival;
  TimePoint arrived_at;    ///< when the request reached the machine, before it was read
  TimePoint due;           ///< latest time for the final answer
  TimePoint useful_until;  ///< an answer by then earns the full weight
  TimePoint phase_since;   ///< start of the present phase
  Phase phase = Phase::queued;
  bool has_run = false;
  bool answered = false;
  bool abandoned = false;  ///< its caller gave up
  bool over_quota = false;
  bool stopping = false;  ///< Suspend was sent and not yet confirmed
  bool call_may_have_run = false;
  int call_attempts = 0;
  TimePoint next_call_at;         ///< end of the backoff
  Duration finished_core_time{};  ///< core time of the completed running phases
  Duration call_time{};           ///< time spent waiting for calls and in calls
};

/// A request class: its settings with the defaults applied, and statistics of its runs.
struct ClassState {
  Duration latency_objective{};
  Duration deadline{};
  Duration idempotency_window{};
  double priority_weight = 1;
  double late_weight_fraction = 0;
  double degraded_weight_fraction = 0;
  double objective_stretch = 0;
  Idempotency idempotency = Idempotency::none;
  std::deque<Duration> recent_runs;  ///< core times, newest last
  Duration median_run{};             ///< zero until there is a sample
  Duration mean_call_time{};         ///< mean time that one request spends on calls
};

/// The token bucket of a tenant on this instance.
struct TenantState {
  double quota_per_s = 0;
  double tokens = 0;  ///< in requests
};

/// Returns the duration in seconds.
inline double to_seconds(Duration duration) { return Seconds(duration).count(); }

/// Converts seconds to a Duration, clamped to about twelve days either way so that arithmetic on the result
/// cannot overflow.
inline Duration to_duration(double value_s) {
  return std::chrono::duration_cast<Duration>(Seconds(std::clamp(value_s, -1e6, 1e6)));
}

/// Returns the size in thousandths of a kilobyte.
inline std::int64_t to_memory_units(MemorySize size) { return std::int64_t(size); }

}  // namespace granitegap::policy
