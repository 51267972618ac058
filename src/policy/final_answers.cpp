// Ends requests with exactly one final answer each (reject, fail) and stops work that nobody waits for.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

void AdmissionController::Impl::evict_result(Request& request) {
  if (request.has_run) return;
  if (cached_results.erase(request.arrival.id)) act(EvictResult{request.arrival.id});
}

void AdmissionController::Impl::reject(Request& request, bool last, Duration retry_after) {
  act(Reject{request.arrival.id, last, retry_after});
  finish_answer(request);
}

// A request that has run is failed, never rejected.
void AdmissionController::Impl::fail(Request& request) {
  act(Fail{request.arrival.id});
  finish_answer(request);
}

// Over with its answer; the host reports the end of all others.
bool AdmissionController::Impl::off_the_cores(const Request& request) {
  return request.phase == Phase::queued || request.phase == Phase::paused ||
         request.phase == Phase::awaiting_result;
}

// Erases a request that is off the cores: the reference is invalid afterwards.
void AdmissionController::Impl::finish_answer(Request& request) {
  evict_result(request);
  request.answered = true;
  if (off_the_cores(request))
    requests.erase(request.arrival.id);
  else
    stop_work(request);
}

void AdmissionController::Impl::reject_or_fail(Request& request, bool last) {
  if (request.has_run || request.phase == Phase::awaiting_result)
    fail(request);
  else
    reject(request, last);
}

// Work that nobody waits for leaves the cores where the host can stop it. A run with an idempotency key goes
// on while its objective lasts: its caller's next attempt reuses it (guards against attempts shorter than
// runs).
void AdmissionController::Impl::stop_work(Request& request) {
  if (request.phase != Phase::running || suspend == SuspendKind::none || request.stopping) return;
  const auto& request_class = class_of(request);
  if (request_class.idempotency == Idempotency::with_key &&
      now < request.arrived_at + request_class.latency_objective)
    return;
  request.stopping = true;
  act(Suspend{request.arrival.id});
}

}  // namespace granitegap
