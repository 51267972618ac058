// Tests of the admission controller's decisions on hand-written batches of events.
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

// One controller whose actions are recorded.
class ControllerHarness {
 public:
  explicit ControllerHarness(Settings settings) : controller(std::move(settings), 1, TimePoint{}) {
    record(controller.start());
  }
  std::vector<Action> at(Duration when, std::vector<Event> events) {
    return record(controller.handle(TimePoint{} + when, events));
  }
  // Fires the update timer every 20 ms between two times.
  void update_until(Duration from, Duration to, double core_utilization) {
    for (auto t = from; t < to; t += milliseconds(20))
      at(t, {TimerFired{TimerToken{0}, core_utilization, {}, {}, {}}});
  }
  template <class A>
  static std::vector<A> actions_of(const std::vector<Action>& actions) {
    std::vector<A> out;
    for (const auto& a : actions)
      if (const auto* x = std::get_if<A>(&a)) out.push_back(*x);
    return out;
  }
  AdmissionController controller;
  std::vector<Action> all_actions;
  double credit = -1;

 private:
  std::vector<Action> record(std::vector<Action> actions) {
    for (const auto& c : actions_of<AdvertiseCredit>(actions)) credit = c.credit;
    all_actions.insert(all_actions.end(), actions.begin(), actions.end());
    return actions;
  }
};

RequestArrived make_request(std::uint32_t id, std::uint32_t class_index = 0,
                            Duration caller_timeout = seconds(4)) {
  RequestArrived arrival;
  arrival.id = RequestId(id);
  arrival.class_id = ClassId(class_index);
  arrival.caller = CallerId(id % 4);
  arrival.caller_timeout = caller_timeout;
  arrival.memory = MemorySize(10000);
  arrival.cost_hint = milliseconds(100);
  return arrival;
}
Settings settings_with_capacity() {
  auto settings = tight_settings();
  settings.memory_kb = 1e6;
  settings.call_quota = 50;
  settings.overload_factor = 8;
  return settings;
}
template <class A>
int count(const std::vector<Action>& actions) {
  return int(ControllerHarness::actions_of<A>(actions).size());
}
RequestArrived make_duplicate(std::uint32_t id, std::uint32_t of) {
  auto arrival = make_request(id, 1);
  arrival.duplicate_of = RequestId(of);
  return arrival;
}

