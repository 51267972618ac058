// Deadline timers, which answer every admitted request by its due time, also during a drain.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cstdint>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

void AdmissionController::Impl::set_deadline_timer(Request& request) {
  deadline_timers[next_token] = request.arrival.id;
  act(SetTimer{TimerToken(next_token), std::max<Duration>(request.due - now, Duration(1))});
  ++next_token;
}

void AdmissionController::Impl::on_deadline_timer(TimerToken token) {
  const auto it = deadline_timers.find(std::uint32_t(token));
  if (it == deadline_timers.end()) return;
  auto* request = find_request(it->second);
  deadline_timers.erase(it);
  if (request && !request->answered && !request->abandoned) reject_or_fail(*request, false);
}

// Returns the latest time for a final answer during a drain, so that it is sent before the process is
// stopped.
TimePoint AdmissionController::Impl::last_answer_time() const {
  return *stop_at - std::min<Duration>(2 * answer_slack + update_interval, (*stop_at - *drain_started) / 4);
}

}  // namespace granitegap
