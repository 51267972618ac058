// Reads the settings an instance is given, and replaces missing or unusable values by cautious ones
// that are named once in a Log.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cmath>
#include <string>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

// ---- Settings, with what an absent one means ----

void AdmissionController::Impl::read_settings() {
  std::string poor;
  const auto note = [&](const char* name) { poor += poor.empty() ? name : std::string(" ") + name; };
  const auto take = [&](std::optional<double> v, double least, double instead, const char* name) {
    if (v && std::isfinite(*v) && *v >= least) return *v;
    note(name);
    return instead;
  };
  cores = std::floor(take(s.cores, 1, 1, "cores"));
  servers = take(s.servers, 1, 1, "servers");
  configured_callers = std::min(take(s.callers, 1, 1, "callers"), 1e6);
  overload = take(s.overload_factor, 1, 2, "overload_factor");
  cold_from = std::clamp(take(s.cold_speed, 0, 0.1, "cold_from"), 0.0, 1.0);
  run_factor = take(s.run_memory_factor, 1, 16, "run_factor");
  memory_limit = std::llround(std::min(take(s.memory_kb, 1, 16384, "memory_kb"), 1e12) * 1000 * kMemoryShare);
  key_units = std::llround(std::min(take(s.table_entry_kb, 0, 256, "key_kb"), 1e9) * 1000);
  slack = s.answer_slack.value_or(Duration{});
  suspend = s.suspend.value_or(SuspendKind::none);
  below = s.downstream.value_or(Downstream::shared);
  call_window = s.call_window.value_or(seconds(5));
  call_linger = s.abandoned_call_linger.value_or(milliseconds(200));
  call_share = std::min(take(s.call_quota, 0, 0, "call_share"), 1e9);
  update_every =
      std::max<Duration>(s.tick_interval.value_or(milliseconds(5)) * kUpdateTicks, milliseconds(20));
  if (s.classes.empty()) note("classes");
  for (const auto& c : s.classes) {
    ClassState k;
    k.deadline = c.deadline.value_or(c.latency_objective.value_or(seconds(1)));
    k.latency_objective = std::clamp(c.latency_objective.value_or(k.deadline), Duration(milliseconds(1)),
                                     std::max<Duration>(k.deadline, milliseconds(1)));
    k.idempotency_window = c.idempotency_window.value_or(seconds(60));
    k.priority_weight = std::max(c.priority_weight.value_or(1), 1e-3);
    k.late_weight_fraction = std::clamp(c.late_weight_fraction.value_or(0), 0.0, 1.0);
    k.degraded_weight_fraction = std::clamp(c.degraded_weight_fraction.value_or(0), 0.0, 1.0);
    k.objective_stretch = std::max(c.objective_stretch.value_or(0), 0.0);
    k.idempotency = c.idempotency.value_or(Idempotency::none);  // the most careful reading
    if (!c.deadline || !c.latency_objective || !c.idempotency) note("class");
    classes.push_back(k);
  }
  for (const auto& t : s.tenants) {
    const double per_server = take(t.quota_per_s, 0, 1e9, "allowance") / servers;
    tenants.push_back({per_server, per_server});
  }
  for (const auto& key : s.invalid_keys) note(key.c_str());
  last_refill = regime_since = now;
  pace = 1 / warmth();
  if (!poor.empty()) log("settings missing or unusable, read with caution: " + poor);
}

}  // namespace granitegap
