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
  cold_from = std::clamp(take(s.cold_from, 0, 0.1, "cold_from"), 0.0, 1.0);
  run_factor = take(s.run_factor, 1, 16, "run_factor");
  memory_limit = std::llround(std::min(take(s.memory_kb, 1, 16384, "memory_kb"), 1e12) * 1000 * kMemoryShare);
  key_units = std::llround(std::min(take(s.key_kb, 0, 256, "key_kb"), 1e9) * 1000);
  slack = s.answer_slack.value_or(Duration{});
  suspend = s.suspend.value_or(SuspendKind::none);
  below = s.downstream.value_or(Downstream::shared);
  call_window = s.call_window.value_or(seconds(5));
  call_linger = s.call_linger.value_or(milliseconds(200));
  call_share = std::min(take(s.call_share, 0, 0, "call_share"), 1e9);
  update_every = std::max<Duration>(s.tick.value_or(milliseconds(5)) * kUpdateTicks, milliseconds(20));
  if (s.classes.empty()) note("classes");
  for (const auto& c : s.classes) {
    ClassState k;
    k.deadline = c.deadline.value_or(c.aim.value_or(seconds(1)));
    k.aim = std::clamp(c.aim.value_or(k.deadline), Duration(milliseconds(1)),
                       std::max<Duration>(k.deadline, milliseconds(1)));
    k.window = c.repeat_window.value_or(seconds(60));
    k.worth = std::max(c.worth.value_or(1), 1e-3);
    k.late_worth = std::clamp(c.late_worth.value_or(0), 0.0, 1.0);
    k.skip_worth = std::clamp(c.skip_worth.value_or(0), 0.0, 1.0);
    k.aim_stretch = std::max(c.aim_stretch.value_or(0), 0.0);
    k.effect = c.effect.value_or(Effect::once_unsafe);  // the most careful reading
    if (!c.deadline || !c.aim || !c.effect) note("class");
    classes.push_back(k);
  }
  for (const auto& t : s.tenants) {
    const double per_server = take(t.allowance_per_s, 0, 1e9, "allowance") / servers;
    tenants.push_back({per_server, per_server});
  }
  for (const auto& key : s.unusable) note(key.c_str());
  last_refill = regime_since = now;
  pace = 1 / warmth();
  if (!poor.empty()) log("settings missing or unusable, read with caution: " + poor);
}

}  // namespace granitegap