TEST(CreditPool, StartsAtTheRunLimitPlusOneForEachCaller) {
  ControllerHarness host(settings_with_capacity());
  EXPECT_DOUBLE_EQ(host.credit, 2 + 4);  // no caller seen yet, so the credit is the complete pool
}
TEST(CreditPool, GrowsByAtLeastOneForEachCallerWithoutOverload) {
  ControllerHarness host(settings_with_capacity());
  for (std::uint32_t k = 0; k < 12; ++k) host.at(milliseconds(1), {make_request(k + 1)});
  host.at(milliseconds(20), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}});
  const double before = host.credit;
  host.at(milliseconds(40), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}});
  EXPECT_GE(host.credit, before + 0.9);
}
TEST(CreditPool, ShrinksWithTheOldestWaitDownToItsFloor) {
  ControllerHarness host(settings_with_capacity());
  for (std::uint32_t k = 0; k < 10; ++k) host.at(milliseconds(1), {make_request(k + 1)});
  host.update_until(milliseconds(20), milliseconds(200), 1.0);
  const double before_overload = host.credit;
  host.update_until(milliseconds(200), milliseconds(1300), 1.0);
  EXPECT_LT(host.credit, before_overload);
  EXPECT_GE(host.credit, 2.0 / 4);  // the run limit over four callers
}
TEST(CreditPool, OneUpdateDecreasesItByAtMostHalf) {
  auto settings = settings_with_capacity();
  settings.classes[0].deadline = settings.classes[0].latency_objective = seconds(3000);
  settings.advertised_value_ttl = seconds(1000);  // no caller is removed
  ControllerHarness host(settings);
  for (std::uint32_t k = 0; k < 40; ++k) host.at(milliseconds(1), {make_request(k + 1, 0, seconds(3000))});
  host.update_until(milliseconds(20), milliseconds(240), 1.0);
  const double before = host.credit;
  host.at(seconds(2000), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}});
  EXPECT_GE(host.credit, before * 0.5 - 3);
  EXPECT_LT(host.credit, before);
}
TEST(Admission, RunsImmediatelyWhileCoresAreFreeAndQueuesTheRest) {
  ControllerHarness host(settings_with_capacity());
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 5; ++k) events.push_back(make_request(k + 1));
  EXPECT_EQ(count<granitegap::Run>(host.at(milliseconds(1), events)), 2);
  EXPECT_EQ(count<Reject>(host.all_actions), 0);
}
TEST(Admission, RejectsRequestsThatCannotMeetTheirObjective) {
  ControllerHarness host(settings_with_capacity());
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 60; ++k) events.push_back(make_request(k + 1));
  const auto out = host.at(milliseconds(1), events);
  EXPECT_GT(count<Reject>(out), 10);
  EXPECT_EQ(count<Reject>(out) + count<SetTimer>(out), 60);  // each is rejected or has a deadline timer
}
TEST(Admission, RejectsWithRetryAfterWhenTheOldestWaitPassesTheDropBound) {
  ControllerHarness host(settings_with_capacity());
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 6; ++k) events.push_back(make_request(k + 1));
  host.at(milliseconds(1), events);
  const auto out = host.at(milliseconds(800), {make_request(90)});
  ASSERT_EQ(count<Reject>(out), 1);
  EXPECT_GT(ControllerHarness::actions_of<Reject>(out)[0].retry_after.count(), 0);
}
TEST(Admission, RejectsArrivalsPastTheirObjectiveWithoutFailover) {
  ControllerHarness host(settings_with_capacity());
  auto arrival = make_request(1);
  arrival.unread_wait = milliseconds(1600);
  const auto out = host.at(seconds(3), {arrival});
  ASSERT_EQ(count<Reject>(out), 1);
  EXPECT_TRUE(ControllerHarness::actions_of<Reject>(out)[0].do_not_retry_elsewhere);
}
TEST(Admission, RejectsRequestsThatExceedTheMemoryLimit) {
  auto settings = settings_with_capacity();
  settings.memory_kb = 100;
  ControllerHarness host(settings);
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 12; ++k) events.push_back(make_request(k + 1));
  const auto out = host.at(milliseconds(1), events);
  EXPECT_EQ(count<granitegap::Run>(out), 1);  // the queued requests leave memory for one run
  EXPECT_GE(count<Reject>(out), 9);
}
TEST(Admission, RejectsAnUnknownClass) {
  ControllerHarness host(settings_with_capacity());
  EXPECT_EQ(count<Reject>(host.at(milliseconds(1), {make_request(1, 77)})), 1);
}
TEST(Admission, IgnoresADuplicateId) {
  ControllerHarness host(settings_with_capacity());
  host.at(milliseconds(1), {make_request(1, 77)});
  host.at(milliseconds(2), {make_request(2)});
  const auto out = host.at(milliseconds(3), {make_request(2)});
  EXPECT_EQ(count<granitegap::Run>(out) + count<Reject>(out) + count<Fail>(out), 0);
}
TEST(TenantQuota, IsNotUsedByCallsInAnInnerTierNorByRejectedAttempts) {
  auto settings = settings_with_capacity();
  settings.tenants[0].quota_per_s = 10;  // one per second on this server
  settings.tier = 1;
  ControllerHarness inner(settings);
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 9; ++k) events.push_back(make_request(k + 1));
  inner.at(milliseconds(1), events);
  inner.update_until(milliseconds(200), milliseconds(240), 1.0);
  EXPECT_EQ(count<Reject>(inner.at(milliseconds(250), {make_request(80)})), 0);
  settings.tier = 0;
  ControllerHarness outer(settings);
  outer.at(milliseconds(1), events);
  outer.update_until(milliseconds(200), milliseconds(240), 1.0);
  EXPECT_EQ(count<Reject>(outer.at(milliseconds(250), {make_request(80)})), 1);
}
TEST(RunLimit, StaysUnderTheConcurrencyThatAColdServerSurvives) {
  auto settings = settings_with_capacity();
  settings.cold = true;
  settings.cold_speed = 0.1;
  settings.cores = 4;
  settings.overload_factor = 2;
  ControllerHarness host(settings);
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 9; ++k) events.push_back(make_request(k + 1));
  EXPECT_LE(count<granitegap::Run>(host.at(milliseconds(1), events)),
            3);  // the server survives 4 cores x 1.1
}
TEST(FinalAnswer, IsGivenWhenTheDeadlineTimerFires) {
  ControllerHarness host(settings_with_capacity());
  std::vector<Event> events;
  for (std::uint32_t k = 0; k < 4; ++k) events.push_back(make_request(k + 1, 2, milliseconds(900)));
  const auto out = host.at(milliseconds(1), events);
  ASSERT_EQ(count<SetTimer>(out), 4);
  std::vector<Event> fired;
  for (const auto& t : ControllerHarness::actions_of<SetTimer>(out)) {
    EXPECT_EQ(t.delay, Duration(milliseconds(900)));
    fired.push_back(TimerFired{t.token, {}, {}, {}, {}});
  }
  const auto ends = host.at(milliseconds(901), fired);
  EXPECT_EQ(count<Fail>(ends), 2);    // the two running requests
  EXPECT_EQ(count<Reject>(ends), 2);  // the two queued requests
}
TEST(FinalAnswer, DoesNotStopAKeyedRunBeforeItsObjectiveIsOver) {
  ControllerHarness host(settings_with_capacity());
  const auto out = host.at(milliseconds(1), {make_request(1, 1, milliseconds(300))});
  const auto ends = host.at(
      milliseconds(301), {TimerFired{ControllerHarness::actions_of<SetTimer>(out)[0].token, {}, {}, {}, {}}});
  EXPECT_EQ(count<Fail>(ends), 1);
  EXPECT_EQ(count<Suspend>(ends), 0);
  EXPECT_EQ(count<ReuseResult>(host.at(milliseconds(400), {make_duplicate(2, 1)})), 1);
  EXPECT_EQ(count<Suspend>(host.at(milliseconds(1600), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}})), 1);
}
TEST(IdempotencyKey, IsCachedBeforeTheRunAndEvictedIfTheRequestNeverRan) {
  auto settings = settings_with_capacity();
  settings.classes[1].priority_weight = 0.1;  // so that it is queued behind the others
  ControllerHarness host(settings);
  const auto out =
      host.at(milliseconds(1), {make_request(1), make_request(2), make_request(3, 1, milliseconds(300))});
  ASSERT_EQ(count<CacheResult>(out), 1);
  EXPECT_GE(ControllerHarness::actions_of<CacheResult>(out)[0].ttl, Duration(milliseconds(6000)));
  ASSERT_EQ(count<granitegap::Run>(out), 2);
  const auto ends = host.at(
      milliseconds(301), {TimerFired{ControllerHarness::actions_of<SetTimer>(out)[2].token, {}, {}, {}, {}}});
  EXPECT_EQ(count<Reject>(ends), 1);  // the request never ran, so it may be rejected
  EXPECT_EQ(count<EvictResult>(ends), 1);
}
TEST(IdempotencyKey, OfARejectedAttemptIsNotCached) {
  ControllerHarness host(settings_with_capacity());
  auto late = make_request(1, 1);
  late.unread_wait = milliseconds(1600);  // past its objective
  EXPECT_EQ(count<CacheResult>(host.at(seconds(2), {late})), 0);
}
TEST(IdempotencyKey, RunsAgainAfterItsWindow) {
  ControllerHarness host(settings_with_capacity());
  auto late = make_request(1, 1);
  late.unread_wait = milliseconds(1600);
  host.at(seconds(2), {late});
  host.at(seconds(3), {make_request(2, 1)});
  host.at(milliseconds(3100), {RunEnded{RequestId(2), RunResult::ok, milliseconds(100)}});
  const auto out =
      host.at(seconds(11), {make_request(3, 1)});  // the host no longer reports an earlier attempt
  EXPECT_EQ(count<CacheResult>(out), 1);
  EXPECT_EQ(count<granitegap::Run>(out), 1);
}
TEST(AbandonedRequest, FreesItsCore) {
  ControllerHarness host(settings_with_capacity());
  host.at(milliseconds(1), {make_request(1), make_request(2), make_request(3)});
  EXPECT_EQ(count<granitegap::Run>(host.at(milliseconds(5), {RequestAbandoned{RequestId(3)}})), 0);
  EXPECT_EQ(count<Suspend>(host.at(milliseconds(9), {RequestAbandoned{RequestId(1)}})), 1);
  const auto out =
      host.at(milliseconds(10), {RunEnded{RequestId(1), RunResult::cancelled, {}}, make_request(4)});
  EXPECT_EQ(count<granitegap::Run>(out), 1);
}
TEST(IdempotencyKey, DuplicatesReuseARunThatIsStartedOrDone) {
  ControllerHarness host(settings_with_capacity());
  host.at(milliseconds(1), {make_request(1, 1)});
  EXPECT_EQ(count<ReuseResult>(host.at(milliseconds(5), {make_duplicate(2, 1)})), 1);
  host.at(milliseconds(100), {RunEnded{RequestId(1), RunResult::ok, milliseconds(99)}});
  const auto out = host.at(milliseconds(200), {make_duplicate(3, 1)});
  EXPECT_EQ(count<ReuseResult>(out), 1);
  EXPECT_EQ(count<granitegap::Run>(out), 0);
}
TEST(DownstreamCall, IsNotRetriedWhenItMayHaveRunAndTheRequestIsFailed) {
  ControllerHarness host(settings_with_capacity());
  host.at(milliseconds(1), {make_request(1, 1)});
  EXPECT_EQ(count<Call>(host.at(milliseconds(50), {CallNeeded{RequestId(1)}})), 1);
  host.at(milliseconds(90), {CallEnded{RequestId(1), CallResult::rejected, milliseconds(40)}});
  EXPECT_EQ(count<Call>(host.at(milliseconds(200), {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}})), 1);
  const auto out =
      host.at(milliseconds(300), {CallEnded{RequestId(1), CallResult::timed_out, milliseconds(100)}});
  EXPECT_EQ(count<Fail>(out), 1);
  EXPECT_EQ(count<Reject>(out) + count<Call>(out), 0);
}
TEST(DownstreamCall, StaysWithinAQuotaUnderOne) {
  auto settings = settings_with_capacity();
  settings.call_quota = 0.02;
  ControllerHarness host(settings);
  host.at(milliseconds(1), {make_request(1, 2)});
  EXPECT_EQ(count<Call>(host.at(milliseconds(50), {CallNeeded{RequestId(1)}})), 0);
}
TEST(Drain, ServesArrivalsWithinTheGraceAndRejectsLaterOnes) {
  ControllerHarness host(settings_with_capacity());
  auto out = host.at(seconds(1), {DrainStarted{seconds(6)}});
  ASSERT_EQ(count<SetHealth>(out), 1);
  EXPECT_FALSE(ControllerHarness::actions_of<SetHealth>(out)[0].healthy);
  EXPECT_EQ(count<granitegap::Run>(host.at(milliseconds(1900), {make_request(1)})), 1);
  auto late_read = make_request(2);
  late_read.unread_wait = milliseconds(400);
  EXPECT_EQ(count<granitegap::Run>(host.at(milliseconds(2300), {late_read})), 1);
  EXPECT_EQ(count<Reject>(host.at(milliseconds(2301), {make_request(3)})), 1);
  EXPECT_EQ(count<Reject>(host.at(milliseconds(6950), {make_duplicate(4, 1)})), 1);
}
// Taking the credit away at the start of a drain would send callers to servers without capacity for them,
// while this server may still run their requests.
TEST(Drain, CallersKeepTheirCreditUntilShortlyBeforeTheGraceEnds) {
  ControllerHarness host(settings_with_capacity());  // the drain grace is 1 s
  host.at(seconds(1), {make_request(1), DrainStarted{seconds(6)}});
  host.update_until(seconds(1), milliseconds(1600), 0.5);
  EXPECT_GT(host.credit, 0);
  host.update_until(milliseconds(1600), milliseconds(1800), 0.5);
  EXPECT_EQ(host.credit, 0);
}
// A controller may be created during the drain, when the kernel starts late. The grace counts from the
// notice.
TEST(Drain, AControllerCreatedDuringTheDrainCountsTheGraceFromItsBeginning) {
  ControllerHarness host(settings_with_capacity());  // the drain grace is 1 s
  host.at(milliseconds(1), {DrainStarted{seconds(6), milliseconds(600)}});
  EXPECT_EQ(count<granitegap::Run>(host.at(milliseconds(390), {make_request(1)})), 1);
  EXPECT_EQ(count<Reject>(host.at(milliseconds(410), {make_request(2)})), 1);
}
// The mean core utilization lags behind the current load, so a run limit that follows it alone would grow
// past the point where the machine thrashes.
TEST(RunLimit, GrowsOnlyWhileRunnableTasksAreFewerThanCores) {
  const auto runs = [](double runnable_tasks) {
    ControllerHarness host(settings_with_capacity());
    for (std::uint32_t id = 1; id <= 12; ++id) host.at(milliseconds(id), {make_request(id)});
    for (auto t = milliseconds(20); t < seconds(1); t += milliseconds(20))
      host.at(t, {TimerFired{TimerToken{0}, 0.5, runnable_tasks, {}, {}}});
    return count<granitegap::Run>(host.all_actions);
  };
  const int cores = int(*settings_with_capacity().cores);
  EXPECT_GT(runs(cores - 1), cores);
  EXPECT_EQ(runs(cores), cores);
}
// Compares the sum of the credits that callers received last and still use with the concurrency that the
// cores survive at that time; no single answer shows this sum. It includes callers that only sent a health
// check, and callers beyond the configured number.
void check_credit_within_budget(std::uint32_t configured, unsigned seed) {
  auto settings = settings_with_capacity();
  settings.cold = true;
  settings.cold_speed = 0.2;
  settings.warm_up = seconds(18);
  settings.cores = 6;
  settings.callers = configured;
  std::mt19937 random(seed);
  ControllerHarness host(settings);
  std::map<std::uint32_t, std::pair<Duration, double>> last_credit;
  std::vector<RequestId> running;
  std::uint32_t next = 0;
  const auto caller_count = configured + configured / 2;
  for (Duration t{}; t < seconds(18); t += milliseconds(20)) {
    std::vector<Event> events{TimerFired{TimerToken{0}, double(random() % 100) / 100, {}, {}, {}}};
    std::vector<std::uint32_t> answered{
        std::uint32_t(random() % caller_count)};  // a caller that only sends a health check
    for (auto k = random() % 4; k > 0; --k) {
      auto arrival = make_request(++next);
      arrival.caller = CallerId(random() % caller_count);
      answered.push_back(std::uint32_t(arrival.caller));
      events.emplace_back(arrival);
    }
    if (!running.empty() && random() % 3 == 0) {
      events.emplace_back(RunEnded{running.front(), RunResult::ok, milliseconds(300)});
      running.erase(running.begin());
    }
    for (const auto& run : ControllerHarness::actions_of<Run>(host.at(t, events))) running.push_back(run.id);
    for (const auto caller : answered) last_credit[caller] = {t, host.credit};
    const double budget = 6 * (1 + 7 * (0.2 + 0.8 * double(t.count()) / 18e6));
    double offered = 0;
    for (const auto& [caller, last] : last_credit)
      if (t - last.first <= seconds(1)) offered += last.second;
    ASSERT_LE(host.credit * configured, 1.03 * budget)
        << configured << " callers, seed " << seed << ", at " << t.count();
    ASSERT_LE(offered, budget + 2 * std::sqrt(budget) + 2) << configured << " callers, seed " << seed;
  }
  EXPECT_GT(next, 500u);
}
TEST(SlowStart, TotalCreditStaysWithinTheSurvivableConcurrency) {
  for (const std::uint32_t callers : {3u, 20u, 30u, 150u})
    for (unsigned seed = 1; seed <= 5; ++seed) check_credit_within_budget(callers, seed);
}
TEST(SlowStart, AdvertisesTheCompletePoolOnceWarm) {
  auto settings = settings_with_capacity();
  settings.cold = true;
  settings.warm_up = seconds(1);
  settings.callers = 150;
  ControllerHarness host(settings);
  host.at(milliseconds(1), {make_request(1)});
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
  host.at(seconds(1), {make_request(1)});  // an earlier time is treated as the latest time seen
  const auto timers = ControllerHarness::actions_of<SetTimer>(host.all_actions);
  EXPECT_EQ(timers.back().delay, Duration(seconds(4)));
}
TEST(AdmissionController, NamesMissingSettingsInOneLog) {
  ControllerHarness host(Settings{});
  EXPECT_EQ(count<Log>(host.all_actions), 1);
  EXPECT_EQ(count<Reject>(host.at(milliseconds(1), {make_request(1)})), 1);
}

