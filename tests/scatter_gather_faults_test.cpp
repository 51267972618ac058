// ScatterGather with failing dependencies: circuit breaking, retries, hedging and Retry-After.
#include <gtest/gtest.h>

#include "scatter_gather_fixture.h"

namespace granitegap::deps {
namespace {

using S = PartStatus;
using Reply = DependencySimulation::Reply;

TEST(ScatterGather, CircuitOpensForAHangingDependency) {
  DependencySimulation w(two_dependencies(), 1);
  send_requests(w, seconds(3), milliseconds(10), 1000);
  const auto hang_from = w.now;
  w.behaviour = [](std::uint32_t d, auto, auto) { return d == 0 ? Reply{.never = true} : Reply{}; };
  send_requests(w, seconds(2), milliseconds(10), 5000);
  ASSERT_EQ(w.circuit_changes.size(), 1u);
  EXPECT_EQ(w.circuit_changes[0], std::pair(0u, true));
  // With the circuit open no part waits: every gather ends with the other dependency's response.
  const auto later = send_requests(w, seconds(2), milliseconds(10), 9000);
  w.run_for(seconds(1));
  for (const auto id : later) EXPECT_EQ(statuses_of(w, id), (std::vector{S::absent, S::fresh}));
  // The calls to it are few: those before the circuit opened, and the probes.
  const auto& starts = w.call_starts[0];
  const auto during = std::count_if(starts.begin(), starts.end(), [&](auto t) { return t >= hang_from; });
  EXPECT_LT(during, 40);
  EXPECT_LE(double(w.scatter_gather.counters().calls),
            1.1 * double(w.scatter_gather.counters().parts_needing_call));
  expect_no_violations(w);
}

TEST(ScatterGather, HangIsDetectedWhereEveryBudgetEndsBeforeTheTimeout) {
  auto spec = two_dependencies();
  spec.dependencies[0].min_timeout = milliseconds(500);
  spec.gathers[0].parts[0].timeout = milliseconds(60);
  DependencySimulation w(spec, 1);
  send_requests(w, seconds(1), milliseconds(10), 1000);
  w.behaviour = [](std::uint32_t d, auto, auto) { return d == 0 ? Reply{.never = true} : Reply{}; };
  send_requests(w, seconds(1), milliseconds(10), 5000);
  EXPECT_TRUE(w.scatter_gather.is_circuit_open(0));
  w.run_for(seconds(2));
  expect_no_violations(w);
}

TEST(ScatterGather, CircuitsOpenForTwoDependenciesFailingAtOnce) {
  DependencySimulation w(two_dependencies(), 1);
  send_requests(w, seconds(2), milliseconds(10), 1000);
  w.behaviour = [](std::uint32_t d, auto, auto) {
    return d == 0 ? Reply{.never = true}
                  : Reply{.outcome = CallOutcome::unreachable, .after = milliseconds(1)};
  };
  send_requests(w, seconds(1), milliseconds(10), 5000);
  const auto asked = w.now;
  const auto id = w.start_request(99999);
  EXPECT_EQ(statuses_of(w, id), (std::vector{S::absent, S::absent}));
  EXPECT_EQ(w.now, asked);  // settled without waiting
  w.run_for(seconds(1));
  expect_no_violations(w);
}

TEST(ScatterGather, RecoveryAfterALongOutageBeginsWithASlowStart) {
  auto spec = two_dependencies();
  spec.dependencies[0].min_in_flight =
      16;  // whatever the failures cut the limit to, it starts again from one
  DependencySimulation w(spec, 1);
  send_requests(w, seconds(2), milliseconds(5), 1000);
  w.behaviour = [](auto, auto, auto) { return Reply{.never = true}; };
  send_requests(w, seconds(60), milliseconds(20), 50000);
  const auto back_at = w.now;
  w.behaviour = [](auto, auto, auto) { return Reply{.after = milliseconds(10)}; };
  std::uint32_t max_at_first = 0;
  std::uint64_t key = 200000;
  std::optional<TimePoint> recovered_at;
  for (; w.now < back_at + seconds(3); w.run_for(milliseconds(5))) {
    for (int burst = 0; burst < 3; ++burst) w.start_request(key++);
    const bool out = w.scatter_gather.is_circuit_open(0);
    if (!out && !recovered_at) {
      recovered_at = w.now;
      max_at_first = w.scatter_gather.in_flight(0);
      EXPECT_LE(w.scatter_gather.concurrency_limit(0), 2u);
    }
    EXPECT_LE(w.scatter_gather.in_flight(0), std::max(w.scatter_gather.concurrency_limit(0), 3u));
  }
  ASSERT_TRUE(recovered_at);
  EXPECT_LE(*recovered_at - back_at, seconds(2));
  EXPECT_LE(max_at_first, 3u);  // from one, not from where it stood
  const auto after = send_requests(w, seconds(1), milliseconds(5), 900000);
  w.run_for(seconds(1));
  EXPECT_GE(share_complete(w, after), 0.98);
  expect_no_violations(w);
}

TEST(ScatterGather, NoRetriesWithoutSuccesses) {
  DependencySimulation w(two_dependencies(), 1);
  // Nothing ever succeeds, so that the retry budget stays empty.
  w.behaviour = [](auto, auto, auto) {
    return Reply{.outcome = CallOutcome::connection_lost, .after = milliseconds(1)};
  };
  send_requests(w, seconds(5), milliseconds(5), 1000);
  EXPECT_EQ(w.scatter_gather.counters().retries, 0u);
  EXPECT_EQ(w.scatter_gather.counters().hedges, 0u);
  w.run_for(seconds(1));
  expect_no_violations(w);
}

TEST(ScatterGather, RetriesWithinTheBudgetRecoverFromSomeFailures) {
  DependencySimulation w(two_dependencies(), 1);
  w.behaviour = [&](auto, auto, auto) {
    return w.random_fraction() < 0.05 ? Reply{.outcome = CallOutcome::error, .after = milliseconds(2)}
                                      : Reply{};
  };
  const auto ids = send_requests(w, seconds(20), milliseconds(10), 1000);
  w.run_for(seconds(1));
  EXPECT_GT(share_complete(w, ids), 0.97);  // 0.90 without
  const auto& t = w.scatter_gather.counters();
  EXPECT_GT(t.retries, 0u);
  EXPECT_LE(double(t.retries + t.hedges), 0.1 * double(t.parts_needing_call) + 1);
  expect_no_violations(w);
}

TEST(ScatterGather, HedgedAttemptCompletesWhenTheFirstHangs) {
  DependencySimulation w(two_dependencies(), 1);
  send_requests(w, seconds(2), milliseconds(10), 1000);
  // One call in fifty never ends; the hedged attempt goes to the other endpoint.
  int n = 0;
  w.behaviour = [&](std::uint32_t d, auto, auto) {
    return d == 0 && ++n % 50 == 0 ? Reply{.never = true} : Reply{};
  };
  const auto ids = send_requests(w, seconds(10), milliseconds(10), 5000);
  w.run_for(seconds(1));
  EXPECT_GT(w.scatter_gather.counters().hedges, 0u);
  EXPECT_GT(share_complete(w, ids), 0.99);
  expect_no_violations(w);
}

TEST(ScatterGather, RetryAfterIsRespected) {
  auto spec = two_dependencies();
  spec.dependencies[0].endpoints.resize(1);
  DependencySimulation w(spec, 1);
  send_requests(w, seconds(1), milliseconds(10), 1000);
  w.behaviour = [](std::uint32_t d, auto, auto) {
    return d ? Reply{}
             : Reply{.outcome = CallOutcome::overloaded,
                     .after = milliseconds(1),
                     .retry_after = Duration(seconds(2))};
  };
  w.start_request(5000);
  w.run_for(milliseconds(50));
  const auto calls = w.call_starts[0].size();
  const auto held = send_requests(w, milliseconds(1800), milliseconds(10), 6000);
  EXPECT_EQ(w.call_starts[0].size(), calls);
  w.behaviour = [](auto, auto, auto) { return Reply{}; };
  w.run_for(seconds(1));
  const auto after = send_requests(w, seconds(1), milliseconds(10), 9000);
  w.run_for(seconds(1));
  EXPECT_GT(share_complete(w, after), 0.98);
  expect_no_violations(w);
}

}  // namespace
}  // namespace granitegap::deps
