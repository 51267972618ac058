// The decisions of src/deps, one hard case a test. Each fails without the guard that it names.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

#include "standin/dependency_simulation.h"

namespace granitegap::deps {
namespace {

using S = PartStatus;
using Reply = World::Reply;

std::vector<S> parts_of(World& w, RequestId id) {
  EXPECT_TRUE(w.outcomes.count(id));
  return w.outcomes[id].parts;
}
void expect_sound(World& w) {
  EXPECT_EQ(w.unanswered(), 0u);
  EXPECT_TRUE(w.broken.empty()) << *w.broken.begin();
}
// Requests for keys of their own, one every `every`, for so long.
std::vector<RequestId> flow(World& w, Duration how_long, Duration every, std::uint64_t first_key) {
  std::vector<RequestId> ids;
  for (const auto until = w.now + how_long; w.now < until; w.run_for(every))
    ids.push_back(w.ask(first_key++));
  return ids;
}
double share_whole(World& w, const std::vector<RequestId>& ids) {
  const auto whole = std::count_if(ids.begin(), ids.end(), [&](RequestId id) {
    const auto& parts = w.outcomes[id].parts;
    return !parts.empty() && std::all_of(parts.begin(), parts.end(), [](S s) { return s == S::fresh; });
  });
  return double(whole) / double(std::max<std::size_t>(ids.size(), 1));
}

TEST(ScatterGather, TakesBothPartsAtOnce) {
  World w(two_dependencies(), 1);
  const auto id = w.ask(7);
  EXPECT_EQ(w.open_calls(), 2u);
  w.run_for(milliseconds(20));
  EXPECT_EQ(parts_of(w, id), (std::vector{S::fresh, S::fresh}));
  EXPECT_EQ(w.outcomes[id].bodies[0], "data of /e/0000000000000007");
  expect_sound(w);
}

TEST(ScatterGather, PartThatNeedsAnotherWaitsForItsValue) {
  auto spec = two_dependencies();
  spec.gathers[0].parts[1].needs = 0;
  spec.gathers[0].parts[1].path = "/n?of={needed}";
  World w(spec, 1);
  const auto id = w.ask(7);
  EXPECT_EQ(w.open_calls(), 1u);
  w.run_for(milliseconds(30));
  EXPECT_EQ(parts_of(w, id), (std::vector{S::fresh, S::fresh}));
  EXPECT_EQ(w.paths.back(), "/n?of=data%20of%20%2Fe%2F0000000000000007");
  // The first of a chain leaves time for the second: with it hanging, the budget is not all gone.
  w.behaviour = [](auto, auto, auto) { return Reply{.never = true}; };
  const auto second = w.ask(8);
  w.run_for(milliseconds(250));
  EXPECT_EQ(parts_of(w, second), (std::vector{S::absent, S::absent}));
  expect_sound(w);
}

TEST(ScatterGather, RequiredPartThatFailsEndsItAtOnce) {
  auto spec = two_dependencies();
  spec.gathers[0].parts[0].required = true;
  World w(spec, 1);
  w.behaviour = [](std::uint32_t d, auto, auto) {
    return d == 0 ? Reply{.fate = CallFate::error} : Reply{.never = true};
  };
  const auto id = w.ask(7);
  w.run_for(milliseconds(11));
  ASSERT_TRUE(w.outcomes.count(id));
  EXPECT_FALSE(w.outcomes[id].required_parts_present);
  EXPECT_EQ(w.open_calls(), 0u);  // the other part's call is closed
  expect_sound(w);
}

TEST(ScatterGather, FallsBackFromFreshToStaleToDefaultToAbsent) {
  auto spec = two_dependencies();
  auto& elevation = spec.gathers[0].parts[0];
  elevation.fresh_for = seconds(1);
  elevation.stale_for = seconds(10);
  spec.gathers[0].parts[1].fallback = "no names";
  World w(spec, 1);
  w.ask(7);
  w.run_for(milliseconds(20));
  w.behaviour = [](auto, auto, auto) { return Reply{.fate = CallFate::error}; };
  const auto fresh = w.ask(7);
  w.run_for(seconds(2));
  const auto stale = w.ask(7);
  w.run_for(seconds(9));
  const auto absent = w.ask(7);
  w.run_for(seconds(1));
  EXPECT_EQ(parts_of(w, fresh), (std::vector{S::fresh, S::fallback}));
  EXPECT_EQ(w.outcomes[fresh].bodies[1], "no names");
  EXPECT_EQ(parts_of(w, stale), (std::vector{S::stale, S::fallback}));
  EXPECT_EQ(parts_of(w, absent), (std::vector{S::absent, S::fallback}));
  expect_sound(w);
}

TEST(ScatterGather, WithoutCallsTakesWhatIsKept) {
  auto spec = two_dependencies();
  spec.gathers[0].parts[0].stale_for = seconds(10);
  World w(spec, 1);
  w.ask(7);
  w.run_for(milliseconds(20));
  const auto calls = w.gatherer.totals().calls;
  const auto id = w.ask(7, milliseconds(400), ClassId{0}, false);
  EXPECT_EQ(parts_of(w, id), (std::vector{S::stale, S::absent}));
  EXPECT_EQ(w.gatherer.totals().calls, calls);
}

TEST(ScatterGather, IdenticalCallsInFlightAreShared) {
  World w(two_dependencies(), 1);
  const auto a = w.ask(7), b = w.ask(7);
  EXPECT_EQ(w.open_calls(), 2u);
  w.drop(a);  // the other still waits for them
  EXPECT_EQ(w.open_calls(), 2u);
  w.run_for(milliseconds(20));
  EXPECT_EQ(parts_of(w, b), (std::vector{S::fresh, S::fresh}));
  expect_sound(w);
}

TEST(ScatterGather, CallersThatLeaveCloseTheirCalls) {
  World w(two_dependencies(), 1);
  w.behaviour = [](auto, auto, auto) { return Reply{.never = true}; };
  const auto a = w.ask(7), b = w.ask(8);
  EXPECT_EQ(w.open_calls(), 4u);
  w.drop(a);
  EXPECT_EQ(w.open_calls(), 2u);
  w.drop(b);
  EXPECT_EQ(w.open_calls(), 0u);
  EXPECT_EQ(w.gatherer.open_flights(), 0u);
  EXPECT_EQ(w.gatherer.open_gathers(), 0u);
  EXPECT_FALSE(w.gatherer.next_timer());
}

TEST(ScatterGather, PartThatComesJustAfterItsBudgetChangesNothing) {
  World w(two_dependencies(), 1);
  w.behaviour = [](auto, auto, auto) { return Reply{.after = milliseconds(401)}; };
  const auto id = w.ask(7);
  w.run_for(seconds(1));
  EXPECT_EQ(parts_of(w, id), (std::vector{S::absent, S::absent}));
  EXPECT_EQ(w.outcomes[id].required_parts_present, true);
  EXPECT_EQ(w.gatherer.totals().late, 2u);
  expect_sound(w);
}

TEST(ScatterGather, ClockThatStandsStillEndsNothingAndLosesNothing) {
  World w(two_dependencies(), 1);
  std::vector<RequestId> ids;
  for (std::uint64_t key = 0; key < 300; ++key) ids.push_back(w.ask(key));
  for (int i = 0; i < 100; ++i) w.gatherer.tick(w.now);
  EXPECT_TRUE(w.gatherer.actions().empty());
  w.run_for(seconds(1));
  expect_sound(w);
}

TEST(ScatterGather, HangingDependencyIsSoonGoneWithout) {
  World w(two_dependencies(), 1);
  flow(w, seconds(3), milliseconds(10), 1000);
  const auto hang_from = w.now;
  w.behaviour = [](std::uint32_t d, auto, auto) { return d == 0 ? Reply{.never = true} : Reply{}; };
  flow(w, seconds(2), milliseconds(10), 5000);
  ASSERT_EQ(w.changes.size(), 1u);
  EXPECT_EQ(w.changes[0], std::pair(0u, true));
  // Once it is out nobody waits: every answer comes with the other dependency's.
  const auto later = flow(w, seconds(2), milliseconds(10), 9000);
  w.run_for(seconds(1));
  for (const auto id : later) EXPECT_EQ(parts_of(w, id), (std::vector{S::absent, S::fresh}));
  // And the calls to it are few: those before it was out, and the probes.
  const auto& starts = w.starts[0];
  const auto during = std::count_if(starts.begin(), starts.end(), [&](auto t) { return t >= hang_from; });
  EXPECT_LT(during, 40);
  EXPECT_LE(double(w.gatherer.totals().calls), 1.1 * double(w.gatherer.totals().asked));
  expect_sound(w);
}

TEST(ScatterGather, HangIsNoticedWhereEveryBudgetEndsBeforeATimeout) {
  auto spec = two_dependencies();
  spec.dependencies[0].min_timeout = milliseconds(500);
  spec.gathers[0].parts[0].within = milliseconds(60);
  World w(spec, 1);
  flow(w, seconds(1), milliseconds(10), 1000);
  w.behaviour = [](std::uint32_t d, auto, auto) { return d == 0 ? Reply{.never = true} : Reply{}; };
  flow(w, seconds(1), milliseconds(10), 5000);
  EXPECT_TRUE(w.gatherer.out(0));
  w.run_for(seconds(2));
  expect_sound(w);
}

TEST(ScatterGather, SlowDependencyTakesNeitherSlotsNorTime) {
  auto spec = two_dependencies();
  spec.dependencies[0].max_open = 32;
  World w(spec, 3);
  flow(w, seconds(3), milliseconds(5), 1000);
  w.behaviour = [](std::uint32_t d, auto, auto) {
    return Reply{.after = d == 0 ? milliseconds(100) : milliseconds(10)};
  };
  const auto slow = flow(w, seconds(3), milliseconds(5), 5000);
  EXPECT_LT(w.gatherer.limit(0), 16u);
  w.run_for(seconds(1));
  const auto names_there = std::count_if(slow.begin(), slow.end(), [&](RequestId id) {
    return w.outcomes.count(id) && w.outcomes[id].parts[1] == S::fresh;
  });
  EXPECT_GT(double(names_there), 0.9 * double(slow.size()));
  expect_sound(w);
}

TEST(ScatterGather, TwoDependenciesFailingAtOnceAreBothGoneWithout) {
  World w(two_dependencies(), 1);
  flow(w, seconds(2), milliseconds(10), 1000);
  w.behaviour = [](std::uint32_t d, auto, auto) {
    return d == 0 ? Reply{.never = true} : Reply{.fate = CallFate::unreachable, .after = milliseconds(1)};
  };
  flow(w, seconds(1), milliseconds(10), 5000);
  const auto asked = w.now;
  const auto id = w.ask(99999);
  EXPECT_EQ(parts_of(w, id), (std::vector{S::absent, S::absent}));
  EXPECT_EQ(w.now, asked);  // answered without any wait
  w.run_for(seconds(1));
  expect_sound(w);
}

TEST(ScatterGather, RecoveryAfterALongOutageIsNoStampede) {
  auto spec = two_dependencies();
  spec.dependencies[0].min_open = 16;  // whatever the failures cut it to, it is begun anew from one
  World w(spec, 1);
  flow(w, seconds(2), milliseconds(5), 1000);
  w.behaviour = [](auto, auto, auto) { return Reply{.never = true}; };
  flow(w, seconds(60), milliseconds(20), 50000);
  const auto back_at = w.now;
  w.behaviour = [](auto, auto, auto) { return Reply{.after = milliseconds(10)}; };
  std::uint32_t max_at_first = 0;
  std::uint64_t key = 200000;
  std::optional<TimePoint> heard;
  for (; w.now < back_at + seconds(3); w.run_for(milliseconds(5))) {
    for (int burst = 0; burst < 3; ++burst) w.ask(key++);
    const bool out = w.gatherer.out(0);
    if (!out && !heard) {
      heard = w.now;
      max_at_first = w.gatherer.open_calls(0);
      EXPECT_LE(w.gatherer.limit(0), 2u);
    }
    EXPECT_LE(w.gatherer.open_calls(0), std::max(w.gatherer.limit(0), 3u));
  }
  ASSERT_TRUE(heard);
  EXPECT_LE(*heard - back_at, seconds(2));
  EXPECT_LE(max_at_first, 3u);  // from one, not from where it stood
  const auto after = flow(w, seconds(1), milliseconds(5), 900000);
  w.run_for(seconds(1));
  EXPECT_GE(share_whole(w, after), 0.98);
  expect_sound(w);
}

TEST(ScatterGather, RetriesArePaidForBySuccesses) {
  World w(two_dependencies(), 1);
  // From the first moment on nothing succeeds: nothing is ever attempts_made again.
  w.behaviour = [](auto, auto, auto) { return Reply{.fate = CallFate::cut_off, .after = milliseconds(1)}; };
  flow(w, seconds(5), milliseconds(5), 1000);
  EXPECT_EQ(w.gatherer.totals().retries, 0u);
  EXPECT_EQ(w.gatherer.totals().hedges, 0u);
  w.run_for(seconds(1));
  expect_sound(w);
}

TEST(ScatterGather, SomeFailuresAreHealedByRetriesWithinTheBudget) {
  World w(two_dependencies(), 1);
  w.behaviour = [&](auto, auto, auto) {
    return w.roll() < 0.05 ? Reply{.fate = CallFate::error, .after = milliseconds(2)} : Reply{};
  };
  const auto ids = flow(w, seconds(20), milliseconds(10), 1000);
  w.run_for(seconds(1));
  EXPECT_GT(share_whole(w, ids), 0.97);  // 0.90 without
  const auto& t = w.gatherer.totals();
  EXPECT_GT(t.retries, 0u);
  EXPECT_LE(double(t.retries + t.hedges), 0.1 * double(t.asked) + 1);
  expect_sound(w);
}

TEST(ScatterGather, HedgeBeatsAHangingEndpoint) {
  World w(two_dependencies(), 1);
  flow(w, seconds(2), milliseconds(10), 1000);
  // One call in fifty never ends; the second try goes to the other endpoint.
  int n = 0;
  w.behaviour = [&](std::uint32_t d, auto, auto) {
    return d == 0 && ++n % 50 == 0 ? Reply{.never = true} : Reply{};
  };
  const auto ids = flow(w, seconds(10), milliseconds(10), 5000);
  w.run_for(seconds(1));
  EXPECT_GT(w.gatherer.totals().hedges, 0u);
  EXPECT_GT(share_whole(w, ids), 0.99);
  expect_sound(w);
}

TEST(ScatterGather, RetryAfterIsHeeded) {
  auto spec = two_dependencies();
  spec.dependencies[0].endpoints.resize(1);
  World w(spec, 1);
  flow(w, seconds(1), milliseconds(10), 1000);
  w.behaviour = [](std::uint32_t d, auto, auto) {
    return d ? Reply{}
             : Reply{.fate = CallFate::busy, .after = milliseconds(1), .retry_after = Duration(seconds(2))};
  };
  w.ask(5000);
  w.run_for(milliseconds(50));
  const auto calls = w.starts[0].size();
  const auto held = flow(w, milliseconds(1800), milliseconds(10), 6000);
  EXPECT_EQ(w.starts[0].size(), calls);
  w.behaviour = [](auto, auto, auto) { return Reply{}; };
  w.run_for(seconds(1));
  const auto after = flow(w, seconds(1), milliseconds(10), 9000);
  w.run_for(seconds(1));
  EXPECT_GT(share_whole(w, after), 0.98);
  expect_sound(w);
}

TEST(ScatterGather, FailureOfAKeyIsRememberedBriefly) {
  World w(two_dependencies(), 1);
  w.behaviour = [](auto, auto, auto) { return Reply{.fate = CallFate::no_data, .after = milliseconds(5)}; };
  w.ask(7);
  w.run_for(milliseconds(10));
  const auto calls = w.gatherer.totals().calls;
  w.ask(7);
  EXPECT_EQ(w.gatherer.totals().calls, calls);
  w.run_for(milliseconds(500));
  w.ask(7);
  EXPECT_EQ(w.gatherer.totals().calls, calls + 2);
  w.run_for(seconds(1));
  EXPECT_TRUE(w.changes.empty());  // saying that there is none is no fault
  expect_sound(w);
}

TEST(ScatterGather, QueueIsBoundedAndItsWaitersLeaveWithTheirBudget) {
  auto spec = two_dependencies();
  spec.dependencies[0].max_open = 4;
  spec.dependencies[0].max_waiting = 10;
  World w(spec, 1);
  w.behaviour = [](std::uint32_t d, auto, auto) { return d == 0 ? Reply{.never = true} : Reply{}; };
  std::vector<RequestId> ids;
  for (std::uint64_t key = 0; key < 40; ++key) ids.push_back(w.ask(key));
  EXPECT_EQ(w.gatherer.open_calls(0), 4u);
  EXPECT_EQ(w.gatherer.totals().shed, 26u);
  w.run_for(milliseconds(400));
  for (const auto id : ids) EXPECT_EQ(parts_of(w, id), (std::vector{S::absent, S::fresh}));
  expect_sound(w);
}

// A fleet's limit is shared over the members that are there; in doubt all that were agreed on count, and
// before there is a view one call at a time is all.
TEST(ScatterGather, AFleetsLimitIsSharedOverTheLive) {
  auto spec = two_dependencies();
  spec.gathers[0].parts.resize(1);
  spec.dependencies[0].fleet_open = 24;
  World w(spec, 1);
  EXPECT_EQ(w.gatherer.limit(0), 1u);
  const auto view = [&](int alive, int dead, bool majority) {
    auto v = std::make_shared<membership::View>();
    for (int k = 0; k < alive + dead; ++k) {
      auto& p = v->peers.emplace_back();
      p.hash = std::uint64_t(k + 1);
      p.status = p.certain_status = k < alive ? membership::Status::alive : membership::Status::dead;
    }
    v->fleet_size = std::size_t(1 + alive + dead);
    v->has_quorum = majority;
    w.gatherer.fleet(v, w.now);
  };
  view(3, 0, true);
  EXPECT_EQ(w.gatherer.limit(0), 6u);
  view(7, 4, true);
  EXPECT_EQ(w.gatherer.limit(0), 3u);
  view(3, 8, false);
  EXPECT_EQ(w.gatherer.limit(0), 2u);
  view(47, 0, true);
  EXPECT_EQ(w.gatherer.limit(0), 1u);
  for (std::uint64_t k = 0; k < 5; ++k) w.ask(k);
  EXPECT_EQ(w.open_calls(), 1u);
  view(5, 0, true);  // room again: those that waited go on
  EXPECT_EQ(w.gatherer.limit(0), 4u);
  EXPECT_EQ(w.gatherer.open_calls(0), 4u);
}

TEST(ScatterGather, NobodyWaitsForASlotThatCannotBeFreeInTime) {
  auto spec = two_dependencies();
  spec.dependencies[0].min_open = spec.dependencies[0].max_open = 2;
  spec.dependencies[0].hedge_after = 0;
  World w(spec, 1);
  w.behaviour = [](std::uint32_t d, auto, auto) { return Reply{.after = milliseconds(d == 0 ? 110 : 1)}; };
  flow(w, seconds(2), milliseconds(100), 1000);
  w.run_for(seconds(1));
  const auto asked = w.now;
  std::vector<RequestId> ids;
  for (std::uint64_t key = 5000; key < 5020; ++key) ids.push_back(w.ask(key));
  w.run_for(milliseconds(10));
  // Two are called and four can still be in time; the others are over already, without their part.
  EXPECT_EQ(std::count_if(ids.begin(), ids.end(), [&](auto id) { return w.outcomes.count(id); }), 14);
  EXPECT_EQ(w.now - asked, milliseconds(10));
  w.run_for(seconds(1));
  expect_sound(w);
}

TEST(ScatterGather, NewDeclarationDropsNoCallInFlight) {
  World w(two_dependencies(), 1);
  const auto id = w.ask(7);
  auto changed = *w.spec();
  changed.dependencies[0].endpoints = {{"127.0.0.1", 9009}};
  std::swap(changed.dependencies[0], changed.dependencies[1]);
  changed.gathers[0].parts[0].dependency = 1;
  changed.gathers[0].parts[1].dependency = 0;
  w.gatherer.change(std::make_shared<Spec>(changed), w.now);
  EXPECT_EQ(w.open_calls(), 2u);
  w.run_for(milliseconds(20));
  EXPECT_EQ(parts_of(w, id), (std::vector{S::fresh, S::fresh}));
  std::set<unsigned> ports;
  w.behaviour = [&](std::uint32_t d, std::uint32_t e, auto) {
    if (d == 0) ports.insert(w.gatherer.address(d, e).port);
    return Reply{};
  };
  flow(w, seconds(1), milliseconds(10), 1000);
  EXPECT_EQ(ports, (std::set<unsigned>{9009}));
  w.run_for(seconds(1));
  expect_sound(w);
}

TEST(ScatterGather, SameSeedSameDecisions) {
  const auto play = [] {
    World w(two_dependencies(), 42);
    w.behaviour = [&](auto, auto, auto) {
      const double r = w.roll();
      return Reply{.fate = r < 0.2 ? CallFate::error : CallFate::ok,
                   .after = Duration(std::int64_t(r * 50000))};
    };
    flow(w, seconds(5), milliseconds(3), 1);
    w.run_for(seconds(1));
    return w.starts;
  };
  EXPECT_EQ(play(), play());
}

// Random schedules: whatever the dependencies do, each gather ends once and within its budget, open calls
// stay under the limits and attempts under 1 + the retry budget.
TEST(ScatterGather, HoldsItsBoundsOnRandomSchedules) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 chance(seed);
    const auto draw = [&](double most) { return std::uniform_real_distribution<double>(0, most)(chance); };
    auto spec = two_dependencies();
    for (auto& d : spec.dependencies) {
      d.max_open = 1 + std::uint32_t(draw(30));
      d.min_open = 1;
      d.max_waiting = std::uint32_t(draw(30));
      d.endpoints.resize(1 + std::size_t(draw(2)));
    }
    spec.gathers[0].parts[0].required = seed % 3 == 0;
    if (seed % 4 == 0) spec.gathers[0].parts[1].needs = 0;
    World w(spec, seed);
    double bad = 0, hang = 0, ms = 10;
    w.behaviour = [&](auto, auto, auto) {
      const double r = w.roll();
      if (r < hang) return Reply{.never = true};
      const auto after = Duration(1 + std::int64_t(w.roll() * ms * 2000));
      if (r < hang + bad)
        return Reply{
            .fate = CallFate(1 + int(w.roll() * 6)),
            .after = after,
            .retry_after = w.roll() < 0.2 ? std::optional<Duration>(milliseconds(300)) : std::nullopt};
      return Reply{.after = after};
    };
    std::vector<RequestId> open;
    for (int step = 0; step < 1500; ++step) {
      if (step % 100 == 0) {
        bad = draw(1) < 0.5 ? 0 : draw(1);
        hang = draw(1) < 0.7 ? 0 : draw(1);
        ms = draw(1) < 0.8 ? 10 : 200;
      }
      open.push_back(w.ask(std::uint64_t(draw(400)), Duration(std::int64_t(draw(400000)))));
      if (draw(1) < 0.05) {
        const auto victim = open[std::size_t(draw(double(open.size())))];
        if (!w.outcomes.count(victim)) w.drop(victim);
      }
      w.run_for(Duration(std::int64_t(draw(8000))));
    }
    w.run_for(seconds(2));
    SCOPED_TRACE("seed " + std::to_string(seed));
    expect_sound(w);
    const auto& t = w.gatherer.totals();
    EXPECT_LE(t.retries + t.hedges, std::uint64_t(0.1 * double(t.calls) + 1));
    EXPECT_EQ(w.gatherer.open_flights(), 0u);
    EXPECT_EQ(w.gatherer.open_calls(0) + w.gatherer.open_calls(1), 0u);
    EXPECT_EQ(w.open_calls(), 0u);
  }
}

