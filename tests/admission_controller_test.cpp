// The admission controller on hand-written events: what it decides about each batch.
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

// One controller with its actions recorded.
class ControllerHarness {
 public:
  explicit ControllerHarness(Settings s) : controller(std::move(s), 1, TimePoint{}) {
    note(controller.start());
  }
  std::vector<Action> at(Duration when, std::vector<Event> events) {
    return note(controller.handle(TimePoint{} + when, events));
  }
  // Updates from one time to another, every 20 ms.
  void update_until(Duration from, Duration to, double core_use) {
    for (auto t = from; t < to; t += milliseconds(20))
      at(t, {TimerFired{TimerToken{0}, core_use, {}, {}, {}}});
  }
  template <class A>
  static std::vector<A> actions_of(const std::vector<Action>& actions) {
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
    for (const auto& c : actions_of<AdvertiseCredit>(actions)) credit = c.credit;
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
Settings settings_with_capacity() {
  auto s = tight_settings();
  s.memory_kb = 1e6;
  s.call_quota = 50;
  s.overload_factor = 8;
  return s;
}
template <class A>
int count(const std::vector<Action>& actions) {
  return int(ControllerHarness::actions_of<A>(actions).size());
}
RequestArrived repeat(std::uint32_t id, std::uint32_t of) {
  auto r = request(id, 1);
  r.duplicate_of = RequestId(of);
  return r;
}

TEST(CreditPool, StartsAtTheRunLimitPlusOneForEachCaller) {
  ControllerHarness host(settings_with_capacity());
  EXPECT_DOUBLE_EQ(host.credit, 2 + 4);  // no caller seen yet: the complete pool
}
TEST(CreditPool, GrowsByAtLeastOneForEachCallerWithoutOverload) {
  ControllerHarness host(settings_with_capacity());
  for (std::uint32_t k = 0; k < 12; ++k) host.at(milliseconds(1), {request(k + 1)});
  host.at(milliseconds(20), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}});
  const double before = host.credit;
  host.at(milliseconds(40), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}});
  EXPECT_GE(host.credit, before + 0.9);
}
TEST(CreditPool, ShrinksWithTheOldestWaitDownToItsFloor) {
  ControllerHarness host(settings_with_capacity());
  for (std::uint32_t k = 0; k < 10; ++k) host.at(milliseconds(1), {request(k + 1)});
  host.update_until(milliseconds(20), milliseconds(200), 1.0);
  const double calm = host.credit;
  host.update_until(milliseconds(200), milliseconds(1300), 1.0);
  EXPECT_LT(host.credit, calm);
  EXPECT_GE(host.credit, 2.0 / 4);  // the run limit over four callers
}
TEST(CreditPool, OneUpdateDecreasesItByAtMostHalf) {
  auto s = settings_with_capacity();
  s.classes[0].deadline = s.classes[0].latency_objective = seconds(3000);
  s.advertised_value_ttl = seconds(1000);  // no caller is forgotten
  ControllerHarness host(s);
  for (std::uint32_t k = 0; k < 40; ++k) host.at(milliseconds(1), {request(k + 1, 0, seconds(3000))});
  host.update_until(milliseconds(20), milliseconds(240), 1.0);
  const double before = host.credit;
  host.at(seconds(2000), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}});
  EXPECT_GE(host.credit, before * 0.5 - 3);
  EXPECT_LT(host.credit, before);
}
TEST(Admission, RunsAtOnceWhileCoresAreFreeAndQueuesBeyond) {
  ControllerHarness host(settings_with_capacity());
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 5; ++k) events.push_back(request(k + 1));
  EXPECT_EQ(count<granitegap::Run>(host.at(milliseconds(1), events)), 2);
  EXPECT_EQ(count<Reject>(host.all), 0);
}
TEST(Admission, RejectsWhatCannotBeServedInTime) {
  ControllerHarness host(settings_with_capacity());
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 60; ++k) events.push_back(request(k + 1));
  const auto out = host.at(milliseconds(1), events);
  EXPECT_GT(count<Reject>(out), 10);
  EXPECT_EQ(count<Reject>(out) + count<SetTimer>(out), 60);  // each is rejected or has its answer timer
}
TEST(Admission, RejectsWithRetryAfterWhenTheOldestWaitPassesTheDropBound) {
  ControllerHarness host(settings_with_capacity());
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 6; ++k) events.push_back(request(k + 1));
  host.at(milliseconds(1), events);
  const auto out = host.at(milliseconds(800), {request(90)});
  ASSERT_EQ(count<Reject>(out), 1);
  EXPECT_GT(ControllerHarness::actions_of<Reject>(out)[0].retry_after.count(), 0);
}
TEST(Admission, RejectsWithoutFailoverWhatArrivesPastItsObjective) {
  ControllerHarness host(settings_with_capacity());
  auto r = request(1);
  r.unread_wait = milliseconds(1600);
  const auto out = host.at(seconds(3), {r});
  ASSERT_EQ(count<Reject>(out), 1);
  EXPECT_TRUE(ControllerHarness::actions_of<Reject>(out)[0].do_not_retry_elsewhere);
}
TEST(Admission, RejectsWhatExceedsTheMemory) {
  auto s = settings_with_capacity();
  s.memory_kb = 100;
  ControllerHarness host(s);
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 12; ++k) events.push_back(request(k + 1));
  const auto out = host.at(milliseconds(1), events);
  EXPECT_EQ(count<granitegap::Run>(out), 1);  // what is queued leaves memory for a run
  EXPECT_GE(count<Reject>(out), 9);
}
TEST(Admission, RejectsAnUnknownClass) {
  ControllerHarness host(settings_with_capacity());
  EXPECT_EQ(count<Reject>(host.at(milliseconds(1), {request(1, 77)})), 1);
}
TEST(Admission, IgnoresADuplicateId) {
  ControllerHarness host(settings_with_capacity());
  host.at(milliseconds(1), {request(1, 77)});
  host.at(milliseconds(2), {request(2)});
  const auto out = host.at(milliseconds(3), {request(2)});
  EXPECT_EQ(count<granitegap::Run>(out) + count<Reject>(out) + count<Fail>(out), 0);
}
TEST(TenantQuota, IsNotUsedByCallsInAnInnerTierNorByRejectedAttempts) {
  auto s = settings_with_capacity();
  s.tenants[0].quota_per_s = 10;  // one a second here
  s.tier = 1;
  ControllerHarness inner(s);
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 9; ++k) events.push_back(request(k + 1));
  inner.at(milliseconds(1), events);
  inner.update_until(milliseconds(200), milliseconds(240), 1.0);
  EXPECT_EQ(count<Reject>(inner.at(milliseconds(250), {request(80)})), 0);
  s.tier = 0;
  ControllerHarness outer(s);
  outer.at(milliseconds(1), events);
  outer.update_until(milliseconds(200), milliseconds(240), 1.0);
  EXPECT_EQ(count<Reject>(outer.at(milliseconds(250), {request(80)})), 1);
}
TEST(RunLimit, StaysUnderTheConcurrencyThatAColdServerSurvives) {
  auto s = settings_with_capacity();
  s.cold = true;
  s.cold_speed = 0.1;
  s.cores = 4;
  s.overload_factor = 2;
  ControllerHarness host(s);
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 9; ++k) events.push_back(request(k + 1));
  EXPECT_LE(count<granitegap::Run>(host.at(milliseconds(1), events)),
            3);  // 4 cores x 1.1 is what it survives
}
TEST(FinalAnswer, IsGivenWhenTheDeadlineTimerFires) {
  ControllerHarness host(settings_with_capacity());
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 4; ++k) events.push_back(request(k + 1, 2, milliseconds(900)));
  const auto out = host.at(milliseconds(1), events);
  ASSERT_EQ(count<SetTimer>(out), 4);
  std::vector<Event> fired;
  for (const auto& t : ControllerHarness::actions_of<SetTimer>(out)) {
    EXPECT_EQ(t.delay, Duration(milliseconds(900)));
    fired.push_back(TimerFired{t.token, {}, {}, {}, {}});
  }
  const auto ends = host.at(milliseconds(901), fired);
  EXPECT_EQ(count<Fail>(ends), 2);    // the two that run
  EXPECT_EQ(count<Reject>(ends), 2);  // the two still queued
}
TEST(FinalAnswer, DoesNotStopAKeyedRunBeforeItsObjectiveIsOver) {
  ControllerHarness host(settings_with_capacity());
  const auto out = host.at(milliseconds(1), {request(1, 1, milliseconds(300))});
  const auto ends = host.at(
      milliseconds(301), {TimerFired{ControllerHarness::actions_of<SetTimer>(out)[0].token, {}, {}, {}, {}}});
  EXPECT_EQ(count<Fail>(ends), 1);
  EXPECT_EQ(count<Suspend>(ends), 0);
  EXPECT_EQ(count<ReuseResult>(host.at(milliseconds(400), {repeat(2, 1)})), 1);
  EXPECT_EQ(count<Suspend>(host.at(milliseconds(1600), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}})), 1);
}
TEST(IdempotencyKey, IsCachedBeforeTheRunAndEvictedIfNoneCame) {
  auto s = settings_with_capacity();
  s.classes[1].priority_weight = 0.1;  // queued behind the others
  ControllerHarness host(s);
  const auto out = host.at(milliseconds(1), {request(1), request(2), request(3, 1, milliseconds(300))});
  ASSERT_EQ(count<CacheResult>(out), 1);
  EXPECT_GE(ControllerHarness::actions_of<CacheResult>(out)[0].ttl, Duration(milliseconds(6000)));
  ASSERT_EQ(count<granitegap::Run>(out), 2);
  const auto ends = host.at(
      milliseconds(301), {TimerFired{ControllerHarness::actions_of<SetTimer>(out)[2].token, {}, {}, {}, {}}});
  EXPECT_EQ(count<Reject>(ends), 1);  // it never ran, so it may be rejected
  EXPECT_EQ(count<EvictResult>(ends), 1);
}
TEST(IdempotencyKey, OfARejectedAttemptIsNotCached) {
  ControllerHarness host(settings_with_capacity());
  auto late = request(1, 1);
  late.unread_wait = milliseconds(1600);  // past its objective
  EXPECT_EQ(count<CacheResult>(host.at(seconds(2), {late})), 0);
}
TEST(IdempotencyKey, RunsAnewPastItsWindow) {
  ControllerHarness host(settings_with_capacity());
  auto late = request(1, 1);
  late.unread_wait = milliseconds(1600);
  host.at(seconds(2), {late});
  host.at(seconds(3), {request(2, 1)});
  host.at(milliseconds(3100), {RunEnded{RequestId(2), RunResult::ok, milliseconds(100)}});
  const auto out = host.at(seconds(11), {request(3, 1)});  // the host names no earlier try any more
  EXPECT_EQ(count<CacheResult>(out), 1);
  EXPECT_EQ(count<granitegap::Run>(out), 1);
}
TEST(AbandonedRequest, FreesItsCore) {
  ControllerHarness host(settings_with_capacity());
  host.at(milliseconds(1), {request(1), request(2), request(3)});
  EXPECT_EQ(count<granitegap::Run>(host.at(milliseconds(5), {RequestAbandoned{RequestId(3)}})), 0);
  EXPECT_EQ(count<Suspend>(host.at(milliseconds(9), {RequestAbandoned{RequestId(1)}})), 1);
  const auto out = host.at(milliseconds(10), {RunEnded{RequestId(1), RunResult::cancelled, {}}, request(4)});
  EXPECT_EQ(count<granitegap::Run>(out), 1);
}
TEST(IdempotencyKey, DuplicatesReuseARunThatIsStartedOrDone) {
  ControllerHarness host(settings_with_capacity());
  host.at(milliseconds(1), {request(1, 1)});
  EXPECT_EQ(count<ReuseResult>(host.at(milliseconds(5), {repeat(2, 1)})), 1);
  host.at(milliseconds(100), {RunEnded{RequestId(1), RunResult::ok, milliseconds(99)}});
  const auto out = host.at(milliseconds(200), {repeat(3, 1)});
  EXPECT_EQ(count<ReuseResult>(out), 1);
  EXPECT_EQ(count<granitegap::Run>(out), 0);
}
TEST(DownstreamCall, IsNotRetriedWhenItMayHaveRunAndTheRequestIsFailed) {
  ControllerHarness host(settings_with_capacity());
  host.at(milliseconds(1), {request(1, 1)});
  EXPECT_EQ(count<Call>(host.at(milliseconds(50), {CallNeeded{RequestId(1)}})), 1);
  host.at(milliseconds(90), {CallEnded{RequestId(1), CallResult::rejected, milliseconds(40)}});
  EXPECT_EQ(count<Call>(host.at(milliseconds(200), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}})), 1);
  const auto out =
      host.at(milliseconds(300), {CallEnded{RequestId(1), CallResult::timed_out, milliseconds(100)}});
  EXPECT_EQ(count<Fail>(out), 1);
  EXPECT_EQ(count<Reject>(out) + count<Call>(out), 0);
}
TEST(DownstreamCall, StaysWithinAQuotaUnderOne) {
  auto s = settings_with_capacity();
  s.call_quota = 0.02;
  ControllerHarness host(s);
  host.at(milliseconds(1), {request(1, 2)});
  EXPECT_EQ(count<Call>(host.at(milliseconds(50), {CallNeeded{RequestId(1)}})), 0);
}
TEST(Drain, ServesWhatCameWithinTheGraceAndRejectsTheRest) {
  ControllerHarness host(settings_with_capacity());
  auto out = host.at(seconds(1), {DrainStarted{seconds(6)}});
  ASSERT_EQ(count<SetHealth>(out), 1);
  EXPECT_FALSE(ControllerHarness::actions_of<SetHealth>(out)[0].healthy);
  EXPECT_EQ(count<granitegap::Run>(host.at(milliseconds(1900), {request(1)})), 1);
  auto late_read = request(2);
  late_read.unread_wait = milliseconds(400);
  EXPECT_EQ(count<granitegap::Run>(host.at(milliseconds(2300), {late_read})), 1);
  EXPECT_EQ(count<Reject>(host.at(milliseconds(2301), {request(3)})), 1);
  EXPECT_EQ(count<Reject>(host.at(milliseconds(6950), {repeat(4, 1)})), 1);
}
// Guards against callers sent away while others have no capacity for them and this one still may run their
// work.
TEST(Drain, CallersKeepTheirCreditUntilTheGraceRunsOut) {
  ControllerHarness host(settings_with_capacity());  // its grace is a second
  host.at(seconds(1), {request(1), DrainStarted{seconds(6)}});
  host.update_until(seconds(1), milliseconds(1600), 0.5);
  EXPECT_GT(host.credit, 0);
  host.update_until(milliseconds(1600), milliseconds(1800), 0.5);
  EXPECT_EQ(host.credit, 0);
}
// Guards against a limit that grows past where the machine thrashes: the mean use of the cores lags behind.
TEST(RunLimit, GrowsOnlyWhileFewerAreOnTheCoresThanThereAreCores) {
  const auto runs = [](double on_cores) {
    ControllerHarness host(settings_with_capacity());
    for (std::uint32_t id = 1; id <= 12; ++id) host.at(milliseconds(id), {request(id)});
    for (auto t = milliseconds(20); t < seconds(1); t += milliseconds(20))
      host.at(t, {TimerFired{TimerToken{0}, 0.5, on_cores, {}, {}}});
    return count<granitegap::Run>(host.all);
  };
  const int cores = int(*settings_with_capacity().cores);
  EXPECT_GT(runs(cores - 1), cores);
  EXPECT_EQ(runs(cores), cores);
}
// The credit that every caller saw last and still uses, those that only sent a health check included, against
// what the cores survive now: a sum that no single answer shows. Callers beyond the configured number come as
// well.
void check_credit_within_budget(std::uint32_t configured, unsigned seed) {
  auto s = settings_with_capacity();
  s.cold = true;
  s.cold_speed = 0.2;
  s.warm_up = seconds(18);
  s.cores = 6;
  s.callers = configured;
  std::mt19937 random(seed);
  ControllerHarness host(s);
  std::map<std::uint32_t, std::pair<Duration, double>> last_credit;
  std::vector<RequestId> running;
  std::uint32_t next = 0;
  const auto all = configured + configured / 2;
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
    for (const auto& run : ControllerHarness::actions_of<Run>(host.at(t, events))) running.push_back(run.id);
    for (const auto who : answered) last_credit[who] = {t, host.credit};
    const double budget = 6 * (1 + 7 * (0.2 + 0.8 * double(t.count()) / 18e6));
    double offered = 0;
    for (const auto& [who, last] : last_credit)
      if (t - last.first <= seconds(1)) offered += last.second;
    ASSERT_LE(host.credit * configured, 1.03 * budget)
        << configured << " callers, seed " << seed << ", at " << t.count();
    ASSERT_LE(offered, budget + 2 * std::sqrt(budget) + 2) << configured << " callers, seed " << seed;
  }
  EXPECT_GT(next, 500u);
}
TEST(SlowStart, OffersAllCallersTogetherNoMoreThanTheCoresSurvive) {
  for (const std::uint32_t callers : {3u, 20u, 30u, 150u})
    for (unsigned seed = 1; seed <= 5; ++seed) check_credit_within_budget(callers, seed);
}
TEST(SlowStart, OffersTheCompletePoolOnceWarm) {
  auto s = settings_with_capacity();
  s.cold = true;
  s.warm_up = seconds(1);
  s.callers = 150;
  ControllerHarness host(s);
  host.at(milliseconds(1), {request(1)});
  EXPECT_LT(host.credit, 0.2);
  host.update_until(milliseconds(20), milliseconds(1100), 0.5);
  EXPECT_GE(host.credit, 1);
}
TEST(AdmissionController, IgnoresUnknownIdsAndTimeThatRunsBackward) {
  ControllerHarness host(settings_with_capacity());
  EXPECT_TRUE(
      host.at(seconds(5), {RunEnded{RequestId(9), RunResult::ok, {}},
                           CallEnded{RequestId(9), CallResult::ok, {}}, CallNeeded{RequestId(9)},
                           RequestAbandoned{RequestId(9)}, TimerFired{TimerToken{99}, {}, {}, {}, {}}})
          .empty());
  host.at(seconds(1), {request(1)});  // time runs backward: read as the latest time seen
  const auto timers = ControllerHarness::actions_of<SetTimer>(host.all);
  EXPECT_EQ(timers.back().delay, Duration(seconds(4)));
}
TEST(AdmissionController, NamesMissingSettingsInOneLog) {
  ControllerHarness host(Settings{});
  EXPECT_EQ(count<Log>(host.all), 1);
  EXPECT_EQ(count<Reject>(host.at(milliseconds(1), {request(1)})), 1);
}

