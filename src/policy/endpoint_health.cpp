// Health in the endpoint list: a server whose cores have turned slow leaves the list for a while.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cmath>
#include <string>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

// A machine that turns slow reads slowly too: what callers that ignore credits send it waits unread, where
// nothing here can reject it in time, and only the endpoint list can keep it away. Never for waits alone: in
// an overload that all servers share, those that left would only add to the others' load. After a while the
// server is listed again, and judged by new waits.
void AdmissionController::Impl::update_endpoint_health() {
  if (drain_started || !settings.endpoint_list_follows_health.value_or(false)) return;
  if (unhealthy_until && now < *unhealthy_until) return;
  const bool slow = paced_runs >= kMinPaceRuns && pace > kSlowRatio * best_pace * expected_slowdown();
  if (slow && unread_ratio > kDropRatio && !unhealthy_until) {
    unhealthy_until = now + kUnhealthyFor;
    act(SetHealth{true, false});
    log("slow: off the list for a while, pace " + std::to_string(pace / best_pace) +
        " of its best on a crowd of " + std::to_string(paced_runnable / cores) + " a core");
  } else if (unhealthy_until) {
    unhealthy_until.reset();
    newest_unread_ratio = unread_ratio = 0;
    act(SetHealth{true, true});
  }
}

// What the tasks on the cores, reading included, may by themselves make of the pace: a share, and thrashing.
// Sampled at the same runs as the pace, or a rush that the one shows before the other would read as a slow
// machine.
double AdmissionController::Impl::expected_slowdown() const {
  return std::pow(std::max(1.0, paced_runnable / cores), 2);
}

}  // namespace granitegap
