// ScatterGather: how the parts of a gather are fetched, cached, shared and settled.
#include <gtest/gtest.h>

#include "scatter_gather_fixture.h"

namespace granitegap::deps {
namespace {

using S = PartStatus;
using Reply = DependencySimulation::Reply;

TEST(ScatterGather, FetchesIndependentPartsInParallel) {
  DependencySimulation w(two_dependencies(), 1);
  const auto id = w.start_request(7);
  EXPECT_EQ(w.open_calls(), 2u);
  w.run_for(milliseconds(20));
  EXPECT_EQ(statuses_of(w, id), (std::vector{S::fresh, S::fresh}));
  EXPECT_EQ(w.outcomes[id].bodies[0], "data of /e/0000000000000007");
  expect_no_violations(w);
}

TEST(ScatterGather, DependentPartWaitsForTheValueItNeeds) {
  auto spec = two_dependencies();
  spec.gathers[0].parts[1].depends_on = 0;
  spec.gathers[0].parts[1].path = "/n?of={needed}";
  DependencySimulation w(spec, 1);
  const auto id = w.start_request(7);
  EXPECT_EQ(w.open_calls(), 1u);
  w.run_for(milliseconds(30));
  EXPECT_EQ(statuses_of(w, id), (std::vector{S::fresh, S::fresh}));
  EXPECT_EQ(w.paths.back(), "/n?of=data%20of%20%2Fe%2F0000000000000007");
  // The first part of a chain leaves time for the second: with it hanging, the budget is not used up.
  w.behaviour = [](auto, auto, auto) { return Reply{.never = true}; };
  const auto second = w.start_request(8);
  w.run_for(milliseconds(250));
  EXPECT_EQ(statuses_of(w, second), (std::vector{S::absent, S::absent}));
  expect_no_violations(w);
}

TEST(ScatterGather, FailedRequiredPartEndsTheGatherAtOnce) {
  auto spec = two_dependencies();
  spec.gathers[0].parts[0].required = true;
  DependencySimulation w(spec, 1);
  w.behaviour = [](std::uint32_t d, auto, auto) {
    return d == 0 ? Reply{.outcome = CallOutcome::error} : Reply{.never = true};
  };
  const auto id = w.start_request(7);
  w.run_for(milliseconds(11));
  ASSERT_TRUE(w.outcomes.count(id));
  EXPECT_FALSE(w.outcomes[id].required_parts_present);
  EXPECT_EQ(w.open_calls(), 0u);  // the other part's call is closed
  expect_no_violations(w);
}

TEST(ScatterGather, FallsBackFromFreshToStaleToDefaultToAbsent) {
  auto spec = two_dependencies();
  auto& elevation = spec.gathers[0].parts[0];
  elevation.max_fresh_age = seconds(1);
  elevation.max_stale_age = seconds(10);
  spec.gathers[0].parts[1].fallback = "no names";
  DependencySimulation w(spec, 1);
  w.start_request(7);
  w.run_for(milliseconds(20));
  w.behaviour = [](auto, auto, auto) { return Reply{.outcome = CallOutcome::error}; };
  const auto fresh = w.start_request(7);
  w.run_for(seconds(2));
  const auto stale = w.start_request(7);
  w.run_for(seconds(9));
  const auto absent = w.start_request(7);
  w.run_for(seconds(1));
  EXPECT_EQ(statuses_of(w, fresh), (std::vector{S::fresh, S::fallback}));
  EXPECT_EQ(w.outcomes[fresh].bodies[1], "no names");
  EXPECT_EQ(statuses_of(w, stale), (std::vector{S::stale, S::fallback}));
  EXPECT_EQ(statuses_of(w, absent), (std::vector{S::absent, S::fallback}));
  expect_no_violations(w);
}

TEST(ScatterGather, WithoutPermissionToCallServesFromTheCache) {
  auto spec = two_dependencies();
  spec.gathers[0].parts[0].max_stale_age = seconds(10);
  DependencySimulation w(spec, 1);
  w.start_request(7);
  w.run_for(milliseconds(20));
  const auto calls = w.scatter_gather.counters().calls;
  const auto id = w.start_request(7, milliseconds(400), ClassId{0}, false);
  EXPECT_EQ(statuses_of(w, id), (std::vector{S::stale, S::absent}));
  EXPECT_EQ(w.scatter_gather.counters().calls, calls);
}

TEST(ScatterGather, IdenticalCallsInFlightAreCoalesced) {
  DependencySimulation w(two_dependencies(), 1);
  const auto a = w.start_request(7), b = w.start_request(7);
  EXPECT_EQ(w.open_calls(), 2u);
  w.cancel_request(a);  // the other request still waits for them
  EXPECT_EQ(w.open_calls(), 2u);
  w.run_for(milliseconds(20));
  EXPECT_EQ(statuses_of(w, b), (std::vector{S::fresh, S::fresh}));
  expect_no_violations(w);
}

TEST(ScatterGather, CancelledRequestsCancelTheirCalls) {
  DependencySimulation w(two_dependencies(), 1);
  w.behaviour = [](auto, auto, auto) { return Reply{.never = true}; };
  const auto a = w.start_request(7), b = w.start_request(8);
  EXPECT_EQ(w.open_calls(), 4u);
  w.cancel_request(a);
  EXPECT_EQ(w.open_calls(), 2u);
  w.cancel_request(b);
  EXPECT_EQ(w.open_calls(), 0u);
  EXPECT_EQ(w.scatter_gather.active_calls(), 0u);
  EXPECT_EQ(w.scatter_gather.active_gathers(), 0u);
  EXPECT_FALSE(w.scatter_gather.next_timer());
}

TEST(ScatterGather, ResponseJustAfterTheBudgetChangesNothing) {
  DependencySimulation w(two_dependencies(), 1);
  w.behaviour = [](auto, auto, auto) { return Reply{.after = milliseconds(401)}; };
  const auto id = w.start_request(7);
  w.run_for(seconds(1));
  EXPECT_EQ(statuses_of(w, id), (std::vector{S::absent, S::absent}));
  EXPECT_EQ(w.outcomes[id].required_parts_present, true);
  EXPECT_EQ(w.scatter_gather.counters().late_completions, 2u);
  expect_no_violations(w);
}

TEST(ScatterGather, StoppedClockEndsNothingAndLosesNothing) {
  DependencySimulation w(two_dependencies(), 1);
  std::vector<RequestId> ids;
  for (std::uint64_t key = 0; key < 300; ++key) ids.push_back(w.start_request(key));
  for (int i = 0; i < 100; ++i) w.scatter_gather.tick(w.now);
  EXPECT_TRUE(w.scatter_gather.actions().empty());
  w.run_for(seconds(1));
  expect_no_violations(w);
}

TEST(ScatterGather, FailedPathIsNegativelyCachedForItsTtl) {
  DependencySimulation w(two_dependencies(), 1);
  w.behaviour = [](auto, auto, auto) {
    return Reply{.outcome = CallOutcome::not_found, .after = milliseconds(5)};
  };
  w.start_request(7);
  w.run_for(milliseconds(10));
  const auto calls = w.scatter_gather.counters().calls;
  w.start_request(7);
  EXPECT_EQ(w.scatter_gather.counters().calls, calls);
  w.run_for(milliseconds(500));
  w.start_request(7);
  EXPECT_EQ(w.scatter_gather.counters().calls, calls + 2);
  w.run_for(seconds(1));
  EXPECT_TRUE(w.circuit_changes.empty());  // "not found" is no failure of the dependency
  expect_no_violations(w);
}

TEST(ScatterGather, NewSpecKeepsCallsInFlight) {
  DependencySimulation w(two_dependencies(), 1);
  const auto id = w.start_request(7);
  auto changed = *w.spec();
  changed.dependencies[0].endpoints = {{"127.0.0.1", 9009}};
  std::swap(changed.dependencies[0], changed.dependencies[1]);
  changed.gathers[0].parts[0].dependency = 1;
  changed.gathers[0].parts[1].dependency = 0;
  w.scatter_gather.update_spec(std::make_shared<Spec>(changed), w.now);
  EXPECT_EQ(w.open_calls(), 2u);
  w.run_for(milliseconds(20));
  EXPECT_EQ(statuses_of(w, id), (std::vector{S::fresh, S::fresh}));
  std::set<unsigned> ports;
  w.behaviour = [&](std::uint32_t d, std::uint32_t e, auto) {
    if (d == 0) ports.insert(w.scatter_gather.address(d, e).port);
    return Reply{};
  };
  send_requests(w, seconds(1), milliseconds(10), 1000);
  EXPECT_EQ(ports, (std::set<unsigned>{9009}));
  w.run_for(seconds(1));
  expect_no_violations(w);
}

TEST(ScatterGather, SameSeedMakesTheSameDecisions) {
  const auto play = [] {
    DependencySimulation w(two_dependencies(), 42);
    w.behaviour = [&](auto, auto, auto) {
      const double r = w.random_fraction();
      return Reply{.outcome = r < 0.2 ? CallOutcome::error : CallOutcome::ok,
                   .after = Duration(std::int64_t(r * 50000))};
    };
    send_requests(w, seconds(5), milliseconds(3), 1);
    w.run_for(seconds(1));
    return w.call_starts;
  };
  EXPECT_EQ(play(), play());
}

// Cached responses of an earlier process are fresh, then stale, by the age that they had.
TEST(ScatterGather, RestoredResponsesKeepTheirAge) {
  auto spec = two_dependencies();
  for (auto& p : spec.gathers[0].parts) p.max_fresh_age = seconds(10), p.max_stale_age = seconds(60);
  DependencySimulation before(spec, 1);
  before.start_request(7);
  before.run_for(seconds(4));
  before.start_request(8);
  before.run_for(seconds(1));
  warm_state::WarmState what;
  before.scatter_gather.export_state(what, before.now);
  ASSERT_EQ(what.cached_responses.size(), 4u);

  DependencySimulation after(spec, 2);  // another seed: other cache keys
  EXPECT_EQ(after.scatter_gather.restore(warm_state::age_by(what, seconds(2)), after.now).responses, 4u);
  const auto fresh = after.start_request(7);
  EXPECT_EQ(statuses_of(after, fresh), (std::vector{S::fresh, S::fresh}));
  EXPECT_EQ(after.outcomes[fresh].bodies[0], "data of /e/0000000000000007");
  EXPECT_TRUE(after.call_starts.empty());  // served from the cache
  // Seven seconds old when it was restored: four seconds later it is stale, and a call is due.
  after.run_for(seconds(4));
  after.behaviour = [](auto, auto, auto) { return Reply{.never = true}; };
  const auto stale = after.start_request(7);
  after.run_for(seconds(1));
  EXPECT_EQ(statuses_of(after, stale), (std::vector{S::stale, S::stale}));
  EXPECT_FALSE(after.call_starts.empty());
  // A newer response of its own is not replaced by an older one.
  EXPECT_EQ(after.scatter_gather.restore(what, after.now - seconds(30)).responses, 0u);
  // Beyond every declared age, or with an unknown age, nothing is restored.
  DependencySimulation late(spec, 3);
  EXPECT_EQ(late.scatter_gather.restore(warm_state::age_by(what, seconds(61)), late.now).responses, 0u);
  EXPECT_EQ(late.scatter_gather.restore(warm_state::age_by(what, std::nullopt), late.now).responses, 0u);
  expect_no_violations(after);
}

}  // namespace
}  // namespace granitegap::deps
