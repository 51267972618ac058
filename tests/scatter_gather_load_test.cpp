// ScatterGather under load: the concurrency limit, its queue, and invariants on random schedules.
#include <gtest/gtest.h>

#include <random>

#include "scatter_gather_fixture.h"

namespace granitegap::deps {
namespace {

using S = PartStatus;
using Reply = DependencySimulation::Reply;

TEST(ScatterGather, SlowDependencyDoesNotDelayTheOther) {
  auto spec = two_dependencies();
  spec.dependencies[0].max_in_flight = 32;
  DependencySimulation w(spec, 3);
  send_requests(w, seconds(3), milliseconds(5), 1000);
  w.behaviour = [](std::uint32_t d, auto, auto) {
    return Reply{.after = d == 0 ? milliseconds(100) : milliseconds(10)};
  };
  const auto slow = send_requests(w, seconds(3), milliseconds(5), 5000);
  EXPECT_LT(w.scatter_gather.concurrency_limit(0), 16u);
  w.run_for(seconds(1));
  const auto names_there = std::count_if(slow.begin(), slow.end(), [&](RequestId id) {
    return w.outcomes.count(id) && w.outcomes[id].parts[1] == S::fresh;
  });
  EXPECT_GT(double(names_there), 0.9 * double(slow.size()));
  expect_no_violations(w);
}

TEST(ScatterGather, QueueIsBoundedAndQueuedCallsEndWithTheirBudget) {
  auto spec = two_dependencies();
  spec.dependencies[0].max_in_flight = 4;
  spec.dependencies[0].max_queued = 10;
  DependencySimulation w(spec, 1);
  w.behaviour = [](std::uint32_t d, auto, auto) { return d == 0 ? Reply{.never = true} : Reply{}; };
  std::vector<RequestId> ids;
  for (std::uint64_t key = 0; key < 40; ++key) ids.push_back(w.start_request(key));
  EXPECT_EQ(w.scatter_gather.in_flight(0), 4u);
  EXPECT_EQ(w.scatter_gather.counters().shed, 26u);
  w.run_for(milliseconds(400));
  for (const auto id : ids) EXPECT_EQ(statuses_of(w, id), (std::vector{S::absent, S::fresh}));
  expect_no_violations(w);
}

// In doubt all agreed members count, and without a view the limit is one.
TEST(ScatterGather, FleetLimitIsDividedAmongLiveMembers) {
  auto spec = two_dependencies();
  spec.gathers[0].parts.resize(1);
  spec.dependencies[0].fleet_max_in_flight = 24;
  DependencySimulation w(spec, 1);
  EXPECT_EQ(w.scatter_gather.concurrency_limit(0), 1u);
  const auto view = [&](int alive, int dead, bool majority) {
    auto v = std::make_shared<membership::View>();
    for (int k = 0; k < alive + dead; ++k) {
      auto& p = v->peers.emplace_back();
      p.hash = std::uint64_t(k) + 1;
      p.status = p.certain_status = k < alive ? membership::Status::alive : membership::Status::dead;
    }
    v->fleet_size = 1 + std::size_t(alive) + std::size_t(dead);
    v->has_quorum = majority;
    w.scatter_gather.on_membership_view(v, w.now);
  };
  view(3, 0, true);
  EXPECT_EQ(w.scatter_gather.concurrency_limit(0), 6u);
  view(7, 4, true);
  EXPECT_EQ(w.scatter_gather.concurrency_limit(0), 3u);
  view(3, 8, false);
  EXPECT_EQ(w.scatter_gather.concurrency_limit(0), 2u);
  view(47, 0, true);
  EXPECT_EQ(w.scatter_gather.concurrency_limit(0), 1u);
  for (std::uint64_t k = 0; k < 5; ++k) w.start_request(k);
  EXPECT_EQ(w.open_calls(), 1u);
  view(5, 0, true);  // the limit grows: queued calls start
  EXPECT_EQ(w.scatter_gather.concurrency_limit(0), 4u);
  EXPECT_EQ(w.scatter_gather.in_flight(0), 4u);
}

// A call of a larger share is still open when the circuit breaker probes: the probe is a call like any other
// to the dependency. Before, it was made beside the share.
TEST(ScatterGather, ProbesStayWithinTheFleetLimit) {
  auto spec = two_dependencies();
  spec.gathers[0].parts.resize(1);
  auto& dependency = spec.dependencies[0];
  dependency.fleet_max_in_flight = 2;
  dependency.max_attempts = 1;
  dependency.hedge_quantile = 0;
  dependency.probe_interval = milliseconds(10);
  DependencySimulation w(spec, 1);
  const auto view = [&](std::size_t others) {
    auto v = std::make_shared<membership::View>();
    v->peers.resize(others);
    v->fleet_size = 1 + others;
    w.scatter_gather.on_membership_view(v, w.now);
  };
  view(0);
  bool hangs = true;
  w.behaviour = [&](auto, auto, auto) {
    return Reply{
        .outcome = CallOutcome::error, .after = milliseconds(1), .never = std::exchange(hangs, false)};
  };
  for (std::uint64_t key = 0; key < 20; ++key) {
    w.start_request(key);
    w.run_for(milliseconds(2));
  }
  ASSERT_TRUE(w.scatter_gather.is_circuit_open(0));
  ASSERT_EQ(w.scatter_gather.in_flight(0), 1u);  // the one that hangs
  view(1);
  ASSERT_EQ(w.scatter_gather.concurrency_limit(0), 1u);
  for (std::uint64_t key = 100; key < 110; ++key) {
    w.run_for(milliseconds(10));
    w.start_request(key);
    EXPECT_LE(w.scatter_gather.in_flight(0), 1u);
  }
  w.run_for(seconds(2));
  w.start_request(200);
  EXPECT_EQ(w.scatter_gather.in_flight(0), 1u);  // the hanging one is over: a probe
}

TEST(ScatterGather, CallIsShedWhenTheQueueCannotServeItInTime) {
  auto spec = two_dependencies();
  spec.dependencies[0].min_in_flight = spec.dependencies[0].max_in_flight = 2;
  spec.dependencies[0].hedge_quantile = 0;
  DependencySimulation w(spec, 1);
  w.behaviour = [](std::uint32_t d, auto, auto) { return Reply{.after = milliseconds(d == 0 ? 110 : 1)}; };
  send_requests(w, seconds(2), milliseconds(100), 1000);
  w.run_for(seconds(1));
  const auto asked = w.now;
  std::vector<RequestId> ids;
  for (std::uint64_t key = 5000; key < 5020; ++key) ids.push_back(w.start_request(key));
  w.run_for(milliseconds(10));
  // Two are called and four can still be served in time; the others have ended without the part.
  EXPECT_EQ(std::count_if(ids.begin(), ids.end(), [&](auto id) { return w.outcomes.count(id); }), 14);
  EXPECT_EQ(w.now - asked, milliseconds(10));
  w.run_for(seconds(1));
  expect_no_violations(w);
}

// Random schedules: whatever the dependencies do, each gather ends once and within its budget, open calls
// stay under the limits and attempts under 1 + the retry budget.
TEST(ScatterGather, KeepsItsInvariantsOnRandomSchedules) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 chance(seed);
    const auto draw = [&](double most) { return std::uniform_real_distribution<double>(0, most)(chance); };
    auto spec = two_dependencies();
    for (auto& d : spec.dependencies) {
      d.max_in_flight = 1 + std::uint32_t(draw(30));
      d.min_in_flight = 1;
      d.max_queued = std::uint32_t(draw(30));
      d.endpoints.resize(1 + std::size_t(draw(2)));
    }
    spec.gathers[0].parts[0].required = seed % 3 == 0;
    if (seed % 4 == 0) spec.gathers[0].parts[1].depends_on = 0;
    DependencySimulation w(spec, seed);
    double bad = 0, hang = 0, ms = 10;
    w.behaviour = [&](auto, auto, auto) {
      const double r = w.random_fraction();
      if (r < hang) return Reply{.never = true};
      const auto after = Duration(1 + std::int64_t(w.random_fraction() * ms * 2000));
      if (r < hang + bad)
        return Reply{.outcome = CallOutcome(1 + int(w.random_fraction() * 6)),
                     .after = after,
                     .retry_after = w.random_fraction() < 0.2 ? std::optional<Duration>(milliseconds(300))
                                                              : std::nullopt};
      return Reply{.after = after};
    };
    std::vector<RequestId> open;
    for (int step = 0; step < 1500; ++step) {
      if (step % 100 == 0) {
        bad = draw(1) < 0.5 ? 0 : draw(1);
        hang = draw(1) < 0.7 ? 0 : draw(1);
        ms = draw(1) < 0.8 ? 10 : 200;
      }
      open.push_back(w.start_request(std::uint64_t(draw(400)), Duration(std::int64_t(draw(400000)))));
      if (draw(1) < 0.05) {
        const auto victim = open[std::size_t(draw(double(open.size())))];
        if (!w.outcomes.count(victim)) w.cancel_request(victim);
      }
      w.run_for(Duration(std::int64_t(draw(8000))));
    }
    w.run_for(seconds(2));
    SCOPED_TRACE("seed " + std::to_string(seed));
    expect_no_violations(w);
    const auto& t = w.scatter_gather.counters();
    EXPECT_LE(t.retries + t.hedges, std::uint64_t(0.1 * double(t.calls) + 1));
    EXPECT_EQ(w.scatter_gather.active_calls(), 0u);
    EXPECT_EQ(w.scatter_gather.in_flight(0) + w.scatter_gather.in_flight(1), 0u);
    EXPECT_EQ(w.open_calls(), 0u);
  }
}

}  // namespace
}  // namespace granitegap::deps
