// Estimates about requests: run time, target delay (D_t), worth per unit of work, the order of the hold,
// the wait ahead and the memory held; plus the small lookups that every step uses.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cstddef>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

// ---- Small helpers ----

void AdmissionController::Impl::log(std::string text) { act(Log{std::move(text)}); }

ClassState* AdmissionController::Impl::class_of(const RequestArrived& in) {
  const auto i = std::size_t(in.class_id);
  return i < classes.size() ? &classes[i] : nullptr;
}

ClassState& AdmissionController::Impl::cls(const Request& r) { return classes[std::size_t(r.in.class_id)]; }

bool AdmissionController::Impl::once(const Request& r) {
  return cls(r).idempotency != Idempotency::idempotent;
}

Request* AdmissionController::Impl::find(RequestId id) {
  const auto it = requests.find(id);
  return it == requests.end() ? nullptr : &it->second;
}

void AdmissionController::Impl::enter(Request& r, Phase phase) {
  if (r.phase == Phase::running) r.on_cores += now - r.since;
  if (r.phase == Phase::at_call || r.phase == Phase::calling) r.at_calls += now - r.since;
  r.phase = phase;
  r.since = now;
}

int AdmissionController::Impl::count(Phase phase) const {
  return int(
      std::count_if(requests.begin(), requests.end(), [&](auto& e) { return e.second.phase == phase; }));
}

// Begun and able to be on the cores, now or unannounced when a call ends.
int AdmissionController::Impl::begun() const {
  return count(Phase::running) + count(Phase::at_call) + count(Phase::calling);
}

double AdmissionController::Impl::warmth() const {
  const double part =
      s.cold.value_or(true) ? sec(now - born) / std::max(sec(s.warm_up.value_or(seconds(60))), 1e-3) : 1;
  return std::max(cold_from + (1 - cold_from) * std::clamp(part, 0.0, 1.0), 1e-2);
}

double AdmissionController::Impl::crowd() const { return cores * (1 + (overload - 1) * warmth()); }

// ---- Estimates ----

Duration AdmissionController::Impl::run_time(const RequestArrived& in) {
  auto& c = *class_of(in);
  if (in.cost_hint) return dur(sec(*in.cost_hint) * pace);
  return c.median.count() ? c.median : dur(sec(c.latency_objective) * kGuessAimShare / warmth());
}

Duration AdmissionController::Impl::target(Request& r) {
  const auto& c = cls(r);
  const Duration run = c.median.count() ? c.median : run_time(r.in);
  return std::max<Duration>(
      std::min(dur(sec(run) * kTargetRuns), dur(sec(c.latency_objective) * kTargetAimShare)),
      milliseconds(1));
}

double AdmissionController::Impl::value(Request& r) {
  const auto& c = cls(r);
  double v = c.priority_weight * (r.over_share ? s.over_quota_weight_fraction.value_or(0.05) : 1);
  if (!s.weight_by_work.value_or(false)) v /= std::max(sec(run_time(r.in)), 1e-3);
  return now > r.useful_until ? v * c.late_weight_fraction : v;
}

// The order of the hold: worth for work, growing with the wait in units of the class's own target.
double AdmissionController::Impl::score(Request& r) {
  const double aged = sec(attained(r)) / std::max(sec(run_time(r.in)), 1e-3);
  return value(r) * (kFreshUrgency + sec(now - r.reached) / sec(target(r))) / std::max(1.0, aged);
}

Duration AdmissionController::Impl::attained(const Request& r) const {
  return r.phase == Phase::running ? r.on_cores + (now - r.since) : r.on_cores;
}

double AdmissionController::Impl::work_ahead(Request& r) {
  double work = 0;
  for (auto& [id, other] : requests) {
    const double full = sec(run_time(other.in));
    if (other.phase == Phase::running)
      work += std::max(full - sec(attained(other)), full / 4);
    else if (other.phase == Phase::held && &other != &r &&
             cls(other).priority_weight >= cls(r).priority_weight)
      work += full;
  }
  return work;
}

Duration AdmissionController::Impl::expected_wait(Request& r) { return dur(work_ahead(r) / limit); }

Duration AdmissionController::Impl::time_needed(Request& r) { return run_time(r.in) + cls(r).call_time; }

// ---- Memory: held + run_factor x running + keys ----

double AdmissionController::Impl::memory_of(bool held_only) const {
  double sum = double(key_units) * double(cached_results.size());
  for (const auto& [id, r] : requests) {
    const bool held = r.phase == Phase::held;
    if (held || !held_only) sum += double(units(r.in.memory)) * (held ? 1 : run_factor);
  }
  return sum;
}

std::int64_t AdmissionController::Impl::memory_in_use() const { return std::llround(memory_of(false)); }

bool AdmissionController::Impl::memory_for_run(const Request& r) const {
  return memory_in_use() + std::llround(double(units(r.in.memory)) * (run_factor - 1)) <= memory_limit;
}

// Guards against a hold so full that nothing held could ever run.
bool AdmissionController::Impl::memory_leaves_a_run(const Request& r, std::int64_t key) const {
  const double own_run = double(units(r.in.memory)) * (run_factor - 1);
  return memory_of(true) + double(key) + own_run <= double(memory_limit);
}

}  // namespace granitegap
