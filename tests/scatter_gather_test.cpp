// Tests how ScatterGather fetches, caches, shares and settles the parts of a gather.
#include <gtest/gtest.h>

#include "scatter_gather_fixture.h"

namespace granitegap::deps {
namespace {

using Reply = DependencySimulation::Reply;

TEST(ScatterGather, FetchesIndependentPartsInParallel) {
  DependencySimulation simulation(two_dependencies(), 1);
  const auto id = simulation.start_request(7);
  EXPECT_EQ(simulation.open_calls(), 2u);
  simulation.run_for(milliseconds(20));
  EXPECT_EQ(part_statuses(simulation, id), (std::vector{PartStatus::fresh, PartStatus::fresh}));
  EXPECT_EQ(simulation.outcomes[id].bodies[0], "data of /e/0000000000000007");
  expect_no_violations(simulation);
}

TEST(ScatterGather, DependentPartWaitsForTheValueItNeeds) {
  auto spec = two_dependencies();
  spec.gathers[0].parts[1].depends_on = 0;
  spec.gathers[0].parts[1].path = "/n?of={needed}";
  DependencySimulation simulation(spec, 1);
  const auto id = simulation.start_request(7);
  EXPECT_EQ(simulation.open_calls(), 1u);
  simulation.run_for(milliseconds(30));
  EXPECT_EQ(part_statuses(simulation, id), (std::vector{PartStatus::fresh, PartStatus::fresh}));
  EXPECT_EQ(simulation.paths.back(), "/n?of=data%20of%20%2Fe%2F0000000000000007");
  // The first part of a chain gets only a share of the budget: when its call hangs, the gather ends before
  // the budget does.
  simulation.behaviour = [](auto, auto, auto) { return Reply{.never = true}; };
  const auto second = simulation.start_request(8);
  simulation.run_for(milliseconds(250));
  EXPECT_EQ(part_statuses(simulation, second), (std::vector{PartStatus::absent, PartStatus::absent}));
  expect_no_violations(simulation);
}

TEST(ScatterGather, FailedRequiredPartEndsTheGatherAtOnce) {
  auto spec = two_dependencies();
  spec.gathers[0].parts[0].required = true;
  DependencySimulation simulation(spec, 1);
  simulation.behaviour = [](std::uint32_t dependency, auto, auto) {
    return dependency == 0 ? Reply{.outcome = CallOutcome::error} : Reply{.never = true};
  };
  const auto id = simulation.start_request(7);
  simulation.run_for(milliseconds(11));
  ASSERT_TRUE(simulation.outcomes.count(id));
  EXPECT_FALSE(simulation.outcomes[id].required_parts_present);
  EXPECT_EQ(simulation.open_calls(), 0u);  // the call of the other part is cancelled
  expect_no_violations(simulation);
}

TEST(ScatterGather, FallsBackFromFreshToStaleToDefaultToAbsent) {
  auto spec = two_dependencies();
  auto& elevation = spec.gathers[0].parts[0];
  elevation.max_fresh_age = seconds(1);
  elevation.max_stale_age = seconds(10);
  spec.gathers[0].parts[1].fallback = "no names";
  DependencySimulation simulation(spec, 1);
  simulation.start_request(7);
  simulation.run_for(milliseconds(20));
  simulation.behaviour = [](auto, auto, auto) { return Reply{.outcome = CallOutcome::error}; };
  const auto fresh = simulation.start_request(7);
  simulation.run_for(seconds(2));
  const auto stale = simulation.start_request(7);
  simulation.run_for(seconds(9));
  const auto absent = simulation.start_request(7);
  simulation.run_for(seconds(1));
  EXPECT_EQ(part_statuses(simulation, fresh), (std::vector{PartStatus::fresh, PartStatus::fallback}));
  EXPECT_EQ(simulation.outcomes[fresh].bodies[1], "no names");
  EXPECT_EQ(part_statuses(simulation, stale), (std::vector{PartStatus::stale, PartStatus::fallback}));
  EXPECT_EQ(part_statuses(simulation, absent), (std::vector{PartStatus::absent, PartStatus::fallback}));
  expect_no_violations(simulation);
}

TEST(ScatterGather, WithoutPermissionToCallServesFromTheCache) {
  auto spec = two_dependencies();
  spec.gathers[0].parts[0].max_stale_age = seconds(10);
  DependencySimulation simulation(spec, 1);
  simulation.start_request(7);
  simulation.run_for(milliseconds(20));
  const auto calls = simulation.scatter_gather.counters().calls;
  const auto id = simulation.start_request(7, milliseconds(400), ClassId{0}, false);
  EXPECT_EQ(part_statuses(simulation, id), (std::vector{PartStatus::stale, PartStatus::absent}));
  EXPECT_EQ(simulation.scatter_gather.counters().calls, calls);
}

TEST(ScatterGather, IdenticalCallsInFlightAreCoalesced) {
  DependencySimulation simulation(two_dependencies(), 1);
  const auto cancelled = simulation.start_request(7), waiting = simulation.start_request(7);
  EXPECT_EQ(simulation.open_calls(), 2u);
  simulation.cancel_request(cancelled);  // the other request still waits for the calls
  EXPECT_EQ(simulation.open_calls(), 2u);
  simulation.run_for(milliseconds(20));
  EXPECT_EQ(part_statuses(simulation, waiting), (std::vector{PartStatus::fresh, PartStatus::fresh}));
  expect_no_violations(simulation);
}

TEST(ScatterGather, CancelledRequestsCancelTheirCalls) {
  DependencySimulation simulation(two_dependencies(), 1);
  simulation.behaviour = [](auto, auto, auto) { return Reply{.never = true}; };
  const auto first = simulation.start_request(7), second = simulation.start_request(8);
  EXPECT_EQ(simulation.open_calls(), 4u);
  simulation.cancel_request(first);
  EXPECT_EQ(simulation.open_calls(), 2u);
  simulation.cancel_request(second);
  EXPECT_EQ(simulation.open_calls(), 0u);
  EXPECT_EQ(simulation.scatter_gather.active_calls(), 0u);
  EXPECT_EQ(simulation.scatter_gather.active_gathers(), 0u);
  EXPECT_FALSE(simulation.scatter_gather.next_timer());
}

TEST(ScatterGather, ResponseAfterTheBudgetIsIgnored) {
  DependencySimulation simulation(two_dependencies(), 1);
  simulation.behaviour = [](auto, auto, auto) { return Reply{.after = milliseconds(401)}; };
  const auto id = simulation.start_request(7);
  simulation.run_for(seconds(1));
  EXPECT_EQ(part_statuses(simulation, id), (std::vector{PartStatus::absent, PartStatus::absent}));
  EXPECT_EQ(simulation.outcomes[id].required_parts_present, true);
  EXPECT_EQ(simulation.scatter_gather.counters().late_completions, 2u);
  expect_no_violations(simulation);
}

TEST(ScatterGather, TicksWithoutProgressOfTheClockCauseNoActions) {
  DependencySimulation simulation(two_dependencies(), 1);
  std::vector<RequestId> ids;
  for (std::uint64_t key = 0; key < 300; ++key) ids.push_back(simulation.start_request(key));
  for (int i = 0; i < 100; ++i) simulation.scatter_gather.tick(simulation.now);
  EXPECT_TRUE(simulation.scatter_gather.actions().empty());
  simulation.run_for(seconds(1));
  expect_no_violations(simulation);
}

TEST(ScatterGather, FailedPathIsNegativelyCachedForItsTtl) {
  DependencySimulation simulation(two_dependencies(), 1);
  simulation.behaviour = [](auto, auto, auto) {
    return Reply{.outcome = CallOutcome::not_found, .after = milliseconds(5)};
  };
  simulation.start_request(7);
  simulation.run_for(milliseconds(10));
  const auto calls = simulation.scatter_gather.counters().calls;
  simulation.start_request(7);
  EXPECT_EQ(simulation.scatter_gather.counters().calls, calls);
  simulation.run_for(milliseconds(500));
  simulation.start_request(7);
  EXPECT_EQ(simulation.scatter_gather.counters().calls, calls + 2);
  simulation.run_for(seconds(1));
  EXPECT_TRUE(simulation.circuit_changes.empty());  // `not_found` does not count as a failure
  expect_no_violations(simulation);
}

TEST(ScatterGather, NewSpecKeepsCallsInFlight) {
  DependencySimulation simulation(two_dependencies(), 1);
  const auto id = simulation.start_request(7);
  auto changed = *simulation.spec();
  changed.dependencies[0].endpoints = {{"127.0.0.1", 9009}};
  std::swap(changed.dependencies[0], changed.dependencies[1]);
  changed.gathers[0].parts[0].dependency = 1;
  changed.gathers[0].parts[1].dependency = 0;
  simulation.scatter_gather.update_spec(std::make_shared<Spec>(changed), simulation.now);
  EXPECT_EQ(simulation.open_calls(), 2u);
  simulation.run_for(milliseconds(20));
  EXPECT_EQ(part_statuses(simulation, id), (std::vector{PartStatus::fresh, PartStatus::fresh}));
  std::set<unsigned> ports;
  simulation.behaviour = [&](std::uint32_t dependency, std::uint32_t endpoint, auto) {
    if (dependency == 0) ports.insert(simulation.scatter_gather.address(dependency, endpoint).port);
    return Reply{};
  };
  send_requests(simulation, seconds(1), milliseconds(10), 1000);
  EXPECT_EQ(ports, (std::set<unsigned>{9009}));
  simulation.run_for(seconds(1));
  expect_no_violations(simulation);
}

TEST(ScatterGather, SameSeedMakesTheSameDecisions) {
  const auto run = [] {
    DependencySimulation simulation(two_dependencies(), 42);
    simulation.behaviour = [&](auto, auto, auto) {
      const double draw = simulation.random_fraction();
      return Reply{.outcome = draw < 0.2 ? CallOutcome::error : CallOutcome::ok,
                   .after = Duration(std::int64_t(draw * 50000))};
    };
    send_requests(simulation, seconds(5), milliseconds(3), 1);
    simulation.run_for(seconds(1));
    return simulation.call_starts;
  };
  EXPECT_EQ(run(), run());
}

// Cached responses restored from a previous process count as fresh, then as stale, according to their
// original age.
TEST(ScatterGather, RestoredResponsesKeepTheirAge) {
  auto spec = two_dependencies();
  for (auto& part : spec.gathers[0].parts) part.max_fresh_age = seconds(10), part.max_stale_age = seconds(60);
  DependencySimulation before(spec, 1);
  before.start_request(7);
  before.run_for(seconds(4));
  before.start_request(8);
  before.run_for(seconds(1));
  warm_state::WarmState state;
  before.scatter_gather.export_state(state, before.now);
  ASSERT_EQ(state.cached_responses.size(), 4u);

  DependencySimulation after(spec, 2);  // another seed, so that the cache keys differ
  EXPECT_EQ(after.scatter_gather.restore(warm_state::age_by(state, seconds(2)), after.now).responses, 4u);
  const auto fresh = after.start_request(7);
  EXPECT_EQ(part_statuses(after, fresh), (std::vector{PartStatus::fresh, PartStatus::fresh}));
  EXPECT_EQ(after.outcomes[fresh].bodies[0], "data of /e/0000000000000007");
  EXPECT_TRUE(after.call_starts.empty());  // served from the cache
  // The response is 7 s old when it is restored. 4 s later it is stale, and a call is made.
  after.run_for(seconds(4));
  after.behaviour = [](auto, auto, auto) { return Reply{.never = true}; };
  const auto stale = after.start_request(7);
  after.run_for(seconds(1));
  EXPECT_EQ(part_statuses(after, stale), (std::vector{PartStatus::stale, PartStatus::stale}));
  EXPECT_FALSE(after.call_starts.empty());
  // An older response does not replace a newer one in the cache.
  EXPECT_EQ(after.scatter_gather.restore(state, after.now - seconds(30)).responses, 0u);
  // A response beyond every declared age, or of unknown age, is not restored.
  DependencySimulation late(spec, 3);
  EXPECT_EQ(late.scatter_gather.restore(warm_state::age_by(state, seconds(61)), late.now).responses, 0u);
  EXPECT_EQ(late.scatter_gather.restore(warm_state::age_by(state, std::nullopt), late.now).responses, 0u);
  expect_no_violations(after);
}

}  // namespace
}  // namespace granitegap::deps