// ---- The parts it is made of ----

TEST(LatencyWindow, QuantilesOfASlidingWindow) {
  LatencyWindow window;
  TimePoint now(seconds(100));
  for (int i = 1; i <= 1000; ++i) window.add(milliseconds(i), now);
  EXPECT_NEAR(double(window.quantile(0.5, now)->count()), 500e3, 500e3 * 0.07);
  EXPECT_NEAR(double(window.quantile(0.99, now)->count()), 990e3, 990e3 * 0.07);
  now += seconds(5);
  for (int i = 0; i < 10000; ++i) window.add(milliseconds(10), now);
  EXPECT_NEAR(double(window.quantile(0.5, now)->count()), 10e3, 10e3 * 0.07);
  now += seconds(6);  // the first thousand have left
  EXPECT_EQ(window.samples(now), 10000u);
  now += seconds(60);
  EXPECT_FALSE(window.quantile(0.5, now));
  window.add(Duration(0), now);
  window.add(std::chrono::hours(5), now - seconds(30));  // a clock that went back ages nothing
  EXPECT_EQ(window.samples(now), 2u);
}

TEST(Limit, FollowsLatencyDownAndUp) {
  ConcurrencyLimit limit(2, 64);
  for (int i = 0; i < 3000; ++i) limit.succeeded(milliseconds(10), limit.limit());
  const auto calm = limit.limit();
  EXPECT_GT(calm, 40u);
  for (int i = 0; i < 300; ++i) limit.succeeded(milliseconds(100), limit.limit());
  EXPECT_LT(limit.limit(), 12u);
  for (int i = 0; i < 3000; ++i) limit.succeeded(milliseconds(10), limit.limit());
  EXPECT_GT(limit.limit(), 40u);
  limit.restart();
  EXPECT_EQ(limit.limit(), 1u);
  limit.succeeded(milliseconds(10), 1);
  EXPECT_EQ(limit.limit(), 2u);
}

