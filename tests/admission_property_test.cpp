// Checks the rules that every decision must keep over random event histories: no lost request, no duplicate
// run, no overload of cores, memory or the dependency, and a complete drain. Seeds are fixed, so failures are
// reproducible.
#include <gtest/gtest.h>

#include "fake_host.h"

namespace granitegap::testing {
namespace {

std::string join(const std::set<std::string>& items) {
  std::string out;
  for (const auto& i : items) out += i + "; ";
  return out;
}

// Sums over the simulations of a sweep.
struct Totals {
  int served = 0;
  int rejected = 0;
  int failed = 0;
  int reused = 0;
  int calls = 0;
  int skipped = 0;
};

// Runs the scenario once per seed, with varying settings, and expects no violation of the rules.
Totals sweep(const Settings& base, Scenario scenario, int seeds) {
  Totals totals;
  for (int seed = 1; seed <= seeds; ++seed) {
    Settings settings = base;
    settings.suspend = seed % 3 == 0   ? SuspendKind::none
                       : seed % 3 == 1 ? SuspendKind::drop
                                       : SuspendKind::pause;
    settings.passes_deadline = seed % 2 == 0;
    scenario.seed = std::uint64_t(seed);
    FakeHost host(settings, scenario);
    host.run();
    EXPECT_EQ(join(host.violations), "") << "seed " << seed;
    totals.served += host.served;
    totals.rejected += host.rejected;
    totals.failed += host.failed;
    totals.reused += host.reused;
    totals.calls += host.calls;
    totals.skipped += host.skipped;
  }
  return totals;
}

TEST(AdmissionControllerRules, HoldInOverload) {
  const auto totals = sweep(tight_settings(), {.arrivals_per_s = 60, .steps = 3000}, 9);
  // The histories exercise every rule.
  EXPECT_GT(totals.served, 100);
  EXPECT_GT(totals.rejected, 100);
  EXPECT_GT(totals.failed, 10);
  EXPECT_GT(totals.reused, 10);
  EXPECT_GT(totals.calls, 100);
  EXPECT_GT(totals.skipped, 10);
}
TEST(AdmissionControllerRules, HoldInAColdStart) {
  auto settings = tight_settings();
  settings.cold = true;
  sweep(settings, {.arrivals_per_s = 60, .steps = 2600}, 9);
}
TEST(AdmissionControllerRules, HoldInADrain) {
  sweep(tight_settings(), {.arrivals_per_s = 40, .steps = 3500, .drain_at = 800}, 24);
}
TEST(AdmissionControllerRules, HoldWhenRunsStopEnding) {
  sweep(tight_settings(), {.arrivals_per_s = 40, .steps = 2600, .runs_hang = true}, 9);
}
TEST(AdmissionControllerRules, HoldWithATinyCallQuota) {
  auto settings = tight_settings();
  settings.call_quota = 0.3;
  sweep(settings, {.arrivals_per_s = 40, .steps = 2600}, 9);
}
TEST(AdmissionControllerRules, HoldWithScarceMemory) {
  auto settings = tight_settings();
  settings.memory_kb = 1100;
  settings.overload_factor = 12;
  sweep(settings, {.arrivals_per_s = 60, .steps = 2600}, 9);
}
TEST(AdmissionControllerRules, HoldWhenAllCallsEndAtOnce) {
  auto settings = tight_settings();
  settings.downstream = Downstream::next_tier;
  settings.call_quota = 1e6;
  settings.memory_kb = 1e6;
  settings.overload_factor = 1.5;
  for (auto& class_settings : settings.classes) class_settings.latency_objective = milliseconds(3900);
  sweep(settings, {.arrivals_per_s = 60, .steps = 2600, .calls_end_together = true}, 9);
}
TEST(AdmissionControllerRules, HoldOnASmallServerAmongHundreds) {
  auto settings = tight_settings();
  settings.servers = 300;
  settings.callers = 900;
  settings.call_quota = 0.4;
  for (auto& tenant : settings.tenants) tenant.quota_per_s = 60;  // 0.2 requests per second on this server
  const auto totals =
      sweep(settings, {.arrivals_per_s = 25, .steps = 2600, .callers = 900, .open_connections = 90}, 9);
  EXPECT_GT(totals.served, 100);
  EXPECT_GT(totals.rejected, 100);
  EXPECT_GT(totals.calls, 10);
  settings.cold = true;
  sweep(settings,
        {.arrivals_per_s = 25, .steps = 2600, .drain_at = 800, .callers = 900, .open_connections = 90}, 9);
}
TEST(AdmissionControllerRules, TheSameEventsGiveTheSameActions) {
  for (int k = 0; k < 2; ++k) {
    FakeHost a(tight_settings(), {.seed = 7, .arrivals_per_s = 50}),
        b(tight_settings(), {.seed = 7, .arrivals_per_s = 50});
    a.run();
    b.run();
    EXPECT_EQ(a.served, b.served);
    EXPECT_EQ(a.rejected, b.rejected);
    EXPECT_EQ(a.runs, b.runs);
  }
}

}  // namespace
}  // namespace granitegap::testing
