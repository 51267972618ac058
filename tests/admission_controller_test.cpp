// The module on hand-written events.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <map>
#include <random>

#include "fake_host.h"

namespace granitegap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::tight_settings;

class Instance {
 public:
  explicit Instance(Settings s) : controller(std::move(s), 1, TimePoint{}) { note(controller.start()); }
  std::vector<Action> at(Duration when, std::vector<Event> events) {
    return note(controller.handle(TimePoint{} + when, events));
  }
  // Updates from one time to another, every 20 ms.
  void idle(Duration from, Duration to, double core_use) {
    for (auto t = from; t < to; t += milliseconds(20))
      at(t, {TimerFired{TimerToken{0}, core_use, {}, {}, {}}});
  }
  template <class A>
  static std::vector<A> only(const std::vector<Action>& actions) {
    std::vector<A> out;
    for (const auto& a : actions)
      if (const auto* x = std::get_if<A>(&a)) out.push_back(*x);
    return out;
  }
  AdmissionController controller;
  std::vector<Action> all;
  double credit = -1;

 private:
  std::vector<Action> note(std::vector<Action> actions) {
    for (const auto& c : only<AdvertiseCredit>(actions)) credit = c.credit;
    all.insert(all.end(), actions.begin(), actions.end());
    return actions;
  }
};

RequestArrived request(std::uint32_t id, std::uint32_t cls = 0, Duration waits = seconds(4)) {
  RequestArrived r;
  r.id = RequestId(id);
  r.class_id = ClassId(cls);
  r.caller = CallerId(id % 4);
  r.caller_timeout = waits;
  r.memory = MemorySize(10000);
  r.cost_hint = milliseconds(100);
  return r;
}
Settings roomy() {
  auto s = tight_settings();
  s.memory_kb = 1e6;
  s.call_quota = 50;
  s.overload_factor = 8;
  return s;
}
template <class A>
int count(const std::vector<Action>& actions) {
  return int(Instance::only<A>(actions).size());
}
RequestArrived repeat(std::uint32_t id, std::uint32_t of) {
  auto r = request(id, 1);
  r.duplicate_of = RequestId(of);
  return r;
}

