// Duplicates of a request: which of them may reuse its result, and how long the host's table keeps the
// result.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

bool AdmissionController::Impl::may_reuse(const Request& request) {
  const auto idempotency = class_state(request).idempotency;
  if (idempotency == Idempotency::with_key) return true;
  return idempotency == Idempotency::idempotent && reads_are_shared();
}

bool AdmissionController::Impl::reads_are_shared() const {
  return settings.response_max_age.value_or(Duration{}).count() > 0;
}

void AdmissionController::Impl::reuse_result(Request& request) {
  if (memory_in_use() > memory_limit) return reject(request, false);
  enter(request, Phase::awaiting_result);
  act(ReuseResult{request.arrival.id});
  set_deadline_timer(request);
}

void AdmissionController::Impl::cache_result(Request& request, Duration ttl) {
  ttl += update_interval;  // so that the entry never expires before the end of the window
  if (ttl.count() <= 0) return;
  cached_results[request.arrival.id] = now + ttl;
  act(CacheResult{request.arrival.id, ttl});
}

void AdmissionController::Impl::drop_expired_entries() {
  std::erase_if(cached_results, [&](const auto& entry) { return entry.second < now; });
}

}  // namespace granitegap