TEST(Budget, FadesAndIsBounded) {
  RetryBudget budget(0.1, 3);
  TimePoint now(seconds(1));
  EXPECT_FALSE(budget.take(now));
  for (int i = 0; i < 1000; ++i) budget.succeeded(now);
  EXPECT_DOUBLE_EQ(budget.saved(now), 3);
  EXPECT_TRUE(budget.take(now));
  EXPECT_NEAR(budget.saved(now + seconds(10)), 1, 1e-9);
  EXPECT_FALSE(budget.take(now + seconds(11)));
}

TEST(Endpoints, EjectsWithinAFloorAndLetsOneCallThrough) {
  DependencySpec spec;
  for (unsigned i = 0; i < 4; ++i) spec.endpoints.push_back({"127.0.0.1", std::uint16_t(9000 + i)});
  EndpointSet set(spec);
  TimePoint now(seconds(10));
  const auto fail = [&](EndpointSet::Index i, int times) {
    for (int k = 0; k < times; ++k) {
      set.started(i);
      set.failed(i, now);
    }
  };
  fail(0, 5);
  EXPECT_TRUE(set.ejected(0));
  fail(1, 5);
  fail(2, 50);
  fail(3, 50);
  EXPECT_EQ(set.count_out(), 2u);  // half is the floor
  for (int i = 0; i < 100; ++i) EXPECT_GE(*set.pick(now, i / 100.0, 0.3), 2u);
  // Its time over, one call goes to it and no second while that is open.
  now += milliseconds(500);
  const auto probe = set.pick(now, 0.9, 0.9);
  ASSERT_EQ(probe, 0u);
  set.started(0);
  const auto other = set.pick(now, 0.9, 0.9);
  ASSERT_EQ(other, 1u);
  set.started(1);
  for (int i = 0; i < 100; ++i) EXPECT_GE(*set.pick(now, i / 100.0, 0.3), 2u);
  // It fails: out again, twice as long. The other succeeds: back, at a small share at first.
  set.failed(0, now);
  set.succeeded(1, milliseconds(1), now);
  now += milliseconds(999);
  EXPECT_TRUE(set.ejected(0));
  int first_share = 0;
  for (int i = 0; i < 400; ++i) {
    const auto at = *set.pick(now - milliseconds(999), (i % 20) / 20.0, (i / 20) / 20.0);
    first_share += at == 1;
  }
  EXPECT_LT(first_share, 40);
  EXPECT_EQ(set.pick(now + milliseconds(1), 0.5, 0.5), 0u);
}

