// What the admission controller keeps per request, per class and per tenant, and the unit conversions
// that every decision step shares.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>

#include "granitegap/policy.h"
#include "tuning.h"

namespace granitegap::policy {

enum class Phase { held, running, paused, at_call, calling, reusing };

struct Request {
  RequestArrived in;
  TimePoint reached, due, useful_until, since;  // since: start of the present phase
  Phase phase = Phase::held;
  bool ran = false, answered = false, gone = false, over_share = false, stopping = false;
  bool call_may_have_run = false;
  int call_tries = 0;
  TimePoint call_again;
  Duration on_cores{}, at_calls{};
};

struct ClassState {
  Duration latency_objective{}, deadline{}, idempotency_window{};
  double priority_weight = 1, late_weight_fraction = 0, degraded_weight_fraction = 0, objective_stretch = 0;
  Idempotency idempotency = Idempotency::none;
  std::deque<Duration> runs;  // newest last
  Duration median{};          // zero until there is a sample
  Duration call_time{};       // mean time at calls of one request
};

struct TenantState {
  double allowance = 0, tokens = 0;  // of this instance, per second
};

inline double sec(Duration d) { return Seconds(d).count(); }
inline Duration dur(double s) {
  return std::chrono::duration_cast<Duration>(Seconds(std::clamp(s, -1e6, 1e6)));
}
inline std::int64_t units(MemorySize kb) { return std::int64_t(kb); }

}  // namespace granitegap::policy
