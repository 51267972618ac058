// Tests of how the admission controller limits its load: credits, runs, quotas, shedding and endpoint health.
// The batches of events are hand-written.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>

#include "controller_harness.h"

namespace granitegap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ControllerHarness;
using testing::count;
using testing::make_request;
using testing::settings_with_capacity;

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