TEST(Endpoints, ChoosesTheQuickerAndLessBusyOfTwo) {
  DependencySpec spec;
  spec.endpoints = {{"127.0.0.1", 9000}, {"127.0.0.1", 9001}};
  EndpointSet set(spec);
  TimePoint now(seconds(10));
  for (const EndpointSet::Index i : {0u, 1u}) set.started(i);
  set.succeeded(0, milliseconds(100), now);
  set.succeeded(1, milliseconds(5), now);
  EXPECT_EQ(set.pick(now, 0.1, 0.1), 1u);
  for (int i = 0; i < 30; ++i) set.started(1);
  EXPECT_EQ(set.pick(now, 0.1, 0.1), 0u);
  EXPECT_EQ(set.pick(now, 0.1, 0.1, 0), 1u);  // not where the other try is
  set.hold(1, now + seconds(1));
  EXPECT_EQ(set.pick(now, 0.1, 0.1, 0), 0u);  // but rather there than nowhere
}

TEST(Cache, IsBoundedInBytesAndSurvivesAScan) {
  ResponseCache cache(200 * 1024);
  const TimePoint now(seconds(1));
  const auto body = std::make_shared<const std::string>(900, 'x');
  const auto key = [](std::uint64_t n) { return key_of(0, "/e/" + std::to_string(n), 5); };
  for (int round = 0; round < 20; ++round)
    for (std::uint64_t n = 0; n < 100; ++n)
      if (!cache.find(key(n), now)) cache.put(key(n), 0, "", body, now);
  for (std::uint64_t n = 1000; n < 11000; ++n) {  // each asked for once
    if (!cache.find(key(n), now)) cache.put(key(n), 0, "", body, now);
    ASSERT_LE(cache.bytes(), 200u * 1024);
  }
  int kept = 0;
  for (std::uint64_t n = 0; n < 100; ++n) kept += cache.find(key(n), now).has_value();
  EXPECT_GT(kept, 90);
  cache.resize(10 * 1024);
  EXPECT_LE(cache.bytes(), 10u * 1024);
  cache.put(key(1), 0, "", std::make_shared<const std::string>(100000, 'x'), now);  // larger than all of it
  EXPECT_LE(cache.bytes(), 10u * 1024);
}

