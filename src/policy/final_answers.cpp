// Ends each request with exactly one final answer (reject, fail) and stops runs whose result has no
// recipient.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

void AdmissionController::Impl::evict_result(Request& request) {
  if (request.has_run) return;
  if (cached_results.erase(request.arrival.id)) act(EvictResult{request.arrival.id});
}

void AdmissionController::Impl::reject(Request& request, bool do_not_retry_elsewhere, Duration retry_after) {
  act(Reject{request.arrival.id, do_not_retry_elsewhere, retry_after});
  finish_answer(request);
}

// Fails a request. A request that has run is failed and never rejected, as a rejection states that it never
// ran.
void AdmissionController::Impl::fail(Request& request) {
  act(Fail{request.arrival.id});
  finish_answer(request);
}

// Returns whether a request in its phase ends with its answer. The host reports the end of all other
// requests.
bool AdmissionController::Impl::ends_with_answer(const Request& request) {
  return request.phase == Phase::queued || request.phase == Phase::paused ||
         request.phase == Phase::awaiting_result;
}

// Erases a request that ends with its answer; the reference is invalid afterwards.
void AdmissionController::Impl::finish_answer(Request& request) {
  evict_result(request);
  request.answered = true;
  if (ends_with_answer(request))
    requests.erase(request.arrival.id);
  else
    stop_work(request);
}

void AdmissionController::Impl::reject_or_fail(Request& request, bool do_not_retry_elsewhere) {
  if (request.has_run || request.phase == Phase::awaiting_result)
    fail(request);
  else
    reject(request, do_not_retry_elsewhere);
}

// Stops a run whose result has no recipient, where the host can stop runs. A run with an idempotency key
// continues until its latency objective has passed, because the caller's next attempt reuses it. Otherwise a
// caller whose attempts are shorter than the run would never get a result.
void AdmissionController::Impl::stop_work(Request& request) {
  if (request.phase != Phase::running || suspend == SuspendKind::none || request.stopping) return;
  const auto& request_class = class_state(request);
  if (request_class.idempotency == Idempotency::with_key &&
      now < request.arrived_at + request_class.latency_objective)
    return;
  request.stopping = true;
  act(Suspend{request.arrival.id});
}

}  // namespace granitegap
