// Admission control for arriving requests: the reasons to shed one, the worth-ranked drop past D_drop,
// tenant quotas, and the reuse and caching of idempotent results.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <optional>
#include <random>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

// ---- Arrivals ----

void AdmissionController::Impl::on(const RequestArrived& in) {
  if (requests.count(in.id)) return;
  if (!class_of(in)) {  // a class no one told of: nothing can be promised
    act(Reject{in.id, false, {}});
    return;
  }
  callers[in.caller] = now;
  Request fresh;
  fresh.in = in;
  auto& r = requests.emplace(in.id, std::move(fresh)).first->second;
  const auto& c = cls(r);
  r.since = now;
  r.reached = now - std::clamp(in.unread_wait, Duration{}, Duration(seconds(3600)));
  r.due = std::max(in.caller_timeout ? now + *in.caller_timeout : r.reached + c.deadline, now);
  const auto stretch = in.cost_hint ? dur(sec(*in.cost_hint) * c.objective_stretch) : Duration{};
  r.useful_until = std::min(r.due, r.reached + std::min(c.latency_objective + stretch, c.deadline));
  if (stop_at) r.due = std::min(r.due, last_answer());
  // What waited unread and is refused at once is never the oldest held: its wait counts all the same, or a
  // flood at the door would look calm and the pool would grow into it.
  newest_unread = sec(now - r.reached) / sec(target(r));
  arrival_ratio = std::max(arrival_ratio, newest_unread);
  r.over_share = quota_exhausted(in.tenant);
  // Guards against a repeat read just before the kill, which no timer could still answer.
  if (drain_from && now >= last_answer()) return refuse(r, false);
  if (in.duplicate_of && may_reuse(r)) return reuse(r);
  if (const auto reason = shed_reason(r)) {
    const bool pressed = *reason == Reason::waits_too_long || *reason == Reason::over_share;
    refuse(r, (pressed && persistent_overload()) || *reason == Reason::too_late,
           pressed ? std::min(s.max_retry_after.value_or(Duration{}), target(r)) : Duration{});
    return;
  }
  if (!r.over_share) consume_quota(in.tenant);
  if (c.idempotency == Idempotency::with_key) remember(r, c.idempotency_window - (now - r.reached));
  set_due_timer(r);
}

// Past D_drop the least worth goes first, even with a core free: where requests wait unread, the queue is
// outside the hold and its order can't be chosen. Guards against serving the patient classes and losing the
// hasty ones; the part taken follows the waits as the pool does. Ties are broken by chance.
bool AdmissionController::Impl::below_admission_threshold(Request& r) {
  const double own = value(r);
  const bool under = admitted < 1 && recent_values.size() >= kValues / 2 && rank_by_worth(own) < 1 - admitted;
  recent_values.push_back(own);
  if (recent_values.size() > kValues) recent_values.pop_front();
  return under;
}

double AdmissionController::Impl::rank_by_worth(double own) {
  double under = 0, ties = 0;
  for (const double v : recent_values) under += v < own, ties += v == own;
  const double drawn = std::uniform_real_distribution<double>(0, 1)(random);
  return (under + ties * drawn) / double(recent_values.size());
}

std::optional<AdmissionController::Impl::Reason> AdmissionController::Impl::shed_reason(Request& r) {
  const auto& c = cls(r);
  if (drain_from &&
      (r.reached > *drain_from + s.drain_grace.value_or(Duration{}) || now + time_needed(r) > last_answer()))
    return Reason::leaving;
  const auto key = c.idempotency == Idempotency::with_key ? key_units : 0;
  if (memory_in_use() + key > memory_limit || !memory_leaves_a_run(r, key)) return Reason::no_memory;
  if (now >= r.useful_until && c.late_weight_fraction <= 0) return Reason::too_late;
  if (below_admission_threshold(r)) return Reason::waits_too_long;
  if (count(Phase::running) < int(limit) && count(Phase::held) <= 1) return std::nullopt;
  if (oldest_wait(r.in.class_id) > kDropRatio * sec(target(r))) return Reason::waits_too_long;
  // By what the cores can do, not by the oldest wait: guards against a burst that is taken while the hold
  // is empty and keeps everybody waiting past the patience of their callers, who are served when they are
  // gone.
  if (const double ahead = work_ahead(r) / cores; max_wait && ahead > *max_wait * sec(target(r))) {
    arrival_ratio = std::max(arrival_ratio, ahead / sec(target(r)));
    return Reason::waits_too_long;
  }
  const auto wait = expected_wait(r);
  if (now + wait + dur(kServeMargin * sec(time_needed(r))) > r.useful_until) {
    // The wait it would have met is a delay like any other: refusing early must not make the pool look
    // calm.
    arrival_ratio = std::max(arrival_ratio, sec(wait + (now - r.reached)) / sec(target(r)));
    return Reason::waits_too_long;
  }
  if (r.over_share && worst_ratio > kOverSharePressure) return Reason::over_share;
  return std::nullopt;
}

double AdmissionController::Impl::oldest_wait(ClassId id) const {
  double worst = 0;
  for (const auto& [rid, r] : requests)
    if (r.phase == Phase::held && r.in.class_id == id) worst = std::max(worst, sec(now - r.reached));
  return worst;
}

// The allowance counts what clients ask of the service: a tier further in sees calls and can't apply it,
// and what is refused has used none of it (guards against retries and calls reading as traffic over a
// share).
bool AdmissionController::Impl::quota_exhausted(TenantId tenant) const {
  const auto i = std::size_t(tenant);
  return s.tier.value_or(0) < 1 && i < tenants.size() && tenants[i].tokens < 1;
}

void AdmissionController::Impl::consume_quota(TenantId tenant) {
  if (const auto i = std::size_t(tenant); i < tenants.size())
    tenants[i].tokens = std::max(tenants[i].tokens - 1, 0.0);
}

// Two seconds' worth; where that is few requests, more, or chance alone would read as traffic over a share.
// The price: a share that is overrun is noticed later.
void AdmissionController::Impl::refill_quotas() {
  const double passed = sec(now - last_refill);
  last_refill = now;
  for (auto& t : tenants)
    t.tokens = std::min(t.tokens + t.allowance * passed, std::max(2 * t.allowance, kShareSavings));
}

// ---- Repeats ----

bool AdmissionController::Impl::may_reuse(const Request& r) {
  return cls(r).idempotency == Idempotency::with_key ||
         (cls(r).idempotency == Idempotency::idempotent && reads_are_shared());
}

bool AdmissionController::Impl::reads_are_shared() const {
  return s.response_max_age.value_or(Duration{}).count() > 0;
}

void AdmissionController::Impl::reuse(Request& r) {
  if (memory_in_use() > memory_limit) return refuse(r, false);
  enter(r, Phase::reusing);
  act(ReuseResult{r.in.id});
  set_due_timer(r);
}

void AdmissionController::Impl::remember(Request& r, Duration keep) {
  keep += update_every;  // past the window's end, never short of it
  if (keep.count() <= 0) return;
  cached_results[r.in.id] = now + keep;
  act(CacheResult{r.in.id, keep});
}

void AdmissionController::Impl::drop_expired_entries() {
  std::erase_if(cached_results, [&](const auto& e) { return e.second < now; });
}

}  // namespace granitegap
