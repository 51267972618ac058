// Estimates for requests: run time, delay target (the paper's D_t), weight per unit of work, queue priority
// and expected wait. Also the lookups that every decision step uses.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cstddef>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

namespace {
constexpr double kMinDivisorSeconds = 1e-3;  // lower bound of divisors
constexpr double kMinSpeed = 1e-2;
}  // namespace

// ---- Lookups ----

void AdmissionController::Impl::log(std::string message) { act(Log{std::move(message)}); }

ClassState* AdmissionController::Impl::find_class(const RequestArrived& arrival) {
  const auto index = std::size_t(arrival.class_id);
  return index < classes.size() ? &classes[index] : nullptr;
}

ClassState& AdmissionController::Impl::class_state(const Request& request) {
  return classes[std::size_t(request.arrival.class_id)];
}

bool AdmissionController::Impl::runs_at_most_once(const Request& request) {
  return class_state(request).idempotency != Idempotency::idempotent;
}

Request* AdmissionController::Impl::find_request(RequestId id) {
  const auto it = requests.find(id);
  return it == requests.end() ? nullptr : &it->second;
}

void AdmissionController::Impl::enter(Request& request, Phase phase) {
  const Duration spent = now - request.phase_since;
  if (request.phase == Phase::running) request.finished_core_time += spent;
  if (request.phase == Phase::awaiting_call || request.phase == Phase::calling) request.call_time += spent;
  request.phase = phase;
  request.phase_since = now;
}

int AdmissionController::Impl::count(Phase phase) const {
  return int(std::count_if(requests.begin(), requests.end(),
                           [&](const auto& entry) { return entry.second.phase == phase; }));
}

// Returns the number of started requests that use a core now or may use one without notice when a call ends.
int AdmissionController::Impl::started_count() const {
  return count(Phase::running) + count(Phase::awaiting_call) + count(Phase::calling);
}

// Returns the fraction of full speed: rising during the slow start of a cold server, 1 after it.
double AdmissionController::Impl::warm_speed() const {
  double warm_up_progress = 1;
  if (settings.cold.value_or(true)) {
    const Duration warm_up = settings.warm_up.value_or(seconds(60));
    warm_up_progress = to_seconds(now - started_at) / std::max(to_seconds(warm_up), kMinDivisorSeconds);
  }
  return std::max(cold_speed + (1 - cold_speed) * std::clamp(warm_up_progress, 0.0, 1.0), kMinSpeed);
}

// Returns the number of concurrent requests on the cores that the server currently survives.
double AdmissionController::Impl::survivable_concurrency() const {
  return cores * (1 + (overload_factor - 1) * warm_speed());
}

// ---- Estimates ----

// Returns the expected core time of a request.
Duration AdmissionController::Impl::run_time(const RequestArrived& arrival) {
  const auto& request_class = *find_class(arrival);
  if (arrival.cost_hint) return to_duration(to_seconds(*arrival.cost_hint) * run_time_ratio);
  if (request_class.median_run.count()) return request_class.median_run;
  return to_duration(to_seconds(request_class.latency_objective) * kInitialRunShare / warm_speed());
}

// Returns the paper's D_t for the request's class.
Duration AdmissionController::Impl::delay_target(Request& request) {
  const auto& request_class = class_state(request);
  const Duration run =
      request_class.median_run.count() ? request_class.median_run : run_time(request.arrival);
  const Duration by_runs = to_duration(to_seconds(run) * kDelayTargetRuns);
  const Duration by_objective =
      to_duration(to_seconds(request_class.latency_objective) * kMaxDelayTargetShare);
  return std::max<Duration>(std::min(by_runs, by_objective), milliseconds(1));
}

// Returns the weight that an answer given now would earn per second of core time. With
// Settings::weight_by_work the configured weight counts per unit of work already.
double AdmissionController::Impl::weight(Request& request) {
  const auto& request_class = class_state(request);
  const double quota_fraction =
      request.over_quota ? settings.over_quota_weight_fraction.value_or(kOverQuotaWeight) : 1;
  double earned = request_class.priority_weight * quota_fraction;
  if (!settings.weight_by_work.value_or(false))
    earned /= std::max(to_seconds(run_time(request.arrival)), kMinDivisorSeconds);
  return now > request.useful_until ? earned * request_class.late_weight_fraction : earned;
}

// Returns the priority of a request in the queue: its weight, growing with its wait in units of the delay
// target of its class, and reduced once it has used more core time than expected.
double AdmissionController::Impl::queue_priority(Request& request) {
  const double runs_done =
      to_seconds(core_time(request)) / std::max(to_seconds(run_time(request.arrival)), kMinDivisorSeconds);
  const double waited = to_seconds(now - request.arrived_at) / to_seconds(delay_target(request));
  return weight(request) * (kInitialUrgency + waited) / std::max(1.0, runs_done);
}

Duration AdmissionController::Impl::core_time(const Request& request) const {
  if (request.phase != Phase::running) return request.finished_core_time;
  return request.finished_core_time + (now - request.phase_since);
}

// Returns the core seconds expected to run before the request: the rest of the running requests, and the
// queued requests whose class has at least the same priority weight.
double AdmissionController::Impl::work_ahead(Request& request) {
  double work = 0;
  for (auto& [id, other] : requests) {
    const double full = to_seconds(run_time(other.arrival));
    if (other.phase == Phase::running) {
      work += std::max(full - to_seconds(core_time(other)), full / 4);
    } else if (other.phase == Phase::queued && &other != &request &&
               class_state(other).priority_weight >= class_state(request).priority_weight) {
      work += full;
    }
  }
  return work;
}

Duration AdmissionController::Impl::expected_wait(Request& request) {
  return to_duration(work_ahead(request) / run_limit);
}

// Returns the expected time from the start of the run to its end, calls included.
Duration AdmissionController::Impl::time_needed(Request& request) {
  return run_time(request.arrival) + class_state(request).mean_call_time;
}

}  // namespace granitegap