TEST(DownstreamCall, AShortCallCountsAsOpenOnlyForItsDuration) {
  auto settings = settings_with_capacity();
  settings.call_quota = 1;
  ControllerHarness host(settings);
  std::vector<Event> first;
  for (std::uint32_t k = 0; k < 2; ++k) first.push_back(make_request(k + 1, 2, seconds(8)));
  host.at(seconds(10), first);
  host.at(milliseconds(10100), {CallNeeded{RequestId(1)}});
  host.at(milliseconds(10130), {CallEnded{RequestId(1), CallResult::ok, milliseconds(30)}});
  // Unless its end is recorded, the first call would count as open until now and use up the window.
  EXPECT_EQ(count<Call>(host.at(milliseconds(15000), {CallNeeded{RequestId(2)}})), 1);
}
TEST(DownstreamCall, ANewInstanceDoesNotUseACompleteWindowAtOnce) {
  auto settings = settings_with_capacity();
  settings.call_quota = 0.9;
  settings.cores = 16;
  ControllerHarness host(settings);
  std::vector<Event> in, calls;
  for (std::uint32_t k = 0; k < 16; ++k) {
    in.push_back(make_request(k + 1, 2, seconds(8)));
    calls.push_back(CallNeeded{RequestId(k + 1)});
  }
  host.at(milliseconds(1), in);
  EXPECT_LE(count<Call>(host.at(milliseconds(50), calls)),
            8);  // one second of the quota; a complete window would allow all sixteen
  EXPECT_GE(count<Call>(host.all_actions), 1);
}
TEST(DownstreamCall, UsesLessOfTheQuotaWhenCallsSlowDown) {
  auto settings = settings_with_capacity();
  settings.call_quota = 20;
  settings.cores = 16;
  for (auto& class_settings : settings.classes)
    class_settings.latency_objective = class_settings.deadline = seconds(60);
  const auto count_calls = [&](Duration run_time) {
    ControllerHarness host(settings);
    std::uint32_t id = 0;
    for (int k = 0; k < 40; ++k) {  // 10 calls of 30 ms, then 30 of the given duration
      const auto at = seconds(10) + k * seconds(6);
      host.at(at, {make_request(++id, 2, seconds(60)), CallNeeded{RequestId(id)}});
      const Duration length = k < 10 ? Duration(milliseconds(30)) : run_time;
      host.at(at + length, {CallEnded{RequestId(id), CallResult::ok, length}});
      host.at(at + length + milliseconds(1), {RunEnded{RequestId(id), RunResult::ok, milliseconds(100)}});
    }
    std::vector<Event> more;
    for (std::uint32_t k = 0; k < 12; ++k) more.push_back(make_request(++id, 2, seconds(60)));
    for (std::uint32_t k = 0; k < 12; ++k) more.push_back(CallNeeded{RequestId(id - k)});
    return count<Call>(host.at(seconds(300), more));
  };
  EXPECT_EQ(count_calls(milliseconds(30)), 12);
  EXPECT_LT(count_calls(milliseconds(900)), 12);  // the quota has room for several times twelve
}
TEST(Rejection, ForbidsFailoverOnlyInPersistentOverload) {
  const auto forbids_failover = [](Duration overloaded) {
    ControllerHarness host(settings_with_capacity());
    std::vector<Event> events;
    for (std::uint32_t k = 0; k < 6; ++k) events.push_back(make_request(k + 1));
    host.at(milliseconds(1), events);
    host.update_until(milliseconds(20), milliseconds(250) + overloaded, 1.0);  // D_t is 2.5 runs of 100 ms
    const auto out =
        ControllerHarness::actions_of<Reject>(host.at(milliseconds(251) + overloaded, {make_request(90)}));
    EXPECT_EQ(out.size(), 1u);
    return !out.empty() && out[0].do_not_retry_elsewhere;
  };
  EXPECT_FALSE(forbids_failover(milliseconds(300)));  // a spike: other servers may have capacity
  EXPECT_TRUE(forbids_failover(milliseconds(800)));
}
TEST(WeightedShedding, ShedsTheLeastWeightFirstWhereRequestsWaitUnread) {
  auto settings = settings_with_capacity();
  for (auto& class_settings : settings.classes)
    class_settings.latency_objective = class_settings.deadline = seconds(20);
  ControllerHarness host(settings);
  std::uint32_t id = 0;
  int rejected[3] = {};
  for (int k = 0; k < 400; ++k) {
    const auto at = milliseconds(20 * (k + 1));
    auto arrival = make_request(++id, std::uint32_t(k % 2),
                                seconds(18));  // class 1 has three times the weight of class 0
    arrival.unread_wait = seconds(3);
    host.at(at, {TimerFired{TimerToken{0}, 1.0, {}, {}, {}}});
    const auto out = host.at(at + milliseconds(1), {arrival});
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
    auto arrival = make_request(++id, 0, seconds(3));
    arrival.unread_wait = milliseconds(900);  // caused by a pause, not by load
    host.at(at, {TimerFired{TimerToken{0}, 0.3, {}, {}, {}}});
    for (const auto& run :
         ControllerHarness::actions_of<granitegap::Run>(host.at(at + milliseconds(1), {arrival})))
      host.at(at + milliseconds(2), {RunEnded{run.id, RunResult::ok, milliseconds(1)}});
  }
  EXPECT_EQ(count<Reject>(host.all_actions), 0);
}
TEST(TenantQuota, ToleratesBurstsOfAQuotaWellUnderOnePerSecond) {
  auto settings = settings_with_capacity();
  settings.servers = 300;
  settings.tenants[0].quota_per_s = 90;  // 0.3 per second on this server
  ControllerHarness host(settings);
  const auto fill_queue = [&](Duration at) {  // two requests run, the others wait past D_t
    std::vector<Event> events;
    for (std::uint32_t k = 0; k < 5; ++k) {
      auto arrival = make_request(100 + k);
      arrival.tenant = TenantId(1);
      events.push_back(arrival);
    }
    host.at(at, events);
    host.update_until(at + milliseconds(20), at + milliseconds(240), 1.0);
  };
  host.update_until(milliseconds(20), seconds(20), 0.3);  // saves up six requests, 20 s at 0.3 per second
  fill_queue(seconds(20));
  for (std::uint32_t k = 0; k < 4; ++k)  // four in a row can be chance and are not over the quota
    EXPECT_EQ(count<Reject>(host.at(milliseconds(20250 + k), {make_request(200 + k)})), 0) << k;
}
TEST(AdmissionController, StaysValidUnderImplausibleCountsGaugesAndQuotas) {
  const double bad[] = {0, -3, 1e18, std::numeric_limits<double>::quiet_NaN(),
                        std::numeric_limits<double>::infinity()};
  for (const double v : bad) {
    auto settings = settings_with_capacity();
    settings.servers = settings.callers = v;
    settings.call_quota = v;
    for (auto& tenant : settings.tenants) tenant.quota_per_s = v;
    ControllerHarness host(settings);
    std::vector<Event> events;
    for (std::uint32_t k = 0; k < 9; ++k) events.push_back(make_request(k + 1));
    EXPECT_EQ(count<granitegap::Run>(host.at(milliseconds(1), events)), 2) << v;
    host.at(milliseconds(2), {CallNeeded{RequestId(1)}});
    host.at(milliseconds(20), {TimerFired{TimerToken{0}, v, v, v, v}});
    EXPECT_TRUE(std::isfinite(host.credit) && host.credit >= 0) << v;
    const auto ends = host.at(milliseconds(30), {TimerFired{TimerToken{0}, {}, {}, {}, {}}});
    EXPECT_GE(count<SetTimer>(ends), 1) << v;
  }
}
TEST(AdmissionController, RemovesCallersThatWereSeenOnce) {
  ControllerHarness host(settings_with_capacity());
  for (std::uint32_t k = 0; k < 3000; ++k) {
    auto arrival = make_request(k + 1);
    arrival.caller = CallerId(k);
    const auto at = milliseconds(20 * (k + 1));
    host.at(at, {TimerFired{TimerToken{0}, 0.5, {}, {}, {}}});
    host.at(at + milliseconds(1), {arrival});
    host.at(at + milliseconds(2), {RunEnded{RequestId(k + 1), RunResult::ok, milliseconds(1)}});
  }
  EXPECT_EQ(count<Reject>(host.all_actions), 0);
  host.update_until(seconds(61), seconds(67), 0.5);
  EXPECT_GE(host.credit,
            2 + 4);  // all callers are removed, so the pool is not divided among every caller ever seen
}

