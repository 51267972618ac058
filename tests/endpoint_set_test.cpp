// Tests of load balancing and outlier detection over the endpoints of a dependency.
#include <gtest/gtest.h>

#include "deps/endpoints.h"

namespace granitegap::deps {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(EndpointSet, EjectsUpToTheMaximumRatioAndAllowsOneTrialCall) {
  DependencySpec spec;
  for (unsigned i = 0; i < 4; ++i) spec.endpoints.push_back({"127.0.0.1", std::uint16_t(9000 + i)});
  EndpointSet set(spec);
  TimePoint now(seconds(10));
  const auto fail = [&](EndpointSet::Index i, int times) {
    for (int k = 0; k < times; ++k) {
      set.on_call_started(i);
      set.on_failure(i, now);
    }
  };
  fail(0, 5);
  EXPECT_TRUE(set.is_ejected(0));
  fail(1, 5);
  fail(2, 50);
  fail(3, 50);
  EXPECT_EQ(set.ejected_count(), 2u);  // max_ejection_ratio allows half of the four
  for (int i = 0; i < 100; ++i) EXPECT_GE(*set.pick(now, i / 100.0, 0.3), 2u);
  // After the ejection time the endpoint gets one call, and no second one while the first is in flight.
  now += milliseconds(500);
  const auto first_trial = set.pick(now, 0.9, 0.9);
  ASSERT_EQ(first_trial, 0u);
  set.on_call_started(0);
  const auto second_trial = set.pick(now, 0.9, 0.9);
  ASSERT_EQ(second_trial, 1u);
  set.on_call_started(1);
  for (int i = 0; i < 100; ++i) EXPECT_GE(*set.pick(now, i / 100.0, 0.3), 2u);
  // After a failed trial the endpoint is ejected for twice as long. The other endpoint succeeds and begins a
  // slow start.
  set.on_failure(0, now);
  set.on_success(1, milliseconds(1), now);
  now += milliseconds(999);
  EXPECT_TRUE(set.is_ejected(0));
  int slow_start_picks = 0;
  for (int i = 0; i < 400; ++i) {
    const int row = i / 20;
    const auto picked = *set.pick(now - milliseconds(999), (i % 20) / 20.0, row / 20.0);
    slow_start_picks += picked == 1;
  }
  EXPECT_LT(slow_start_picks, 40);
  EXPECT_EQ(set.pick(now + milliseconds(1), 0.5, 0.5), 0u);
}

TEST(EndpointSet, PicksTheFasterAndLessLoadedOfTwo) {
  DependencySpec spec;
  spec.endpoints = {{"127.0.0.1", 9000}, {"127.0.0.1", 9001}};
  EndpointSet set(spec);
  TimePoint now(seconds(10));
  for (const EndpointSet::Index i : {0u, 1u}) set.on_call_started(i);
  set.on_success(0, milliseconds(100), now);
  set.on_success(1, milliseconds(5), now);
  EXPECT_EQ(set.pick(now, 0.1, 0.1), 1u);
  for (int i = 0; i < 30; ++i) set.on_call_started(1);
  EXPECT_EQ(set.pick(now, 0.1, 0.1), 0u);
  EXPECT_EQ(set.pick(now, 0.1, 0.1, 0), 1u);  // the endpoint of the other attempt is avoided
  set.set_retry_after(1, now + seconds(1));
  EXPECT_EQ(set.pick(now, 0.1, 0.1, 0), 0u);  // unless no other endpoint is available
}

}  // namespace
}  // namespace granitegap::deps
