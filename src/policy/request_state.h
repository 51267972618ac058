// What the admission controller keeps for each request, class and tenant, and the unit conversions that
// every decision step shares. Values only; one controller owns them.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>

#include "granitegap/policy.h"
#include "tuning.h"

namespace granitegap::policy {

/// Where a request stands on its way to its end.
enum class Phase {
  queued,           ///< admitted, not started, or stopped with its progress discarded
  running,          ///< on the cores
  paused,           ///< stopped with its progress kept
  awaiting_call,    ///< needs a call to the dependency
  calling,          ///< its call is open
  awaiting_result,  ///< takes over the result of the request that it repeats
};

/// One request from its arrival until the host has reported its end.
struct Request {
  RequestArrived arrival;
  TimePoint arrived_at;    ///< when it reached the machine, before it was read
  TimePoint due;           ///< its final answer is given by then
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
  TimePoint next_call_at;         ///< the backoff ends then
  Duration finished_core_time{};  ///< of the running phases that are over
  Duration call_time{};           ///< awaiting calls and in them
};

/// A request class: its settings with the defaults applied, and what its runs have shown.
struct ClassState {
  Duration latency_objective{};
  Duration deadline{};
  Duration idempotency_window{};
  double priority_weight = 1;
  double late_weight_fraction = 0;
  double degraded_weight_fraction = 0;
  double objective_stretch = 0;
  Idempotency idempotency = Idempotency::none;
  std::deque<Duration> recent_runs;  ///< core time, newest last
  Duration median_run{};             ///< zero until there is a sample
  Duration mean_call_time{};         ///< of one request
};

/// The token bucket of a tenant on this instance.
struct TenantState {
  double quota_per_s = 0;
  double tokens = 0;  ///< requests
};

inline double to_seconds(Duration duration) { return Seconds(duration).count(); }

/// Clamped to about twelve days either way, so that no arithmetic on the result overflows.
inline Duration to_duration(double value_s) {
  return std::chrono::duration_cast<Duration>(Seconds(std::clamp(value_s, -1e6, 1e6)));
}

/// In thousandths of a kilobyte.
inline std::int64_t to_memory_units(MemorySize size) { return std::int64_t(size); }

}  // namespace granitegap::policy
