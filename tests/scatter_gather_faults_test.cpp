// Tests ScatterGather with failing dependencies: circuit breaking, retries, hedged requests and Retry-After.
#include <gtest/gtest.h>

#include "scatter_gather_fixture.h"

namespace granitegap::deps {
namespace {

using Reply = DependencySimulation::Reply;

TEST(ScatterGather, CircuitOpensForAHangingDependency) {
  DependencySimulation simulation(two_dependencies(), 1);
  send_requests(simulation, seconds(3), milliseconds(10), 1000);
  const auto hang_from = simulation.now;
  simulation.behaviour = [](std::uint32_t dependency, auto, auto) {
    return dependency == 0 ? Reply{.never = true} : Reply{};
  };
  send_requests(simulation, seconds(2), milliseconds(10), 5000);
  ASSERT_EQ(simulation.circuit_changes.size(), 1u);
  EXPECT_EQ(simulation.circuit_changes[0], std::pair(0u, true));
  // While the circuit breaker is open no part waits for the dependency: every gather ends with the response
  // of the other dependency.
  const auto later = send_requests(simulation, seconds(2), milliseconds(10), 9000);
  simulation.run_for(seconds(1));
  for (const auto id : later)
    EXPECT_EQ(part_statuses(simulation, id), (std::vector{PartStatus::absent, PartStatus::fresh}));
  // Only the calls before the circuit breaker opened, and the probes, reach the dependency.
  const auto& starts = simulation.call_starts[0];
  const auto calls_during_hang =
      std::count_if(starts.begin(), starts.end(), [&](TimePoint start) { return start >= hang_from; });
  EXPECT_LT(calls_during_hang, 40);
  EXPECT_LE(double(simulation.scatter_gather.counters().calls),
            1.1 * double(simulation.scatter_gather.counters().parts_needing_call));
  expect_no_violations(simulation);
}

TEST(ScatterGather, HangIsDetectedWhenEveryBudgetEndsBeforeTheTimeout) {
  auto spec = two_dependencies();
  spec.dependencies[0].min_timeout = milliseconds(500);
  spec.gathers[0].parts[0].timeout = milliseconds(60);
  DependencySimulation simulation(spec, 1);
  send_requests(simulation, seconds(1), milliseconds(10), 1000);
  simulation.behaviour = [](std::uint32_t dependency, auto, auto) {
    return dependency == 0 ? Reply{.never = true} : Reply{};
  };
  send_requests(simulation, seconds(1), milliseconds(10), 5000);
  EXPECT_TRUE(simulation.scatter_gather.is_circuit_open(0));
  simulation.run_for(seconds(2));
  expect_no_violations(simulation);
}

TEST(ScatterGather, CircuitsOpenForTwoDependenciesFailingAtOnce) {
  DependencySimulation simulation(two_dependencies(), 1);
  send_requests(simulation, seconds(2), milliseconds(10), 1000);
  simulation.behaviour = [](std::uint32_t dependency, auto, auto) {
    return dependency == 0 ? Reply{.never = true}
                           : Reply{.outcome = CallOutcome::unreachable, .after = milliseconds(1)};
  };
  send_requests(simulation, seconds(1), milliseconds(10), 5000);
  const auto requested_at = simulation.now;
  const auto id = simulation.start_request(99999);
  EXPECT_EQ(part_statuses(simulation, id), (std::vector{PartStatus::absent, PartStatus::absent}));
  EXPECT_EQ(simulation.now, requested_at);  // settled without waiting
  simulation.run_for(seconds(1));
  expect_no_violations(simulation);
}

TEST(ScatterGather, RecoveryAfterALongOutageBeginsWithASlowStart) {
  auto spec = two_dependencies();
  // The slow start begins at one even when the limit's lower bound is higher.
  spec.dependencies[0].min_in_flight = 16;
  DependencySimulation simulation(spec, 1);
  send_requests(simulation, seconds(2), milliseconds(5), 1000);
  simulation.behaviour = [](auto, auto, auto) { return Reply{.never = true}; };
  send_requests(simulation, seconds(60), milliseconds(20), 50000);
  const auto recovered_at = simulation.now;
  simulation.behaviour = [](auto, auto, auto) { return Reply{.after = milliseconds(10)}; };
  std::uint32_t max_at_first = 0;
  std::uint64_t obj = 200000;
  std::optional<TimePoint> closed_at;
  for (; simulation.now < recovered_at + seconds(3); simulation.run_for(milliseconds(5))) {
    for (int burst = 0; burst < 3; ++burst) simulation.start_request(obj++);
    const bool is_open = simulation.scatter_gather.is_circuit_open(0);
    if (!is_open && !closed_at) {
      closed_at = simulation.now;
      max_at_first = simulation.scatter_gather.in_flight(0);
      EXPECT_LE(simulation.scatter_gather.concurrency_limit(0), 2u);
    }
    EXPECT_LE(simulation.scatter_gather.in_flight(0),
              std::max(simulation.scatter_gather.concurrency_limit(0), 3u));
  }
  ASSERT_TRUE(closed_at);
  EXPECT_LE(*closed_at - recovered_at, seconds(2));
  EXPECT_LE(max_at_first, 3u);  // starts from one, not from the limit before the outage
  const auto after = send_requests(simulation, seconds(1), milliseconds(5), 900000);
  simulation.run_for(seconds(1));
  EXPECT_GE(complete_fraction(simulation, after), 0.98);
  expect_no_violations(simulation);
}

TEST(ScatterGather, NoRetriesWithoutSuccesses) {
  DependencySimulation simulation(two_dependencies(), 1);
  // No call succeeds, so the retry budget stays empty.
  simulation.behaviour = [](auto, auto, auto) {
    return Reply{.outcome = CallOutcome::connection_lost, .after = milliseconds(1)};
  };
  send_requests(simulation, seconds(5), milliseconds(5), 1000);
  EXPECT_EQ(simulation.scatter_gather.counters().retries, 0u);
  EXPECT_EQ(simulation.scatter_gather.counters().hedges, 0u);
  simulation.run_for(seconds(1));
  expect_no_violations(simulation);
}

TEST(ScatterGather, RetriesWithinTheBudgetRecoverFromSomeFailures) {
  DependencySimulation simulation(two_dependencies(), 1);
  simulation.behaviour = [&](auto, auto, auto) {
    return simulation.random_fraction() < 0.05
               ? Reply{.outcome = CallOutcome::error, .after = milliseconds(2)}
               : Reply{};
  };
  const auto ids = send_requests(simulation, seconds(20), milliseconds(10), 1000);
  simulation.run_for(seconds(1));
  EXPECT_GT(complete_fraction(simulation, ids), 0.97);  // 0.90 without retries
  const auto& counters = simulation.scatter_gather.counters();
  EXPECT_GT(counters.retries, 0u);
  EXPECT_LE(double(counters.retries + counters.hedges), 0.1 * double(counters.parts_needing_call) + 1);
  expect_no_violations(simulation);
}

TEST(ScatterGather, HedgedAttemptCompletesWhenTheFirstHangs) {
  DependencySimulation simulation(two_dependencies(), 1);
  send_requests(simulation, seconds(2), milliseconds(10), 1000);
  // One call in fifty never ends; the hedged request goes to the other endpoint.
  int call_count = 0;
  simulation.behaviour = [&](std::uint32_t dependency, auto, auto) {
    return dependency == 0 && ++call_count % 50 == 0 ? Reply{.never = true} : Reply{};
  };
  const auto ids = send_requests(simulation, seconds(10), milliseconds(10), 5000);
  simulation.run_for(seconds(1));
  EXPECT_GT(simulation.scatter_gather.counters().hedges, 0u);
  EXPECT_GT(complete_fraction(simulation, ids), 0.99);
  expect_no_violations(simulation);
}

TEST(ScatterGather, RetryAfterIsRespected) {
  auto spec = two_dependencies();
  spec.dependencies[0].endpoints.resize(1);
  DependencySimulation simulation(spec, 1);
  send_requests(simulation, seconds(1), milliseconds(10), 1000);
  simulation.behaviour = [](std::uint32_t dependency, auto, auto) {
    return dependency ? Reply{}
                      : Reply{.outcome = CallOutcome::overloaded,
                              .after = milliseconds(1),
                              .retry_after = Duration(seconds(2))};
  };
  simulation.start_request(5000);
  simulation.run_for(milliseconds(50));
  const auto calls = simulation.call_starts[0].size();
  send_requests(simulation, milliseconds(1800), milliseconds(10), 6000);
  EXPECT_EQ(simulation.call_starts[0].size(), calls);
  simulation.behaviour = [](auto, auto, auto) { return Reply{}; };
  simulation.run_for(seconds(1));
  const auto after = send_requests(simulation, seconds(1), milliseconds(10), 9000);
  simulation.run_for(seconds(1));
  EXPECT_GT(complete_fraction(simulation, after), 0.98);
  expect_no_violations(simulation);
}

}  // namespace
}  // namespace granitegap::deps
