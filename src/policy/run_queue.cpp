// The queue and the run limit: which queued request runs next, how many run at once, which requests are shed
// because they will miss their objective, and which long runs are paused for requests of higher priority.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cmath>
#include <cstddef>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

void AdmissionController::Impl::update_run_limit() {
  const bool waiting = count(Phase::queued) + count(Phase::paused) > 0;
  if (cores_idle() && waiting && count(Phase::running) >= int(run_limit))
    run_limit += kRunLimitStep * cores;
  else if (!waiting || !cores_idle())
    run_limit -= kRunLimitStep * cores / 4;
  run_limit = std::clamp(run_limit, cores, std::max(cores, survivable_concurrency() * kRunLimitShare));
}

Request* AdmissionController::Impl::next_to_run() {
  Request* best = nullptr;
  double best_priority = -1;
  for (auto& [id, request] : requests) {
    if (request.phase != Phase::queued && request.phase != Phase::paused) continue;
    const bool ran_and_dropped = request.phase == Phase::queued && request.has_run;
    if (ran_and_dropped && runs_at_most_once(request)) continue;
    const double priority = queue_priority(request);
    if (priority <= best_priority) continue;
    best = &request;
    best_priority = priority;
  }
  return best;
}

void AdmissionController::Impl::start_queued() {
  while (count(Phase::running) < int(run_limit) &&
         started_count() < std::max(1.0, std::floor(survivable_concurrency() * kStartedShare))) {
    auto* request = next_to_run();
    if (!request) return;
    if (request->phase == Phase::queued && !has_memory_for_run(*request)) return;
    start_run(*request);
  }
}

void AdmissionController::Impl::start_run(Request& request) {
  const bool shared_read = class_state(request).idempotency == Idempotency::idempotent &&
                           request.arrival.key && reads_are_shared();
  if (shared_read && memory_in_use() + entry_memory <= memory_limit && has_memory_for_run(request))
    cache_result(request, *settings.response_max_age + time_needed(request));
  request.has_run = true;
  request.stopping = false;
  enter(request, Phase::running);
  act(Run{request.arrival.id});
}

// Sheds requests that can no longer earn any weight. Running ones are included, as they occupy a core.
void AdmissionController::Impl::shed_late_requests() {
  for (auto it = requests.begin(); it != requests.end();) {
    auto& request = it->second;
    ++it;  // the request may be erased
    if (request.answered || request.abandoned)
      stop_work(request);
    else if (will_miss_objective(request))
      reject_or_fail(request, true);
  }
}

bool AdmissionController::Impl::will_miss_objective(Request& request) {
  if (request.phase == Phase::awaiting_result || class_state(request).late_weight_fraction > 0) return false;
  if (now >= request.useful_until) return true;
  return request.phase == Phase::queued && now + time_needed(request) / 2 > request.useful_until;
}

// Pauses a long run for a request of higher priority per expected work. This limits the effect of
// heavy-tailed run times.
void AdmissionController::Impl::pause_long_runs() {
  if (suspend != SuspendKind::pause || count(Phase::running) < int(run_limit)) return;
  auto* next = next_to_run();
  if (!next || (next->phase == Phase::queued && !has_memory_for_run(*next))) return;
  auto* longest = least_valuable_long_run();
  if (!longest || queue_priority(*next) < kPausePriorityRatio * queue_priority(*longest)) return;
  longest->stopping = true;
  act(Suspend{longest->arrival.id});
}

Request* AdmissionController::Impl::least_valuable_long_run() {
  Request* least = nullptr;
  for (auto& [id, request] : requests) {
    if (request.phase != Phase::running || request.stopping || request.answered) continue;
    const double expected = to_seconds(run_time(request.arrival));
    if (to_seconds(core_time(request)) < kLongRunRatio * expected) continue;
    if (!least || queue_priority(request) < queue_priority(*least)) least = &request;
  }
  return least;
}

}  // namespace granitegap