TEST(Pool, StartsAtTheRunLimitAndOneACaller) {
  Instance i(roomy());
  EXPECT_DOUBLE_EQ(i.credit, 2 + 4);  // no caller seen yet: the whole pool
}
TEST(Pool, GrowsAtLeastOneACallerAnUpdateWhileCalm) {
  Instance i(roomy());
  for (std::uint32_t k = 0; k < 12; ++k) i.at(milliseconds(1), {request(k + 1)});
  i.at(milliseconds(20), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}});
  const double before = i.credit;
  i.at(milliseconds(40), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}});
  EXPECT_GE(i.credit, before + 0.9);
}
TEST(Pool, FallsWithTheOldestWaitAndKeepsItsFloor) {
  Instance i(roomy());
  for (std::uint32_t k = 0; k < 10; ++k) i.at(milliseconds(1), {request(k + 1)});
  i.idle(milliseconds(20), milliseconds(200), 1.0);
  const double calm = i.credit;
  i.idle(milliseconds(200), milliseconds(1300), 1.0);
  EXPECT_LT(i.credit, calm);
  EXPECT_GE(i.credit, 2.0 / 4);  // the run limit over four callers
}
TEST(Pool, OneDecreaseIsAtMostAHalf) {
  auto s = roomy();
  s.classes[0].deadline = s.classes[0].latency_objective = seconds(3000);
  s.advertised_value_ttl = seconds(1000);  // no caller falls quiet
  Instance i(s);
  for (std::uint32_t k = 0; k < 40; ++k) i.at(milliseconds(1), {request(k + 1, 0, seconds(3000))});
  i.idle(milliseconds(20), milliseconds(240), 1.0);
  const double before = i.credit;
  i.at(seconds(2000), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}});
  EXPECT_GE(i.credit, before * 0.5 - 3);
  EXPECT_LT(i.credit, before);
}
TEST(Arrivals, RunAtOnceWhileCoresAreFreeAndAreHeldBeyond) {
  Instance i(roomy());
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 5; ++k) events.push_back(request(k + 1));
  EXPECT_EQ(count<granitegap::Run>(i.at(milliseconds(1), events)), 2);
  EXPECT_EQ(count<Reject>(i.all), 0);
}
TEST(Arrivals, AreRefusedWhenTheyClearlyCannotBeServedInTime) {
  Instance i(roomy());
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 60; ++k) events.push_back(request(k + 1));
  const auto out = i.at(milliseconds(1), events);
  EXPECT_GT(count<Reject>(out), 10);
  EXPECT_EQ(count<Reject>(out) + count<SetTimer>(out), 60);  // each is refused or has its answer timer
}
TEST(Arrivals, AreRefusedWhenTheOldestWaitPassesTheDropBound) {
  Instance i(roomy());
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 6; ++k) events.push_back(request(k + 1));
  i.at(milliseconds(1), events);
  const auto out = i.at(milliseconds(800), {request(90)});
  ASSERT_EQ(count<Reject>(out), 1);
  EXPECT_GT(Instance::only<Reject>(out)[0].retry_after.count(), 0);
}
TEST(Arrivals, PastTheirAimAreRefusedForGood) {
  Instance i(roomy());
  auto r = request(1);
  r.unread_wait = milliseconds(1600);
  const auto out = i.at(seconds(3), {r});
  ASSERT_EQ(count<Reject>(out), 1);
  EXPECT_TRUE(Instance::only<Reject>(out)[0].do_not_retry_elsewhere);
}
TEST(Arrivals, BeyondMemoryAreRefused) {
  auto s = roomy();
  s.memory_kb = 100;
  Instance i(s);
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 12; ++k) events.push_back(request(k + 1));
  const auto out = i.at(milliseconds(1), events);
  EXPECT_EQ(count<granitegap::Run>(out), 1);  // what is held leaves room for a run
  EXPECT_GE(count<Reject>(out), 9);
}
TEST(Arrivals, OfAnUnknownClassAreRefusedAndDuplicateIdsIgnored) {
  Instance i(roomy());
  EXPECT_EQ(count<Reject>(i.at(milliseconds(1), {request(1, 77)})), 1);
  i.at(milliseconds(2), {request(2)});
  const auto out = i.at(milliseconds(3), {request(2)});
  EXPECT_EQ(count<granitegap::Run>(out) + count<Reject>(out) + count<Fail>(out), 0);
}
TEST(Shares, CallsInAnInnerTierAndRefusedTriesUseNone) {
  auto s = roomy();
  s.tenants[0].quota_per_s = 10;  // one a second here
  s.tier = 1;
  Instance inner(s);
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 9; ++k) events.push_back(request(k + 1));
  inner.at(milliseconds(1), events);
  inner.idle(milliseconds(200), milliseconds(240), 1.0);
  EXPECT_EQ(count<Reject>(inner.at(milliseconds(250), {request(80)})), 0);
  s.tier = 0;
  Instance outer(s);
  outer.at(milliseconds(1), events);
  outer.idle(milliseconds(200), milliseconds(240), 1.0);
  EXPECT_EQ(count<Reject>(outer.at(milliseconds(250), {request(80)})), 1);
}
TEST(RunLimit, StaysUnderTheColdCrowd) {
  auto s = roomy();
  s.cold = true;
  s.cold_speed = 0.1;
  s.cores = 4;
  s.overload_factor = 2;
  Instance i(s);
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 9; ++k) events.push_back(request(k + 1));
  EXPECT_LE(count<granitegap::Run>(i.at(milliseconds(1), events)), 3);  // 4 cores x 1.1 is the crowd
}
TEST(Answers, EveryReadHasATimerAndIsAnsweredWhenItFires) {
  Instance i(roomy());
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 4; ++k) events.push_back(request(k + 1, 2, milliseconds(900)));
  const auto out = i.at(milliseconds(1), events);
  ASSERT_EQ(count<SetTimer>(out), 4);
  std::vector<Event> fired;
  for (const auto& t : Instance::only<SetTimer>(out)) {
    EXPECT_EQ(t.delay, Duration(milliseconds(900)));
    fired.push_back(TimerFired{t.token, {}, {}, {}, {}});
  }
  const auto ends = i.at(milliseconds(901), fired);
  EXPECT_EQ(count<Fail>(ends), 2);    // the two that run
  EXPECT_EQ(count<Reject>(ends), 2);  // the two still held
}
TEST(Answers, AKeyedRunGoesOnAfterItsTryWhileTheAimLasts) {
  Instance i(roomy());
  const auto out = i.at(milliseconds(1), {request(1, 1, milliseconds(300))});
  const auto ends =
      i.at(milliseconds(301), {TimerFired{Instance::only<SetTimer>(out)[0].token, {}, {}, {}, {}}});
  EXPECT_EQ(count<Fail>(ends), 1);
  EXPECT_EQ(count<Suspend>(ends), 0);
  EXPECT_EQ(count<ReuseResult>(i.at(milliseconds(400), {repeat(2, 1)})), 1);
  EXPECT_EQ(count<Suspend>(i.at(milliseconds(1600), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}})), 1);
}
TEST(Keys, AreRememberedBeforeTheRunAndForgottenIfItNeverCame) {
  auto s = roomy();
  s.classes[1].priority_weight = 0.1;  // held behind the others
  Instance i(s);
  const auto out = i.at(milliseconds(1), {request(1), request(2), request(3, 1, milliseconds(300))});
  ASSERT_EQ(count<CacheResult>(out), 1);
  EXPECT_GE(Instance::only<CacheResult>(out)[0].ttl, Duration(milliseconds(6000)));
  ASSERT_EQ(count<granitegap::Run>(out), 2);
  const auto ends =
      i.at(milliseconds(301), {TimerFired{Instance::only<SetTimer>(out)[2].token, {}, {}, {}, {}}});
  EXPECT_EQ(count<Reject>(ends), 1);  // it never ran, so it may be refused
  EXPECT_EQ(count<EvictResult>(ends), 1);
}
TEST(Keys, ARefusedTryIsNotRememberedAndOnePastTheWindowRunsAnew) {
  Instance i(roomy());
  auto late = request(1, 1);
  late.unread_wait = milliseconds(1600);  // past its aim
  EXPECT_EQ(count<CacheResult>(i.at(seconds(2), {late})), 0);
  i.at(seconds(3), {request(2, 1)});
  i.at(milliseconds(3100), {RunEnded{RequestId(2), RunResult::ok, milliseconds(100)}});
  const auto out = i.at(seconds(11), {request(3, 1)});  // the host names no earlier try any more
  EXPECT_EQ(count<CacheResult>(out), 1);
  EXPECT_EQ(count<granitegap::Run>(out), 1);
}
TEST(Callers, ThatLeaveFreeTheirWork) {
  Instance i(roomy());
  i.at(milliseconds(1), {request(1), request(2), request(3)});
  EXPECT_EQ(count<granitegap::Run>(i.at(milliseconds(5), {RequestAbandoned{RequestId(3)}})), 0);
  EXPECT_EQ(count<Suspend>(i.at(milliseconds(9), {RequestAbandoned{RequestId(1)}})), 1);
  const auto out = i.at(milliseconds(10), {RunEnded{RequestId(1), RunResult::cancelled, {}}, request(4)});
  EXPECT_EQ(count<granitegap::Run>(out), 1);
}
TEST(Keys, RepeatsAreReusedWhileHeldRunningAndDone) {
  Instance i(roomy());
  i.at(milliseconds(1), {request(1, 1)});
  EXPECT_EQ(count<ReuseResult>(i.at(milliseconds(5), {repeat(2, 1)})), 1);
  i.at(milliseconds(100), {RunEnded{RequestId(1), RunResult::ok, milliseconds(99)}});
  const auto out = i.at(milliseconds(200), {repeat(3, 1)});
  EXPECT_EQ(count<ReuseResult>(out), 1);
  EXPECT_EQ(count<granitegap::Run>(out), 0);
}
TEST(Calls, ARunKeyedRequestIsFailedNotRefusedAndItsCallNotRepeated) {
  Instance i(roomy());
  i.at(milliseconds(1), {request(1, 1)});
  EXPECT_EQ(count<Call>(i.at(milliseconds(50), {CallNeeded{RequestId(1)}})), 1);
  i.at(milliseconds(90), {CallEnded{RequestId(1), CallResult::rejected, milliseconds(40)}});
  EXPECT_EQ(count<Call>(i.at(milliseconds(200), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}})), 1);
  const auto out =
      i.at(milliseconds(300), {CallEnded{RequestId(1), CallResult::timed_out, milliseconds(100)}});
  EXPECT_EQ(count<Fail>(out), 1);
  EXPECT_EQ(count<Reject>(out) + count<Call>(out), 0);
}
TEST(Calls, StayWithinAShareUnderOne) {
  auto s = roomy();
  s.call_quota = 0.02;
  Instance i(s);
  i.at(milliseconds(1), {request(1, 2)});
  EXPECT_EQ(count<Call>(i.at(milliseconds(50), {CallNeeded{RequestId(1)}})), 0);
}
TEST(Drain, ServesWhatCameInTheGraceAndRefusesTheRest) {
  Instance i(roomy());
  auto out = i.at(seconds(1), {DrainStarted{seconds(6)}});
  ASSERT_EQ(count<SetHealth>(out), 1);
  EXPECT_FALSE(Instance::only<SetHealth>(out)[0].healthy);
  EXPECT_EQ(count<granitegap::Run>(i.at(milliseconds(1900), {request(1)})), 1);
  auto late_read = request(2);
  late_read.unread_wait = milliseconds(400);
  EXPECT_EQ(count<granitegap::Run>(i.at(milliseconds(2300), {late_read})), 1);
  EXPECT_EQ(count<Reject>(i.at(milliseconds(2301), {request(3)})), 1);
  EXPECT_EQ(count<Reject>(i.at(milliseconds(6950), {repeat(4, 1)})), 1);
}
// Guards against callers sent away while others have no room for them and this one still may run their work.
TEST(Drain, CallersKeepTheirCreditUntilTheGraceRunsOut) {
  Instance i(roomy());  // its grace is a second
  i.at(seconds(1), {request(1), DrainStarted{seconds(6)}});
  i.idle(seconds(1), milliseconds(1600), 0.5);
  EXPECT_GT(i.credit, 0);
  i.idle(milliseconds(1600), milliseconds(1800), 0.5);
  EXPECT_EQ(i.credit, 0);
}
// Guards against a limit that grows past where the machine thrashes: the mean use of the cores lags behind.
TEST(RunLimit, GrowsOnlyWhileFewerAreOnTheCoresThanThereAreCores) {
  const auto runs = [](double on_cores) {
    Instance i(roomy());
    for (std::uint32_t id = 1; id <= 12; ++id) i.at(milliseconds(id), {request(id)});
    for (auto t = milliseconds(20); t < seconds(1); t += milliseconds(20))
      i.at(t, {TimerFired{TimerToken{0}, 0.5, on_cores, {}, {}}});
    return count<granitegap::Run>(i.all);
  };
  const int cores = int(*roomy().cores);
  EXPECT_GT(runs(cores - 1), cores);
  EXPECT_EQ(runs(cores), cores);
}
// What every caller was told last and still heeds, those told by a check alone included, against what the
// cores take now: a sum that no single answer shows. Callers that the settings did not count come as well.
void offer_stays_within_budget(std::uint32_t told, unsigned seed) {
  auto s = roomy();
  s.cold = true;
  s.cold_speed = 0.2;
  s.warm_up = seconds(18);
  s.cores = 6;
  s.callers = told;
  std::mt19937 random(seed);
  Instance i(s);
  std::map<std::uint32_t, std::pair<Duration, double>> heard;
  std::vector<RequestId> running;
  std::uint32_t next = 0;
  const auto all = told + told / 2;
  for (Duration t{}; t < seconds(18); t += milliseconds(20)) {
    std::vector<Event> events{TimerFired{TimerToken{0}, double(random() % 100) / 100, {}, {}, {}}};
    std::vector<std::uint32_t> answered{std::uint32_t(random() % all)};  // one that only checks
    for (auto k = random() % 4; k > 0; --k) {
      auto r = request(++next);
      r.caller = CallerId(random() % all);
      answered.push_back(std::uint32_t(r.caller));
      events.emplace_back(r);
    }
    if (!running.empty() && random() % 3 == 0) {
      events.emplace_back(RunEnded{running.front(), RunResult::ok, milliseconds(300)});
      running.erase(running.begin());
    }
    for (const auto& run : Instance::only<Run>(i.at(t, events))) running.push_back(run.id);
    for (const auto who : answered) heard[who] = {t, i.credit};
    const double budget = 6 * (1 + 7 * (0.2 + 0.8 * double(t.count()) / 18e6));
    double offered = 0;
    for (const auto& [who, last] : heard)
      if (t - last.first <= seconds(1)) offered += last.second;
    ASSERT_LE(i.credit * told, 1.03 * budget) << told << " callers, seed " << seed << ", at " << t.count();
    ASSERT_LE(offered, budget + 2 * std::sqrt(budget) + 2) << told << " callers, seed " << seed;
  }
  EXPECT_GT(next, 500u);
}
TEST(ColdStart, OffersAllCallersTogetherNoMoreThanItsCoresTake) {
  for (const std::uint32_t told : {3u, 20u, 30u, 150u})
    for (unsigned seed = 1; seed <= 5; ++seed) offer_stays_within_budget(told, seed);
}
TEST(ColdStart, OnceWarmTheOfferIsThePoolsAgain) {
  auto s = roomy();
  s.cold = true;
  s.warm_up = seconds(1);
  s.callers = 150;
  Instance i(s);
  i.at(milliseconds(1), {request(1)});
  EXPECT_LT(i.credit, 0.2);
  i.idle(milliseconds(20), milliseconds(1100), 0.5);
  EXPECT_GE(i.credit, 1);
}
TEST(Hosts, MisuseChangesNothing) {
  Instance i(roomy());
  EXPECT_TRUE(i.at(seconds(5), {RunEnded{RequestId(9), RunResult::ok, {}},
                                CallEnded{RequestId(9), CallResult::ok, {}}, CallNeeded{RequestId(9)},
                                RequestAbandoned{RequestId(9)}, TimerFired{TimerToken{99}, {}, {}, {}, {}}})
                  .empty());
  i.at(seconds(1), {request(1)});  // time runs backward: read as the latest time seen
  const auto timers = Instance::only<SetTimer>(i.all);
  EXPECT_EQ(timers.back().delay, Duration(seconds(4)));
}
TEST(Hosts, NoSettingsAtAllAreReadWithCautionAndNamedOnce) {
  Instance i(Settings{});
  EXPECT_EQ(count<Log>(i.all), 1);
  EXPECT_EQ(count<Reject>(i.at(milliseconds(1), {request(1)})), 1);
}

