// Callers that give up, graceful shutdown (drain) and the limits that a host sets for the whole fleet.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cmath>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

void AdmissionController::Impl::on(const RequestAbandoned& abandoned) {
  auto* request = find_request(abandoned.id);
  if (!request) return;
  request->abandoned = true;
  if (off_the_cores(*request)) {
    evict_result(*request);
    requests.erase(abandoned.id);
  } else {
    stop_work(*request);
  }
}

// Callers that heed credits are sent away only as the grace runs out: the successor is cold or not up yet,
// and until then the others have no capacity for them. Leaves time for twice a usual run, and for the health
// change to spread.
bool AdmissionController::Impl::accepts_work() const {
  if (!drain_started) return true;
  Duration longest_run{};
  for (const auto& request_class : classes) longest_run = std::max(longest_run, request_class.median_run);
  const TimePoint grace_ends = *drain_started + settings.drain_grace.value_or(Duration{});
  return now + kDrainQuiet < grace_ends && now + 2 * longest_run < last_answer_time();
}

void AdmissionController::Impl::on(const DrainStarted& drain) {
  if (drain_started) return;
  drain_started = now;
  stop_at = now + drain.time_until_stop;
  log("drain: leaving");
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
