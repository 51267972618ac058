// Reads the settings of an instance and replaces missing or invalid values by conservative defaults. One Log
// names the settings that were replaced.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cmath>
#include <string>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

namespace {

constexpr double kUnitsPerKilobyte = 1000;

// Appends a setting's name to the space-separated list for the log message.
void add_rejected_setting(std::string& rejected, const std::string& name) {
  rejected += rejected.empty() ? name : " " + name;
}

ClassState make_class_state(const ClassSettings& configured) {
  ClassState state;
  state.deadline = configured.deadline.value_or(configured.latency_objective.value_or(seconds(1)));
  const Duration least = milliseconds(1);
  state.latency_objective = std::clamp(configured.latency_objective.value_or(state.deadline), least,
                                       std::max<Duration>(state.deadline, least));
  state.idempotency_window = configured.idempotency_window.value_or(seconds(60));
  state.priority_weight = std::max(configured.priority_weight.value_or(1), 1e-3);
  state.late_weight_fraction = std::clamp(configured.late_weight_fraction.value_or(0), 0.0, 1.0);
  state.degraded_weight_fraction = std::clamp(configured.degraded_weight_fraction.value_or(0), 0.0, 1.0);
  state.objective_stretch = std::max(configured.objective_stretch.value_or(0), 0.0);
  state.idempotency = configured.idempotency.value_or(Idempotency::none);  // the most conservative value
  return state;
}

}  // namespace

double AdmissionController::Impl::read_number(std::optional<double> value, double least, double fallback,
                                              const char* name, std::string& rejected) {
  if (value && std::isfinite(*value) && *value >= least) return *value;
  add_rejected_setting(rejected, name);
  return fallback;
}

void AdmissionController::Impl::read_numbers(std::string& rejected) {
  const auto read = [&](std::optional<double> value, double least, double fallback, const char* name) {
    return read_number(value, least, fallback, name, rejected);
  };
  cores = std::floor(read(settings.cores, 1, 1, "cores"));
  servers = read(settings.servers, 1, 1, "servers");
  configured_callers = std::min(read(settings.callers, 1, 1, "callers"), 1e6);
  overload_factor = read(settings.overload_factor, 1, 2, "overload_factor");
  cold_speed = std::clamp(read(settings.cold_speed, 0, 0.1, "cold_from"), 0.0, 1.0);
  run_memory_factor = read(settings.run_memory_factor, 1, 16, "run_factor");
  const double memory_kb = std::min(read(settings.memory_kb, 1, 16384, "memory_kb"), 1e12);
  memory_limit = std::llround(memory_kb * kUnitsPerKilobyte * kMemoryShare);
  const double entry_kb = std::min(read(settings.table_entry_kb, 0, 256, "key_kb"), 1e9);
  entry_memory = std::llround(entry_kb * kUnitsPerKilobyte);
  call_quota = std::min(read(settings.call_quota, 0, 0, "call_share"), 1e9);
}

void AdmissionController::Impl::read_classes(std::string& rejected) {
  if (settings.classes.empty()) add_rejected_setting(rejected, "classes");
  for (const auto& configured : settings.classes) {
    classes.push_back(make_class_state(configured));
    if (!configured.deadline || !configured.latency_objective || !configured.idempotency)
      add_rejected_setting(rejected, "class");
  }
}

void AdmissionController::Impl::read_tenants(std::string& rejected) {
  for (const auto& tenant : settings.tenants) {
    const double per_server = read_number(tenant.quota_per_s, 0, 1e9, "allowance", rejected) / servers;
    tenants.push_back({per_server, per_server});
  }
}

void AdmissionController::Impl::read_settings() {
  std::string rejected;
  read_numbers(rejected);
  answer_slack = settings.answer_slack.value_or(Duration{});
  suspend = settings.suspend.value_or(SuspendKind::none);
  downstream = settings.downstream.value_or(Downstream::shared);
  call_window = settings.call_window.value_or(seconds(5));
  abandoned_call_linger = settings.abandoned_call_linger.value_or(milliseconds(200));
  const Duration tick = settings.tick_interval.value_or(milliseconds(5));
  update_interval = std::max<Duration>(tick * kUpdateTicks, kMinUpdateInterval);
  read_classes(rejected);
  read_tenants(rejected);
  for (const auto& invalid : settings.invalid_settings) add_rejected_setting(rejected, invalid.key);
  last_refill = overload_change_since = now;
  run_time_ratio = 1 / warm_speed();
  if (!rejected.empty()) log("settings missing or invalid, using conservative defaults for: " + rejected);
}

}  // namespace granitegap