TEST(Cache, AgreesWithAPlainMapOfWhatItKeeps) {
  ResponseCache cache(30 * 1024);
  std::map<std::uint64_t, std::string> model;
  std::mt19937_64 chance(9);
  const TimePoint now(seconds(1));
  for (int i = 0; i < 20000; ++i) {
    const auto n = chance() % 200;
    const auto key = key_of(1, std::to_string(n), 7);
    if (chance() % 2) {
      model[n] = std::string(chance() % 700, char('a' + chance() % 26));
      cache.put(key, 1, std::to_string(n), std::make_shared<const std::string>(model[n]), now);
    } else if (const auto found = cache.find(key, now)) {
      ASSERT_EQ(*found->body, model[n]);
    }
    ASSERT_LE(cache.bytes(), 30u * 1024);
  }
}

TEST(Cache, TellsWhatIsAskedForMost) {
  ResponseCache cache(200 * 1024);
  const TimePoint now(seconds(1));
  const auto body = std::make_shared<const std::string>(900, 'x');
  const auto path = [](std::uint64_t n) { return "/e/" + std::to_string(n); };
  for (std::uint64_t n = 0; n < 20; ++n) cache.put(key_of(0, path(n), 5), 0, path(n), body, now);
  for (int round = 0; round < 5; ++round)
    for (const std::uint64_t n : {3u, 11u, 17u}) cache.find(key_of(0, path(n), 5), now);
  const auto hot = cache.hottest(100);
  ASSERT_EQ(hot.size(), 20u);
  std::set<std::string> first;
  for (int k = 0; k < 3; ++k) first.insert(*hot[std::size_t(k)].path);
  EXPECT_EQ(first, (std::set{path(3), path(11), path(17)}));
  EXPECT_EQ(cache.hottest(2).size(), 2u);
}

