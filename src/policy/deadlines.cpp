// Deadline timers: every admitted request is answered by its due time, also while draining.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cstdint>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

// ---- Answers by the due time ----

void AdmissionController::Impl::set_due_timer(Request& r) {
  due_timers[next_token] = r.in.id;
  act(SetTimer{TimerToken(next_token++), std::max<Duration>(r.due - now, Duration(1))});
}

void AdmissionController::Impl::answer_due(TimerToken token) {
  const auto it = due_timers.find(std::uint32_t(token));
  if (it == due_timers.end()) return;
  auto* r = find(it->second);
  due_timers.erase(it);
  if (r && !r->answered && !r->gone) reject_or_fail(*r, false);
}

TimePoint AdmissionController::Impl::last_answer() const {
  return *stop_at - std::min<Duration>(2 * slack + update_every, (*stop_at - *drain_from) / 4);
}

}  // namespace granitegap