TEST(DownstreamCall, AQuickCallIsOpenNoLongerThanItTook) {
  auto s = settings_with_capacity();
  s.call_quota = 1;
  ControllerHarness host(s);
  std::vector<Event> first;
  for (std::uint32_t k = 0; k < 2; ++k) first.push_back(request(k + 1, 2, seconds(8)));
  host.at(seconds(10), first);
  host.at(milliseconds(10100), {CallNeeded{RequestId(1)}});
  host.at(milliseconds(10130), {CallEnded{RequestId(1), CallResult::ok, milliseconds(30)}});
  // Without the guard the ended call would read as open until now and use up the window.
  EXPECT_EQ(count<Call>(host.at(milliseconds(15000), {CallNeeded{RequestId(2)}})), 1);
}
TEST(DownstreamCall, AFreshInstanceDoesNotSpendACompleteWindowAtOnce) {
  auto s = settings_with_capacity();
  s.call_quota = 0.9;
  s.cores = 16;
  ControllerHarness host(s);
  std::vector<Event> in, calls;
  for (std::uint32_t k = 0; k < 16; ++k) {
    in.push_back(request(k + 1, 2, seconds(8)));
    calls.push_back(CallNeeded{RequestId(k + 1)});
  }
  host.at(milliseconds(1), in);
  EXPECT_LE(count<Call>(host.at(milliseconds(50), calls)),
            8);  // a second of the quota; a complete window would take all sixteen
  EXPECT_GE(count<Call>(host.all), 1);
}
TEST(DownstreamCall, UsesLessOfTheQuotaWhenCallsSlowDown) {
  auto s = settings_with_capacity();
  s.call_quota = 20;
  s.cores = 16;
  for (auto& c : s.classes) c.latency_objective = c.deadline = seconds(60);
  const auto in_hand = [&](Duration took) {
    ControllerHarness host(s);
    std::uint32_t id = 0;
    for (int k = 0; k < 40; ++k) {  // ten quick calls, then as many of the length asked for
      const auto at = seconds(10) + k * seconds(6);
      host.at(at, {request(++id, 2, seconds(60)), CallNeeded{RequestId(id)}});
      const Duration length = k < 10 ? Duration(milliseconds(30)) : took;
      host.at(at + length, {CallEnded{RequestId(id), CallResult::ok, length}});
      host.at(at + length + milliseconds(1), {RunEnded{RequestId(id), RunResult::ok, milliseconds(100)}});
    }
    std::vector<Event> more;
    for (std::uint32_t k = 0; k < 12; ++k) more.push_back(request(++id, 2, seconds(60)));
    for (std::uint32_t k = 0; k < 12; ++k) more.push_back(CallNeeded{RequestId(id - k)});
    return count<Call>(host.at(seconds(300), more));
  };
  EXPECT_EQ(in_hand(milliseconds(30)), 12);
  EXPECT_LT(in_hand(milliseconds(900)), 12);  // twelve would fit the quota several times over
}
TEST(Rejection, AsksForNoFailoverInPersistentOverload) {
  const auto stay = [](Duration overloaded) {
    ControllerHarness host(settings_with_capacity());
    std::vector<Event> events;
    for (std::uint32_t k = 0; k < 6; ++k) events.push_back(request(k + 1));
    host.at(milliseconds(1), events);
    host.update_until(milliseconds(20), milliseconds(250) + overloaded, 1.0);  // D_t is 2.5 runs of 100 ms
    const auto out =
        ControllerHarness::actions_of<Reject>(host.at(milliseconds(251) + overloaded, {request(90)}));
    EXPECT_EQ(out.size(), 1u);
    return !out.empty() && out[0].do_not_retry_elsewhere;
  };
  EXPECT_FALSE(stay(milliseconds(300)));  // a spike: others may have capacity
  EXPECT_TRUE(stay(milliseconds(800)));
}
TEST(WeightedShedding, ShedsTheLeastWeightFirstWhereRequestsWaitUnread) {
  auto s = settings_with_capacity();
  for (auto& c : s.classes) c.latency_objective = c.deadline = seconds(20);
  ControllerHarness host(s);
  std::uint32_t id = 0;
  int rejected[3] = {};
  for (int k = 0; k < 400; ++k) {
    const auto at = milliseconds(20 * (k + 1));
    auto r =
        request(++id, std::uint32_t(k % 2), seconds(18));  // class 1 has three times the weight of class 0
    r.unread_wait = seconds(3);
    host.at(at, {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}});
    const auto out = host.at(at + milliseconds(1), {r});
    if (k > 200) rejected[k % 2] += count<Reject>(out);
    for (const auto& run : ControllerHarness::actions_of<granitegap::Run>(out))
      host.at(at + milliseconds(2), {RunEnded{run.id, RunResult::ok, milliseconds(1)}});
  }
  EXPECT_GT(rejected[0], 80);
  EXPECT_LT(rejected[1], rejected[0] / 2 + 45);
  EXPECT_GT(rejected[0], rejected[1]);
}
TEST(WeightedShedding, ShedsNothingWhileCoresIdle) {
  ControllerHarness host(settings_with_capacity());
  std::uint32_t id = 0;
  for (int k = 0; k < 200; ++k) {
    const auto at = milliseconds(20 * (k + 1));
    auto r = request(++id, 0, seconds(3));
    r.unread_wait = milliseconds(900);  // a pause, not load
    host.at(at, {TimerFired{TimerToken{0}, 0.3, {}, {}, {}}});
    for (const auto& run : ControllerHarness::actions_of<granitegap::Run>(host.at(at + milliseconds(1), {r})))
      host.at(at + milliseconds(2), {RunEnded{run.id, RunResult::ok, milliseconds(1)}});
  }
  EXPECT_EQ(count<Reject>(host.all), 0);
}
TEST(TenantQuota, ToleratesBurstsWhenItIsWellUnderOneASecond) {
  auto s = settings_with_capacity();
  s.servers = 300;
  s.tenants[0].quota_per_s = 90;  // 0.3 a second here
  ControllerHarness host(s);
  const auto hold = [&](Duration at) {  // two run, some wait past D_t
    std::vector<Event> events;
    for (std::uint32_t k = 0; k < 5; ++k) {
      auto r = request(100 + k);
      r.tenant = TenantId(1);
      events.push_back(r);
    }
    host.at(at, events);
    host.update_until(at + milliseconds(20), at + milliseconds(240), 1.0);
  };
  host.update_until(milliseconds(20), seconds(20), 0.3);  // six seconds' worth and more is saved up
  hold(seconds(20));
  for (std::uint32_t k = 0; k < 4; ++k)  // four in a row are chance, not traffic over a quota
    EXPECT_EQ(count<Reject>(host.at(milliseconds(20250 + k), {request(200 + k)})), 0) << k;
}
TEST(AdmissionController, KeepsItsRulesUnderAbsurdCountsGaugesAndQuotas) {
  const double bad[] = {0, -3, 1e18, std::numeric_limits<double>::quiet_NaN(),
                        std::numeric_limits<double>::infinity()};
  for (const double v : bad) {
    auto s = settings_with_capacity();
    s.servers = s.callers = v;
    s.call_quota = v;
    for (auto& t : s.tenants) t.quota_per_s = v;
    ControllerHarness host(s);
    std::vector<Event> events;
    for (std::uint32_t k = 0; k < 9; ++k) events.push_back(request(k + 1));
    EXPECT_EQ(count<granitegap::Run>(host.at(milliseconds(1), events)), 2) << v;
    host.at(milliseconds(2), {CallNeeded{RequestId(1)}});
    host.at(milliseconds(20), {TimerFired{TimerToken{0}, v, v, v, v}});
    EXPECT_TRUE(std::isfinite(host.credit) && host.credit >= 0) << v;
    const auto ends = host.at(milliseconds(30), {TimerFired{TimerToken{0}, {}, {}, {}, {}}});
    EXPECT_GE(count<SetTimer>(ends), 1) << v;
  }
}
TEST(AdmissionController, ForgetsCallersThatWereSeenOnce) {
  ControllerHarness host(settings_with_capacity());
  for (std::uint32_t k = 0; k < 3000; ++k) {
    auto r = request(k + 1);
    r.caller = CallerId(k);
    const auto at = milliseconds(20 * (k + 1));
    host.at(at, {TimerFired{TimerToken{0}, 0.5, {}, {}, {}}});
    host.at(at + milliseconds(1), {r});
    host.at(at + milliseconds(2), {RunEnded{RequestId(k + 1), RunResult::ok, milliseconds(1)}});
  }
  EXPECT_EQ(count<Reject>(host.all), 0);
  host.update_until(seconds(61), seconds(67), 0.5);
  EXPECT_GE(host.credit,
            2 + 4);  // all forgotten: the complete pool, not a part of it for each caller ever seen
}

