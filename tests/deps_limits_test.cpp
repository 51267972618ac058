// Tests of the limits of one dependency: latency window, concurrency limit and retry budget.
#include <gtest/gtest.h>

#include "deps/latency_window.h"
#include "deps/limits.h"

namespace granitegap::deps {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(LatencyWindow, ReportsQuantilesOfASlidingWindow) {
  LatencyWindow window;
  TimePoint now(seconds(100));
  for (int i = 1; i <= 1000; ++i) window.record(milliseconds(i), now);
  EXPECT_NEAR(double(window.quantile(0.5, now)->count()), 500e3, 500e3 * 0.07);
  EXPECT_NEAR(double(window.quantile(0.99, now)->count()), 990e3, 990e3 * 0.07);
  now += seconds(5);
  for (int i = 0; i < 10000; ++i) window.record(milliseconds(10), now);
  EXPECT_NEAR(double(window.quantile(0.5, now)->count()), 10e3, 10e3 * 0.07);
  now += seconds(6);  // the first 1000 samples have expired
  EXPECT_EQ(window.samples(now), 10000u);
  now += seconds(60);
  EXPECT_FALSE(window.quantile(0.5, now));
  window.record(Duration(0), now);
  window.record(std::chrono::hours(5), now - seconds(30));  // an earlier time stamp expires nothing
  EXPECT_EQ(window.samples(now), 2u);
}

TEST(ConcurrencyLimit, ShrinksWhenLatencyRisesAndGrowsWhenItFalls) {
  ConcurrencyLimit limit(2, 64);
  for (int i = 0; i < 3000; ++i) limit.on_success(milliseconds(10), limit.limit());
  EXPECT_GT(limit.limit(), 40u);
  for (int i = 0; i < 300; ++i) limit.on_success(milliseconds(100), limit.limit());
  EXPECT_LT(limit.limit(), 12u);
  for (int i = 0; i < 3000; ++i) limit.on_success(milliseconds(10), limit.limit());
  EXPECT_GT(limit.limit(), 40u);
  limit.begin_slow_start();
  EXPECT_EQ(limit.limit(), 1u);
  limit.on_success(milliseconds(10), 1);
  EXPECT_EQ(limit.limit(), 2u);
}

TEST(RetryBudget, BalanceDecaysAndIsBounded) {
  RetryBudget budget(0.1, 3);
  TimePoint now(seconds(1));
  EXPECT_FALSE(budget.try_withdraw(now));
  for (int i = 0; i < 1000; ++i) budget.deposit(now);
  EXPECT_DOUBLE_EQ(budget.balance(now), 3);
  EXPECT_TRUE(budget.try_withdraw(now));
  EXPECT_NEAR(budget.balance(now + seconds(10)), 1, 1e-9);
  EXPECT_FALSE(budget.try_withdraw(now + seconds(11)));
}

}  // namespace
}  // namespace granitegap::deps