// ---- Full size: many seldom callers, two cores ----
TEST(Calls, AQuickCallLeavesTheCountAtOnce) {
  auto s = roomy();
  s.call_quota = 1;
  Instance i(s);
  std::vector<Event> first;
  for (std::uint32_t k = 0; k < 2; ++k) first.push_back(request(k + 1, 2, seconds(8)));
  i.at(seconds(10), first);
  i.at(milliseconds(10100), {CallNeeded{RequestId(1)}});
  i.at(milliseconds(10130), {CallEnded{RequestId(1), CallResult::ok, milliseconds(30)}});
  // Without the guard the ended call would read as in hand until now and use up the window.
  EXPECT_EQ(count<Call>(i.at(milliseconds(15000), {CallNeeded{RequestId(2)}})), 1);
}
TEST(Calls, AFreshInstanceDoesNotSpendAWholeWindowAtOnce) {
  auto s = roomy();
  s.call_quota = 0.9;
  s.cores = 16;
  Instance i(s);
  std::vector<Event> in, calls;
  for (std::uint32_t k = 0; k < 16; ++k) {
    in.push_back(request(k + 1, 2, seconds(8)));
    calls.push_back(CallNeeded{RequestId(k + 1)});
  }
  i.at(milliseconds(1), in);
  EXPECT_LE(count<Call>(i.at(milliseconds(50), calls)),
            8);  // a second of the share; a whole window would take all sixteen
  EXPECT_GE(count<Call>(i.all), 1);
}
TEST(Calls, ThatSlowDownUseLessOfTheShare) {
  auto s = roomy();
  s.call_quota = 20;
  s.cores = 16;
  for (auto& c : s.classes) c.latency_objective = c.deadline = seconds(60);
  const auto in_hand = [&](Duration took) {
    Instance i(s);
    std::uint32_t id = 0;
    for (int k = 0; k < 40; ++k) {  // ten quick calls, then as many of the length asked for
      const auto at = seconds(10) + k * seconds(6);
      i.at(at, {request(++id, 2, seconds(60)), CallNeeded{RequestId(id)}});
      const Duration length = k < 10 ? Duration(milliseconds(30)) : took;
      i.at(at + length, {CallEnded{RequestId(id), CallResult::ok, length}});
      i.at(at + length + milliseconds(1), {RunEnded{RequestId(id), RunResult::ok, milliseconds(100)}});
    }
    std::vector<Event> more;
    for (std::uint32_t k = 0; k < 12; ++k) more.push_back(request(++id, 2, seconds(60)));
    for (std::uint32_t k = 0; k < 12; ++k) more.push_back(CallNeeded{RequestId(id - k)});
    return count<Call>(i.at(seconds(300), more));
  };
  EXPECT_EQ(in_hand(milliseconds(30)), 12);
  EXPECT_LT(in_hand(milliseconds(900)), 12);  // twelve would fit the share several times over
}
TEST(Refusals, AskToStayOnceWaitsHaveBeenOverTargetForPartOfASecond) {
  const auto stay = [](Duration overloaded) {
    Instance i(roomy());
    std::vector<Event> events;
    for (std::uint32_t k = 0; k < 6; ++k) events.push_back(request(k + 1));
    i.at(milliseconds(1), events);
    i.idle(milliseconds(20), milliseconds(250) + overloaded, 1.0);  // D_t is 2.5 runs of 100 ms
    const auto out = Instance::only<Reject>(i.at(milliseconds(251) + overloaded, {request(90)}));
    EXPECT_EQ(out.size(), 1u);
    return !out.empty() && out[0].do_not_retry_elsewhere;
  };
  EXPECT_FALSE(stay(milliseconds(300)));  // a spike: others may have room
  EXPECT_TRUE(stay(milliseconds(800)));
}
TEST(Bar, WhereRequestsWaitUnreadTheLeastWorthGoesFirst) {
  auto s = roomy();
  for (auto& c : s.classes) c.latency_objective = c.deadline = seconds(20);
  Instance i(s);
  std::uint32_t id = 0;
  int refused[3] = {};
  for (int k = 0; k < 400; ++k) {
    const auto at = milliseconds(20 * (k + 1));
    auto r = request(++id, std::uint32_t(k % 2), seconds(18));  // class 1 is worth three times class 0
    r.unread_wait = seconds(3);
    i.at(at, {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}});
    const auto out = i.at(at + milliseconds(1), {r});
    if (k > 200) refused[k % 2] += count<Reject>(out);
    for (const auto& run : Instance::only<granitegap::Run>(out))
      i.at(at + milliseconds(2), {RunEnded{run.id, RunResult::ok, milliseconds(1)}});
  }
  EXPECT_GT(refused[0], 80);
  EXPECT_LT(refused[1], refused[0] / 2 + 45);
  EXPECT_GT(refused[0], refused[1]);
}
TEST(Bar, StaysDownWhileCoresIdle) {
  Instance i(roomy());
  std::uint32_t id = 0;
  for (int k = 0; k < 200; ++k) {
    const auto at = milliseconds(20 * (k + 1));
    auto r = request(++id, 0, seconds(3));
    r.unread_wait = milliseconds(900);  // a pause, not load
    i.at(at, {TimerFired{TimerToken{0}, 0.3, {}, {}, {}}});
    for (const auto& run : Instance::only<granitegap::Run>(i.at(at + milliseconds(1), {r})))
      i.at(at + milliseconds(2), {RunEnded{run.id, RunResult::ok, milliseconds(1)}});
  }
  EXPECT_EQ(count<Reject>(i.all), 0);
}
TEST(Shares, WellUnderOneASecondAllowForChance) {
  auto s = roomy();
  s.servers = 300;
  s.tenants[0].quota_per_s = 90;  // 0.3 a second here
  Instance i(s);
  const auto hold = [&](Duration at) {  // two run, some wait past D_t
    std::vector<Event> events;
    for (std::uint32_t k = 0; k < 5; ++k) {
      auto r = request(100 + k);
      r.tenant = TenantId(1);
      events.push_back(r);
    }
    i.at(at, events);
    i.idle(at + milliseconds(20), at + milliseconds(240), 1.0);
  };
  i.idle(milliseconds(20), seconds(20), 0.3);  // six seconds' worth and more is saved up
  hold(seconds(20));
  for (std::uint32_t k = 0; k < 4; ++k)  // four in a row are chance, not traffic over a share
    EXPECT_EQ(count<Reject>(i.at(milliseconds(20250 + k), {request(200 + k)})), 0) << k;
}
TEST(Hosts, AbsurdCountsGaugesAndAllowancesChangeNoRule) {
  const double bad[] = {0, -3, 1e18, std::numeric_limits<double>::quiet_NaN(),
                        std::numeric_limits<double>::infinity()};
  for (const double v : bad) {
    auto s = roomy();
    s.servers = s.callers = v;
    s.call_quota = v;
    for (auto& t : s.tenants) t.quota_per_s = v;
    Instance i(s);
    std::vector<Event> events;
    for (std::uint32_t k = 0; k < 9; ++k) events.push_back(request(k + 1));
    EXPECT_EQ(count<granitegap::Run>(i.at(milliseconds(1), events)), 2) << v;
    i.at(milliseconds(2), {CallNeeded{RequestId(1)}});
    i.at(milliseconds(20), {TimerFired{TimerToken{0}, v, v, v, v}});
    EXPECT_TRUE(std::isfinite(i.credit) && i.credit >= 0) << v;
    const auto ends = i.at(milliseconds(30), {TimerFired{TimerToken{0}, {}, {}, {}, {}}});
    EXPECT_GE(count<SetTimer>(ends), 1) << v;
  }
}
TEST(Hosts, CallersNeverSeenBeforeOnEveryRequestLeaveNoTrace) {
  Instance i(roomy());
  for (std::uint32_t k = 0; k < 3000; ++k) {
    auto r = request(k + 1);
    r.caller = CallerId(k);
    const auto at = milliseconds(20 * (k + 1));
    i.at(at, {TimerFired{TimerToken{0}, 0.5, {}, {}, {}}});
    i.at(at + milliseconds(1), {r});
    i.at(at + milliseconds(2), {RunEnded{RequestId(k + 1), RunResult::ok, milliseconds(1)}});
  }
  EXPECT_EQ(count<Reject>(i.all), 0);
  i.idle(seconds(61), seconds(67), 0.5);
  EXPECT_GE(i.credit, 2 + 4);  // all forgotten: the whole pool, not a part of it for each caller ever seen
}