// Guards against a slow machine that callers which ignore credits go on filling, and against servers that
// leave the endpoint list over waits that high concurrency explains.
class EndpointHealthTest : public ::testing::Test {
 protected:
  static Settings settings() {
    auto s = settings_with_capacity();
    s.cold = false;
    s.endpoint_list_follows_health = true;
    return s;
  }
  // Requests one after the other, each of so many ms on the cores, read so late.
  void serve(int requests, Duration took, Duration unread, double on_cores,
             Duration update = milliseconds(20), double core_use = 1.0) {
    for (int k = 0; k < requests; ++k) {
      auto r = request(++last_, 0, seconds(4));
      r.unread_wait = unread;
      host_.at(at_, {r});
      const auto until = at_ + took;
      for (; at_ < until; at_ += update)
        host_.at(at_, {TimerFired{TimerToken{0}, core_use, on_cores, {}, {}}});
      host_.at(at_, {RunEnded{RequestId(last_), RunResult::ok, took}});
    }
  }
  std::vector<bool> health() {
    std::vector<bool> reported;
    for (const auto& h : ControllerHarness::actions_of<SetHealth>(host_.all)) reported.push_back(h.healthy);
    return reported;
  }
  ControllerHarness host_{settings()};
  Duration at_ = milliseconds(0);
  std::uint32_t last_ = 0;
};
TEST_F(EndpointHealthTest, LeavesTheEndpointListAndReturns) {
  serve(40, milliseconds(100), milliseconds(0), 1);
  const auto before = health();
  EXPECT_EQ(std::count(before.begin(), before.end(), false), 0);
  serve(8, milliseconds(800), milliseconds(0), 1);  // slow, and nothing waits unread yet
  EXPECT_TRUE(health().empty());
  serve(4, milliseconds(800), milliseconds(1200), 1);
  ASSERT_FALSE(health().empty());
  EXPECT_FALSE(health().back());
  host_.update_until(at_, at_ + seconds(7), 0.1);
  EXPECT_TRUE(health().back());
}
TEST_F(EndpointHealthTest, StaysListedWhenOnlyWaitsOrOnlyConcurrencyGrow) {
  serve(40, milliseconds(100), milliseconds(0), 1);
  serve(8, milliseconds(100), milliseconds(1400), 1);  // late, at_ its usual pace
  serve(8, milliseconds(800), milliseconds(0), 8);     // slow, with four tasks a core
  serve(8, milliseconds(800), milliseconds(1200), 8);
  const auto reported = health();
  EXPECT_EQ(std::count(reported.begin(), reported.end(), false), 0);
}
TEST_F(EndpointHealthTest, StaysListedInARushThatShowsInFewUpdates) {
  serve(40, milliseconds(100), milliseconds(0), 1);
  serve(40, milliseconds(100), milliseconds(1400), 1, milliseconds(20), 0.5);
  serve(8, milliseconds(800), milliseconds(1400), 8, milliseconds(800), 0.5);
  const auto reported = health();
  EXPECT_EQ(std::count(reported.begin(), reported.end(), false), 0);
}

}  // namespace
}  // namespace granitegap