// A slow machine must leave the endpoint list, or callers that ignore credits keep filling it. A server whose
// waits are explained by high concurrency must stay listed.
class EndpointHealthTest : public ::testing::Test {
 protected:
  static Settings settings_that_follow_health() {
    auto settings = settings_with_capacity();
    settings.cold = false;
    settings.endpoint_list_follows_health = true;
    return settings;
  }
  // Serves requests one after the other, each with the given run time and unread wait.
  void serve(int requests, Duration run_time, Duration unread, double runnable_tasks,
             Duration update = milliseconds(20), double core_utilization = 1.0) {
    for (int k = 0; k < requests; ++k) {
      auto arrival = make_request(++last_id_, 0, seconds(4));
      arrival.unread_wait = unread;
      host_.at(at_, {arrival});
      const auto until = at_ + run_time;
      for (; at_ < until; at_ += update)
        host_.at(at_, {TimerFired{TimerToken{0}, core_utilization, runnable_tasks, {}, {}}});
      host_.at(at_, {RunEnded{RequestId(last_id_), RunResult::ok, run_time}});
    }
  }
  std::vector<bool> reported_health() {
    std::vector<bool> reported;
    for (const auto& h : ControllerHarness::actions_of<SetHealth>(host_.all_actions))
      reported.push_back(h.healthy);
    return reported;
  }
  ControllerHarness host_{settings_that_follow_health()};
  Duration at_ = milliseconds(0);
  std::uint32_t last_id_ = 0;
};
TEST_F(EndpointHealthTest, SlowServerLeavesTheEndpointListAndReturns) {
  serve(40, milliseconds(100), milliseconds(0), 1);
  const auto before = reported_health();
  EXPECT_EQ(std::count(before.begin(), before.end(), false), 0);
  serve(8, milliseconds(800), milliseconds(0), 1);  // slow, but no request waits unread yet
  EXPECT_TRUE(reported_health().empty());
  serve(4, milliseconds(800), milliseconds(1200), 1);
  ASSERT_FALSE(reported_health().empty());
  EXPECT_FALSE(reported_health().back());
  host_.update_until(at_, at_ + seconds(7), 0.1);
  EXPECT_TRUE(reported_health().back());
}
TEST_F(EndpointHealthTest, StaysListedWhenOnlyWaitsOrOnlyConcurrencyGrow) {
  serve(40, milliseconds(100), milliseconds(0), 1);
  serve(8, milliseconds(100), milliseconds(1400), 1);  // late, but at its usual run time
  serve(8, milliseconds(800), milliseconds(0), 8);     // slow, with four tasks per core
  serve(8, milliseconds(800), milliseconds(1200), 8);
  const auto reported = reported_health();
  EXPECT_EQ(std::count(reported.begin(), reported.end(), false), 0);
}
TEST_F(EndpointHealthTest, StaysListedInABurstSeenByFewUpdates) {
  serve(40, milliseconds(100), milliseconds(0), 1);
  serve(40, milliseconds(100), milliseconds(1400), 1, milliseconds(20), 0.5);
  serve(8, milliseconds(800), milliseconds(1400), 8, milliseconds(800), 0.5);
  const auto reported = reported_health();
  EXPECT_EQ(std::count(reported.begin(), reported.end(), false), 0);
}

}  // namespace
}  // namespace granitegap
