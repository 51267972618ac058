// Tests ScatterGather under load: the concurrency limit, its queue, and invariants under random schedules.
#include <gtest/gtest.h>

#include <random>

#include "scatter_gather_fixture.h"

namespace granitegap::deps {
namespace {

using Reply = DependencySimulation::Reply;

TEST(ScatterGather, SlowDependencyDoesNotDelayTheOther) {
  auto spec = two_dependencies();
  spec.dependencies[0].max_in_flight = 32;
  DependencySimulation simulation(spec, 3);
  send_requests(simulation, seconds(3), milliseconds(5), 1000);
  simulation.behaviour = [](std::uint32_t dependency, auto, auto) {
    return Reply{.after = dependency == 0 ? milliseconds(100) : milliseconds(10)};
  };
  const auto slow = send_requests(simulation, seconds(3), milliseconds(5), 5000);
  EXPECT_LT(simulation.scatter_gather.concurrency_limit(0), 16u);
  simulation.run_for(seconds(1));
  const auto names_fresh = std::count_if(slow.begin(), slow.end(), [&](RequestId id) {
    return simulation.outcomes.count(id) && simulation.outcomes[id].parts[1] == PartStatus::fresh;
  });
  EXPECT_GT(double(names_fresh), 0.9 * double(slow.size()));
  expect_no_violations(simulation);
}

TEST(ScatterGather, QueueIsBoundedAndQueuedCallsEndWithTheirBudget) {
  auto spec = two_dependencies();
  spec.dependencies[0].max_in_flight = 4;
  spec.dependencies[0].max_queued = 10;
  DependencySimulation simulation(spec, 1);
  simulation.behaviour = [](std::uint32_t dependency, auto, auto) {
    return dependency == 0 ? Reply{.never = true} : Reply{};
  };
  std::vector<RequestId> ids;
  for (std::uint64_t obj = 0; obj < 40; ++obj) ids.push_back(simulation.start_request(obj));
  EXPECT_EQ(simulation.scatter_gather.in_flight(0), 4u);
  EXPECT_EQ(simulation.scatter_gather.counters().shed, 26u);
  simulation.run_for(milliseconds(400));
  for (const auto id : ids)
    EXPECT_EQ(part_statuses(simulation, id), (std::vector{PartStatus::absent, PartStatus::fresh}));
  expect_no_violations(simulation);
}

// Without a quorum all agreed members count, and without a view the limit is one.
TEST(ScatterGather, FleetLimitIsDividedAmongLiveMembers) {
  auto spec = two_dependencies();
  spec.gathers[0].parts.resize(1);
  spec.dependencies[0].fleet_max_in_flight = 24;
  DependencySimulation simulation(spec, 1);
  EXPECT_EQ(simulation.scatter_gather.concurrency_limit(0), 1u);
  const auto apply_view = [&](int alive, int dead, bool has_quorum) {
    auto view = std::make_shared<membership::View>();
    for (int i = 0; i < alive + dead; ++i) {
      auto& peer = view->peers.emplace_back();
      peer.hash = std::uint64_t(i) + 1;
      peer.status = peer.certain_status = i < alive ? membership::Status::alive : membership::Status::dead;
    }
    view->fleet_size = 1 + std::size_t(alive) + std::size_t(dead);
    view->has_quorum = has_quorum;
    simulation.scatter_gather.on_membership_view(view, simulation.now);
  };
  apply_view(3, 0, true);
  EXPECT_EQ(simulation.scatter_gather.concurrency_limit(0), 6u);
  apply_view(7, 4, true);
  EXPECT_EQ(simulation.scatter_gather.concurrency_limit(0), 3u);
  apply_view(3, 8, false);
  EXPECT_EQ(simulation.scatter_gather.concurrency_limit(0), 2u);
  apply_view(47, 0, true);
  EXPECT_EQ(simulation.scatter_gather.concurrency_limit(0), 1u);
  for (std::uint64_t obj = 0; obj < 5; ++obj) simulation.start_request(obj);
  EXPECT_EQ(simulation.open_calls(), 1u);
  apply_view(5, 0, true);  // queued calls start as the limit increases
  EXPECT_EQ(simulation.scatter_gather.concurrency_limit(0), 4u);
  EXPECT_EQ(simulation.scatter_gather.in_flight(0), 4u);
}

// Guards against a probe that exceeds the fleet-wide limit. That happened when a call that was started under
// a larger share was still in flight while the circuit breaker probed: the probe did not count against the
// share.
TEST(ScatterGather, ProbesStayWithinTheFleetLimit) {
  auto spec = two_dependencies();
  spec.gathers[0].parts.resize(1);
  auto& dependency = spec.dependencies[0];
  dependency.fleet_max_in_flight = 2;
  dependency.max_attempts = 1;
  dependency.hedge_quantile = 0;
  dependency.probe_interval = milliseconds(10);
  DependencySimulation simulation(spec, 1);
  const auto apply_view = [&](std::size_t others) {
    auto view = std::make_shared<membership::View>();
    view->peers.resize(others);
    view->fleet_size = 1 + others;
    simulation.scatter_gather.on_membership_view(view, simulation.now);
  };
  apply_view(0);
  bool hang_next = true;  // the first call hangs
  simulation.behaviour = [&](auto, auto, auto) {
    return Reply{
        .outcome = CallOutcome::error, .after = milliseconds(1), .never = std::exchange(hang_next, false)};
  };
  for (std::uint64_t obj = 0; obj < 20; ++obj) {
    simulation.start_request(obj);
    simulation.run_for(milliseconds(2));
  }
  ASSERT_TRUE(simulation.scatter_gather.is_circuit_open(0));
  ASSERT_EQ(simulation.scatter_gather.in_flight(0), 1u);  // the hanging call
  apply_view(1);
  ASSERT_EQ(simulation.scatter_gather.concurrency_limit(0), 1u);
  for (std::uint64_t obj = 100; obj < 110; ++obj) {
    simulation.run_for(milliseconds(10));
    simulation.start_request(obj);
    EXPECT_LE(simulation.scatter_gather.in_flight(0), 1u);
  }
  simulation.run_for(seconds(2));
  simulation.start_request(200);
  EXPECT_EQ(simulation.scatter_gather.in_flight(0), 1u);  // a probe, as the hanging call has ended
}

TEST(ScatterGather, CallIsShedWhenTheQueueCannotServeItInTime) {
  auto spec = two_dependencies();
  spec.dependencies[0].min_in_flight = spec.dependencies[0].max_in_flight = 2;
  spec.dependencies[0].hedge_quantile = 0;
  DependencySimulation simulation(spec, 1);
  simulation.behaviour = [](std::uint32_t dependency, auto, auto) {
    return Reply{.after = milliseconds(dependency == 0 ? 110 : 1)};
  };
  send_requests(simulation, seconds(2), milliseconds(100), 1000);
  simulation.run_for(seconds(1));
  const auto requested_at = simulation.now;
  std::vector<RequestId> ids;
  for (std::uint64_t obj = 5000; obj < 5020; ++obj) ids.push_back(simulation.start_request(obj));
  simulation.run_for(milliseconds(10));
  // Two requests are called and four more can be served in time. The other 14 have ended without the part.
  EXPECT_EQ(std::count_if(ids.begin(), ids.end(), [&](auto id) { return simulation.outcomes.count(id); }),
            14);
  EXPECT_EQ(simulation.now - requested_at, milliseconds(10));
  simulation.run_for(seconds(1));
  expect_no_violations(simulation);
}

// Under random behaviour of the dependencies each gather ends exactly once and within its budget, calls in
// flight stay within the limits, and attempts stay within 1 + the retry budget.
TEST(ScatterGather, KeepsItsInvariantsOnRandomSchedules) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&](double max) { return std::uniform_real_distribution<double>(0, max)(random); };
    auto spec = two_dependencies();
    for (auto& dependency : spec.dependencies) {
      dependency.max_in_flight = 1 + std::uint32_t(draw(30));
      dependency.min_in_flight = 1;
      dependency.max_queued = std::uint32_t(draw(30));
      dependency.endpoints.resize(1 + std::size_t(draw(2)));
    }
    spec.gathers[0].parts[0].required = seed % 3 == 0;
    if (seed % 4 == 0) spec.gathers[0].parts[1].depends_on = 0;
    DependencySimulation simulation(spec, seed);
    double failure_rate = 0, hang_rate = 0, mean_latency_ms = 10;
    simulation.behaviour = [&](auto, auto, auto) {
      const double outcome_draw = simulation.random_fraction();
      if (outcome_draw < hang_rate) return Reply{.never = true};
      const auto after = Duration(1 + std::int64_t(simulation.random_fraction() * mean_latency_ms * 2000));
      if (outcome_draw < hang_rate + failure_rate)
        return Reply{.outcome = CallOutcome(1 + int(simulation.random_fraction() * 6)),
                     .after = after,
                     .retry_after = simulation.random_fraction() < 0.2
                                        ? std::optional<Duration>(milliseconds(300))
                                        : std::nullopt};
      return Reply{.after = after};
    };
    std::vector<RequestId> ids;
    for (int step = 0; step < 1500; ++step) {
      if (step % 100 == 0) {
        failure_rate = draw(1) < 0.5 ? 0 : draw(1);
        hang_rate = draw(1) < 0.7 ? 0 : draw(1);
        mean_latency_ms = draw(1) < 0.8 ? 10 : 200;
      }
      ids.push_back(simulation.start_request(std::uint64_t(draw(400)), Duration(std::int64_t(draw(400000)))));
      if (draw(1) < 0.05) {
        const auto to_cancel = ids[std::size_t(draw(double(ids.size())))];
        if (!simulation.outcomes.count(to_cancel)) simulation.cancel_request(to_cancel);
      }
      simulation.run_for(Duration(std::int64_t(draw(8000))));
    }
    simulation.run_for(seconds(2));
    SCOPED_TRACE("seed " + std::to_string(seed));
    expect_no_violations(simulation);
    const auto& counters = simulation.scatter_gather.counters();
    EXPECT_LE(counters.retries + counters.hedges, std::uint64_t(0.1 * double(counters.calls) + 1));
    EXPECT_EQ(simulation.scatter_gather.active_calls(), 0u);
    EXPECT_EQ(simulation.scatter_gather.in_flight(0) + simulation.scatter_gather.in_flight(1), 0u);
    EXPECT_EQ(simulation.open_calls(), 0u);
  }
}

}  // namespace
}  // namespace granitegap::deps