// What one life kept the next one has, as old as it is: fresh as long as it is fresh, stale after that.
TEST(ScatterGather, ANextLifeHasWhatWasKeptAtItsAge) {
  auto spec = two_dependencies();
  for (auto& p : spec.gathers[0].parts) p.fresh_for = seconds(10), p.stale_for = seconds(60);
  World before(spec, 1);
  before.ask(7);
  before.run_for(seconds(4));
  before.ask(8);
  before.run_for(seconds(1));
  warm_state::WarmState what;
  before.gatherer.export_to(what, before.now);
  ASSERT_EQ(what.cached_responses.size(), 4u);

  World after(spec, 2);  // another seed: other keys
  EXPECT_EQ(after.gatherer.learn(warm_state::age_by(what, seconds(2)), after.now).parts, 4u);
  const auto fresh = after.ask(7);
  EXPECT_EQ(parts_of(after, fresh), (std::vector{S::fresh, S::fresh}));
  EXPECT_EQ(after.outcomes[fresh].bodies[0], "data of /e/0000000000000007");
  EXPECT_TRUE(after.starts.empty());  // asked of nobody
  // Seven seconds old when it was learned: four later it is fresh no more, and a call is due.
  after.run_for(seconds(4));
  after.behaviour = [](auto, auto, auto) { return World::Reply{.never = true}; };
  const auto stale = after.ask(7);
  after.run_for(seconds(1));
  EXPECT_EQ(parts_of(after, stale), (std::vector{S::stale, S::stale}));
  EXPECT_FALSE(after.starts.empty());
  // What it heard itself is not overruled by what is older.
  EXPECT_EQ(after.gatherer.learn(what, after.now - seconds(30)).parts, 0u);
  // Past every declared age, and of no known age, nothing is taken over.
  World late(spec, 3);
  EXPECT_EQ(late.gatherer.learn(warm_state::age_by(what, seconds(61)), late.now).parts, 0u);
  EXPECT_EQ(late.gatherer.learn(warm_state::age_by(what, std::nullopt), late.now).parts, 0u);
  expect_sound(after);
}

TEST(Path, FillsInAndEncodes) {
  const auto parse = [](std::string_view text) { return PathTemplate::parse(text); };
  std::string out;
  EXPECT_TRUE(std::get<PathTemplate>(parse("/v1/{class}/{obj}?b={body}&n={needed}"))
                  .fill({255, "a b\r\n", "tile", "\x80"}, out));
  EXPECT_EQ(out, "/v1/tile/00000000000000ff?b=a%20b%0D%0A&n=%80");
  EXPECT_FALSE(std::get<PathTemplate>(parse("/{body}")).fill({0, std::string(5000, 'x'), "", ""}, out));
  for (const auto* bad : {"", "v1", "/{", "/{what}", "/a b", "/a}", "/a#b", "/\r\n"})
    EXPECT_TRUE(std::holds_alternative<PathTemplate::Bad>(parse(bad))) << bad;
}

}  // namespace
}  // namespace granitegap::deps