// Guards against a machine turned slow that deaf callers go on filling, and against servers that leave the
// list over waits which a busy crowd explains.
class Slowed : public ::testing::Test {
 protected:
  static Settings settings() {
    auto s = roomy();
    s.cold = false;
    s.endpoint_list_follows_health = true;
    return s;
  }
  // Requests one after the other, each of so many ms on the cores, read so late.
  void serve(int requests, Duration took, Duration unread, double on_cores,
             Duration update = milliseconds(20), double core_use = 1.0) {
    for (int k = 0; k < requests; ++k) {
      auto r = request(++last, 0, seconds(4));
      r.unread_wait = unread;
      i.at(at, {r});
      const auto until = at + took;
      for (; at < until; at += update) i.at(at, {TimerFired{TimerToken{0}, core_use, on_cores, {}, {}}});
      i.at(at, {RunEnded{RequestId(last), RunResult::ok, took}});
    }
  }
  std::vector<bool> health() {
    std::vector<bool> said;
    for (const auto& h : Instance::only<SetHealth>(i.all)) said.push_back(h.healthy);
    return said;
  }
  Instance i{settings()};
  Duration at = milliseconds(0);
  std::uint32_t last = 0;
};
TEST_F(Slowed, LeavesTheListAndTriesAgain) {
  serve(40, milliseconds(100), milliseconds(0), 1);
  const auto before = health();
  EXPECT_EQ(std::count(before.begin(), before.end(), false), 0);
  serve(8, milliseconds(800), milliseconds(0), 1);  // slow, and nothing waits unread yet
  EXPECT_TRUE(health().empty());
  serve(4, milliseconds(800), milliseconds(1200), 1);
  ASSERT_FALSE(health().empty());
  EXPECT_FALSE(health().back());
  i.idle(at, at + seconds(7), 0.1);
  EXPECT_TRUE(health().back());
}
TEST_F(Slowed, AWaitOrACrowdAloneIsNoReasonToLeave) {
  serve(40, milliseconds(100), milliseconds(0), 1);
  serve(8, milliseconds(100), milliseconds(1400), 1);  // late, at its usual pace
  serve(8, milliseconds(800), milliseconds(0), 8);     // slow, in a crowd of four a core
  serve(8, milliseconds(800), milliseconds(1200), 8);
  const auto said = health();
  EXPECT_EQ(std::count(said.begin(), said.end(), false), 0);
}
TEST_F(Slowed, ARushThatShowsInFewUpdatesIsNoReasonToLeave) {
  serve(40, milliseconds(100), milliseconds(0), 1);
  serve(40, milliseconds(100), milliseconds(1400), 1, milliseconds(20), 0.5);
  serve(8, milliseconds(800), milliseconds(1400), 8, milliseconds(800), 0.5);
  const auto said = health();
  EXPECT_EQ(std::count(said.begin(), said.end(), false), 0);
}

}  // namespace
}  // namespace granitegap
