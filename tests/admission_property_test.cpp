// The rules that every decision must keep (no lost request, no duplicate run, no overload of cores, memory or
// dependency, a complete drain) over random event histories. Seeds are fixed, so a failure repeats.
#include <gtest/gtest.h>

#include "fake_host.h"

namespace granitegap::testing {
namespace {

std::string join(const std::set<std::string>& items) {
  std::string out;
  for (const auto& i : items) out += i + "; ";
  return out;
}

struct Totals {
  int served = 0;
  int rejected = 0;
  int failed = 0;
  int reused = 0;
  int calls = 0;
  int skipped = 0;
};

Totals sweep(const Settings& base, Scenario scenario, int seeds) {
  Totals t;
  for (int seed = 1; seed <= seeds; ++seed) {
    Settings s = base;
    s.suspend = seed % 3 == 0 ? SuspendKind::none : seed % 3 == 1 ? SuspendKind::drop : SuspendKind::pause;
    s.passes_deadline = seed % 2 == 0;
    scenario.seed = std::uint64_t(seed);
    FakeHost host(s, scenario);
    host.play();
    EXPECT_EQ(join(host.violations), "") << "seed " << seed;
    t.served += host.served;
    t.rejected += host.rejected;
    t.failed += host.failed;
    t.reused += host.reused;
    t.calls += host.calls;
    t.skipped += host.skipped;
  }
  return t;
}

TEST(AdmissionControllerRules, HoldInOverload) {
  const auto t = sweep(tight_settings(), {.arrivals_per_s = 60, .steps = 3000}, 9);
  // The histories do reach what the rules are about.
  EXPECT_GT(t.served, 100);
  EXPECT_GT(t.rejected, 100);
  EXPECT_GT(t.failed, 10);
  EXPECT_GT(t.reused, 10);
  EXPECT_GT(t.calls, 100);
  EXPECT_GT(t.skipped, 10);
}
TEST(AdmissionControllerRules, HoldInAColdStart) {
  auto s = tight_settings();
  s.cold = true;
  sweep(s, {.arrivals_per_s = 60, .steps = 2600}, 9);
}
TEST(AdmissionControllerRules, HoldInADrain) {
  sweep(tight_settings(), {.arrivals_per_s = 40, .steps = 3500, .drain_at = 800}, 24);
}
TEST(AdmissionControllerRules, HoldWhenRunsStopEnding) {
  sweep(tight_settings(), {.arrivals_per_s = 40, .steps = 2600, .runs_hang = true}, 9);
}
TEST(AdmissionControllerRules, HoldWithATinyCallQuota) {
  auto s = tight_settings();
  s.call_quota = 0.3;
  sweep(s, {.arrivals_per_s = 40, .steps = 2600}, 9);
}
TEST(AdmissionControllerRules, HoldWithScarceMemory) {
  auto s = tight_settings();
  s.memory_kb = 1100;
  s.overload_factor = 12;
  sweep(s, {.arrivals_per_s = 60, .steps = 2600}, 9);
}
TEST(AdmissionControllerRules, HoldWhenAllCallsEndAtOnce) {
  auto s = tight_settings();
  s.downstream = Downstream::next_tier;
  s.call_quota = 1e6;
  s.memory_kb = 1e6;
  s.overload_factor = 1.5;
  for (auto& c : s.classes) c.latency_objective = milliseconds(3900);
  sweep(s, {.arrivals_per_s = 60, .steps = 2600, .calls_end_together = true}, 9);
}
TEST(AdmissionControllerRules, HoldOnASmallServerAmongHundreds) {
  auto s = tight_settings();
  s.servers = 300;
  s.callers = 900;
  s.call_quota = 0.4;
  for (auto& t : s.tenants) t.quota_per_s = 60;  // a fifth of a request a second here
  const auto t = sweep(s, {.arrivals_per_s = 25, .steps = 2600, .callers = 900, .open_connections = 90}, 9);
  EXPECT_GT(t.served, 100);
  EXPECT_GT(t.rejected, 100);
  EXPECT_GT(t.calls, 10);
  s.cold = true;
  sweep(s, {.arrivals_per_s = 25, .steps = 2600, .drain_at = 800, .callers = 900, .open_connections = 90}, 9);
}
TEST(AdmissionControllerRules, TheSameEventsGiveTheSameActions) {
  for (int k = 0; k < 2; ++k) {
    FakeHost a(tight_settings(), {.seed = 7, .arrivals_per_s = 50}),
        b(tight_settings(), {.seed = 7, .arrivals_per_s = 50});
    a.play();
    b.play();
    EXPECT_EQ(a.served, b.served);
    EXPECT_EQ(a.rejected, b.rejected);
    EXPECT_EQ(a.runs, b.runs);
  }
}

}  // namespace
}  // namespace granitegap::testing
