// Callers that leave, graceful shutdown (drain) and the bounds that a fleet-wide host sets.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cmath>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

// ---- Callers that leave; drain ----

void AdmissionController::Impl::on(const RequestAbandoned& e) {
  auto* r = find(e.id);
  if (!r) return;
  r->gone = true;
  if (off_the_cores(*r)) {
    forget_entry(*r);
    requests.erase(e.id);
  } else {
    stop_work(*r);
  }
}

// Callers that heed are sent away only as the grace runs out: the successor is cold or not up yet, and
// until then the others have no room for them. Leaves time for twice a usual run, and for the word to get
// round.
bool AdmissionController::Impl::takes_work() const {
  if (!drain_from) return true;
  Duration run{};
  for (const auto& c : classes) run = std::max(run, c.median);
  return now + kDrainQuiet < *drain_from + s.drain_grace.value_or(Duration{}) &&
         now + 2 * run < last_answer();
}

void AdmissionController::Impl::on(const DrainStarted& e) {
  if (drain_from) return;
  drain_from = now;
  stop_at = now + e.time_until_stop;
  log("drain: leaving");
  act(SetHealth{true, false});
  for (auto& [id, r] : requests)
    if (!r.answered && r.due > last_answer()) {
      r.due = last_answer();
      set_due_timer(r);
    }
}

void AdmissionController::Impl::on(const AdmissionLimits& e) {
  max_wait = e.max_wait_ratio;
  offered = std::isfinite(e.credit_fraction) ? std::clamp(e.credit_fraction, 0.0, 1.0) : 1;
}

}  // namespace granitegap
