// Ends requests with exactly one final answer each (refuse, fail) and stops work nobody waits for.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

// ---- Ending requests: one final answer each ----

void AdmissionController::Impl::forget_entry(Request& r) {
  if (!r.ran && cached_results.erase(r.in.id)) act(EvictResult{r.in.id});
}

void AdmissionController::Impl::refuse(Request& r, bool last, Duration keep_off) {
  act(Reject{r.in.id, last, keep_off});
  end_answer(r);
}

// A request that has run is failed, never refused.
void AdmissionController::Impl::fail(Request& r) {
  act(Fail{r.in.id});
  end_answer(r);
}

// Over with its answer; the host reports the end of all others.
bool AdmissionController::Impl::off_the_cores(const Request& r) {
  return r.phase == Phase::held || r.phase == Phase::paused || r.phase == Phase::reusing;
}

void AdmissionController::Impl::end_answer(Request& r) {
  forget_entry(r);
  r.answered = true;
  if (off_the_cores(r))
    requests.erase(r.in.id);
  else
    stop_work(r);
}

void AdmissionController::Impl::reject_or_fail(Request& r, bool last) {
  if (r.ran || r.phase == Phase::reusing)
    fail(r);
  else
    refuse(r, last);
}

// Work nobody waits for leaves the cores where the host can stop it.
// A keyed run goes on while its aim lasts: its caller's next try reuses it (guards against tries shorter
// than runs).
void AdmissionController::Impl::stop_work(Request& r) {
  if (r.phase != Phase::running || suspend == SuspendKind::none || r.stopping) return;
  if (cls(r).idempotency == Idempotency::with_key && now < r.reached + cls(r).latency_objective) return;
  r.stopping = true;
  act(Suspend{r.in.id});
}

}  // namespace granitegap
