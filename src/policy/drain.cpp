// Requests abandoned by their callers, graceful shutdown (drain), and the limits that the host sets for the
// entire fleet.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cmath>
#include <string>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

void AdmissionController::Impl::on(const RequestAbandoned& abandoned) {
  auto* request = find_request(abandoned.id);
  if (!request) return;
  request->abandoned = true;
  if (ends_with_answer(*request)) {
    evict_result(*request);
    requests.erase(abandoned.id);
  } else {
    stop_work(*request);
  }
}

// Callers that honour credits keep theirs until shortly before the grace ends: until then the successor is
// cold or not started, and the other servers have no capacity for these callers. The time left covers twice a
// usual run and the propagation of the health change.
bool AdmissionController::Impl::accepts_work() const {
  if (!drain_started) return true;
  Duration longest_run{};
  for (const auto& request_class : classes) longest_run = std::max(longest_run, request_class.median_run);
  const TimePoint grace_ends = *drain_started + settings.drain_grace.value_or(Duration{});
  return now + kDrainCreditLead < grace_ends && now + 2 * longest_run < last_answer_time();
}

void AdmissionController::Impl::on(const DrainStarted& drain) {
  if (drain_started) return;
  drain_started = now - std::max(drain.elapsed, Duration{});
  stop_at = now + drain.time_until_stop;
  log("drain started: process stops in " + std::to_string(to_seconds(drain.time_until_stop)) +
      " s; reporting unhealthy to health checks");
  act(SetHealth{true, false});
  for (auto& [id, request] : requests) {
    if (request.answered || request.due <= last_answer_time()) continue;
    request.due = last_answer_time();
    set_deadline_timer(request);
  }
}

void AdmissionController::Impl::on(const AdmissionLimits& limits) {
  max_wait_ratio = limits.max_wait_ratio;
  const double fraction = limits.credit_fraction;
  credit_fraction = std::isfinite(fraction) ? std::clamp(fraction, 0.0, 1.0) : 1;
}

}  // namespace granitegap
