// Health in the endpoint list: a server whose cores have become slow leaves the list for a limited time.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cmath>
#include <string>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

// A slow machine also reads slowly. Requests from callers that ignore credits wait unread, where the
// controller cannot reject them in time, and only the endpoint list can keep them away. Long waits alone are
// not a reason to leave: in an overload of all servers, a server that leaves adds to the load of the others.
// After kUnhealthyDuration the server is listed again and evaluated by new waits.
void AdmissionController::Impl::update_endpoint_health() {
  if (drain_started || !settings.endpoint_list_follows_health.value_or(false)) return;
  if (unhealthy_until && now < *unhealthy_until) return;
  const bool slow = run_time_ratio_samples >= kMinRunTimeRatioSamples &&
                    run_time_ratio > kSlowRunTimeRatio * best_run_time_ratio * expected_slowdown();
  if (slow && unread_ratio > kDropRatio && !unhealthy_until) {
    unhealthy_until = now + kUnhealthyDuration;
    act(SetHealth{true, false});
    log("server is slow: run times are " + std::to_string(run_time_ratio / best_run_time_ratio) +
        " times the best observed, with " + std::to_string(mean_runnable_tasks / cores) +
        " runnable tasks per core; leaving the endpoint list for " +
        std::to_string(to_seconds(kUnhealthyDuration)) + " s");
  } else if (unhealthy_until) {
    unhealthy_until.reset();
    newest_unread_ratio = unread_ratio = 0;
    act(SetHealth{true, true});
  }
}

// Returns the increase of the run time ratio that the number of tasks on the cores (reading included)
// explains: tasks share the cores, and thrashing adds to that. The task count is sampled at the same runs as
// the ratio. Otherwise a burst that shows in one before the other would look like a slow machine.
double AdmissionController::Impl::expected_slowdown() const {
  return std::pow(std::max(1.0, mean_runnable_tasks / cores), 2);
}

}  // namespace granitegap
