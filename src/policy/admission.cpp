// Admission control for arriving requests: the reasons to reject a request, and shedding by weight when waits
// exceed the paper's D_drop.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <optional>
#include <random>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

namespace {
constexpr Duration kMaxUnreadWait = seconds(3600);  // longer reported waits are not plausible and are clamped
}  // namespace

void AdmissionController::Impl::on(const RequestArrived& arrival) {
  if (requests.count(arrival.id)) return;
  if (!find_class(arrival)) {  // the class is not in the settings, so no deadline or idempotency is known
    act(Reject{arrival.id, false, {}});
    return;
  }
  caller_last_seen[arrival.caller] = now;
  auto& request = add_request(arrival);
  // A request that is rejected on arrival never becomes the oldest in the queue, so its unread wait is
  // counted here. Otherwise a flood of arrivals would not register as overload and the pool would keep
  // growing.
  newest_unread_ratio = to_seconds(now - request.arrived_at) / to_seconds(delay_target(request));
  arrival_delay_ratio = std::max(arrival_delay_ratio, newest_unread_ratio);
  request.over_quota = quota_exhausted(arrival.tenant);
  // A duplicate that is read just before the process is stopped is rejected at once: no timer could answer it
  // in time.
  if (drain_started && now >= last_answer_time()) return reject(request, false);
  if (arrival.duplicate_of && may_reuse(request)) return reuse_result(request);
  if (const auto reason = reject_reason(request)) return reject_arrival(request, *reason);
  admit(request);
}

Request& AdmissionController::Impl::add_request(const RequestArrived& arrival) {
  Request added;
  added.arrival = arrival;
  auto& request = requests.emplace(arrival.id, added).first->second;
  const auto& request_class = class_state(request);
  request.phase_since = now;
  request.arrived_at = now - std::clamp(arrival.unread_wait, Duration{}, kMaxUnreadWait);
  const TimePoint due =
      arrival.caller_timeout ? now + *arrival.caller_timeout : request.arrived_at + request_class.deadline;
  request.due = std::max(due, now);
  Duration stretch{};
  if (arrival.cost_hint)
    stretch = to_duration(to_seconds(*arrival.cost_hint) * request_class.objective_stretch);
  const Duration objective = std::min(request_class.latency_objective + stretch, request_class.deadline);
  request.useful_until = std::min(request.due, request.arrived_at + objective);
  if (stop_at) request.due = std::min(request.due, last_answer_time());
  return request;
}

void AdmissionController::Impl::admit(Request& request) {
  if (!request.over_quota) consume_quota(request.arrival.tenant);
  const auto& request_class = class_state(request);
  if (request_class.idempotency == Idempotency::with_key)
    cache_result(request, request_class.idempotency_window - (now - request.arrived_at));
  set_deadline_timer(request);
}

void AdmissionController::Impl::reject_arrival(Request& request, RejectReason reason) {
  const bool by_load = reason == RejectReason::waits_too_long || reason == RejectReason::over_quota;
  const bool do_not_retry_elsewhere = (by_load && persistent_overload()) || reason == RejectReason::too_late;
  Duration retry_after{};
  if (by_load) retry_after = std::min(settings.max_retry_after.value_or(Duration{}), delay_target(request));
  reject(request, do_not_retry_elsewhere, retry_after);
}

// Past D_drop the requests of least weight are shed first, even with a core free: requests that wait unread
// are queued outside this controller, in an order that it cannot change. Without this step, classes with long
// deadlines would be served and urgent ones lost. The admitted fraction follows the waits as the pool does.
// Ties are broken at random.
bool AdmissionController::Impl::below_admission_threshold(Request& request) {
  const double request_weight = weight(request);
  const bool below = admitted_fraction < 1 && recent_weights.size() >= kWeightSamples / 2 &&
                     rank_by_weight(request_weight) < 1 - admitted_fraction;
  recent_weights.push_back(request_weight);
  if (recent_weights.size() > kWeightSamples) recent_weights.pop_front();
  return below;
}

// Returns the rank of a weight among recent arrivals, from 0 to 1. Draws a random number to break ties.
double AdmissionController::Impl::rank_by_weight(double request_weight) {
  double below = 0;
  double ties = 0;
  for (const double other : recent_weights) {
    below += other < request_weight;
    ties += other == request_weight;
  }
  const double drawn = std::uniform_real_distribution<double>(0, 1)(random);
  return (below + ties * drawn) / double(recent_weights.size());
}

bool AdmissionController::Impl::arrives_too_late_for_drain(Request& request) {
  if (!drain_started) return false;
  const Duration grace = settings.drain_grace.value_or(Duration{});
  return request.arrived_at > *drain_started + grace || now + time_needed(request) > last_answer_time();
}

std::optional<AdmissionController::Impl::RejectReason> AdmissionController::Impl::reject_reason(
    Request& request) {
  const auto& request_class = class_state(request);
  if (arrives_too_late_for_drain(request)) return RejectReason::draining;
  const auto entry = request_class.idempotency == Idempotency::with_key ? entry_memory : 0;
  if (memory_in_use() + entry > memory_limit || !leaves_memory_for_run(request, entry))
    return RejectReason::no_memory;
  if (now >= request.useful_until && request_class.late_weight_fraction <= 0) return RejectReason::too_late;
  if (below_admission_threshold(request)) return RejectReason::waits_too_long;
  if (count(Phase::running) < int(run_limit) && count(Phase::queued) <= 1) return std::nullopt;
  return wait_reject_reason(request);
}

// Returns the first of the reject reasons that apply only while requests are queued.
std::optional<AdmissionController::Impl::RejectReason> AdmissionController::Impl::wait_reject_reason(
    Request& request) {
  const double target = to_seconds(delay_target(request));
  if (oldest_wait(request.arrival.class_id) > kDropRatio * target) return RejectReason::waits_too_long;
  // The limit compares the queued core time, not the oldest wait. A limit on the oldest wait would admit a
  // whole burst while the queue is empty, and the requests would then be served after their callers had given
  // up.
  const double cores_wait = work_ahead(request) / cores;
  if (max_wait_ratio && cores_wait > *max_wait_ratio * target) {
    arrival_delay_ratio = std::max(arrival_delay_ratio, cores_wait / target);
    return RejectReason::waits_too_long;
  }
  const Duration wait = expected_wait(request);
  const Duration run = to_duration(kRunTimeMargin * to_seconds(time_needed(request)));
  if (now + wait + run > request.useful_until) {
    // The wait that the request would have had counts as a delay. Otherwise early rejection would make the
    // pool look idle.
    const double delay = to_seconds(wait + (now - request.arrived_at));
    arrival_delay_ratio = std::max(arrival_delay_ratio, delay / target);
    return RejectReason::waits_too_long;
  }
  if (request.over_quota && worst_delay_ratio > kOverQuotaRatio) return RejectReason::over_quota;
  return std::nullopt;
}

// Returns the longest wait among the queued requests of one class, in seconds.
double AdmissionController::Impl::oldest_wait(ClassId id) const {
  double worst = 0;
  for (const auto& [request_id, request] : requests) {
    if (request.phase == Phase::queued && request.arrival.class_id == id)
      worst = std::max(worst, to_seconds(now - request.arrived_at));
  }
  return worst;
}

}  // namespace granitegap
