// Tests of the admission controller's decisions on single requests, on hand-written batches of events.
#include <gtest/gtest.h>

#include <cmath>
#include <limits>

#include "controller_harness.h"

namespace granitegap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ControllerHarness;
using testing::count;
using testing::make_duplicate;
using testing::make_request;
using testing::settings_with_capacity;

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

}  // namespace
}  // namespace granitegap
