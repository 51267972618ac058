#include "deps/limits.h"

#include <algorithm>
#include <cmath>

namespace granitegap::deps {
namespace {

constexpr double kInitialLimit = 8;  // limit before the first latency samples
constexpr double kTolerance = 1.5;   // ratio of recent to best latency that is treated as noise
constexpr double kMinGradient = 0.5;
constexpr double kGrowth = 0.3, kShrink = 0.8;  // fraction of the distance to the target per update
constexpr double kLatencyGain = 0.2;            // weight of one answer in the recent latency
constexpr double kBestDrift = 0.005;            // fraction of the distance from best to recent per update
constexpr double kFailureCut = 0.9;             // factor applied to the limit on a failure

constexpr double kBudgetHalfLifeSeconds = 10;

constexpr double kCircuitHalfLifeSeconds = 0.5;  // half-life of the counts of recent calls
constexpr std::uint32_t kConsecutiveFailures = 8;
constexpr double kMinCalls = 10, kMaxFailureRatio = 0.8;
constexpr double kProbeIntervalGrowth = 1.6;

double decayed(double value, Duration passed, double half_life_seconds) {
  if (passed.count() <= 0 || value == 0) return value;
  return value * std::exp2(-std::chrono::duration<double>(passed).count() / half_life_seconds);
}

Duration scaled(Duration duration, double factor) {
  return Duration(std::llround(double(duration.count()) * factor));
}

}  // namespace

// ---- ConcurrencyLimit ----

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t min, std::uint32_t max)
    : min_(std::max(min, 1u)),
      max_(std::max<double>(max, min_)),
      limit_(std::clamp(kInitialLimit, min_, max_)) {}

void ConcurrencyLimit::set_bounds(std::uint32_t min, std::uint32_t max) {
  min_ = std::max(min, 1u);
  max_ = std::max<double>(max, min_);
  limit_ = std::clamp(limit_, min_limit(), max_);
}

void ConcurrencyLimit::on_success(Duration took, std::uint32_t in_flight) {
  const double us = std::max<double>(double(took.count()), 1);
  recent_us_ = recent_us_ > 0 ? recent_us_ + kLatencyGain * (us - recent_us_) : us;
  best_us_ = best_us_ > 0 ? std::min(best_us_, recent_us_) : recent_us_;
  ++completions_since_cut_;
  ++answers_since_update_;
  if (answers_since_update_ >= std::uint32_t(limit_)) update(in_flight);
}

void ConcurrencyLimit::update(std::uint32_t in_flight) {
  answers_since_update_ = 0;
  best_us_ += kBestDrift * (recent_us_ - best_us_);
  if (in_slow_start()) {
    limit_ = std::min(limit_ * 2, slow_start_target_);
    if (limit_ >= slow_start_target_) slow_start_target_ = 0;
    return;
  }
  const double gradient = std::clamp(kTolerance * best_us_ / recent_us_, kMinGradient, 1.0);
  // A limit that is not used must not grow: it would be too high to protect the dependency under load.
  const bool is_used = in_flight * 2 >= std::uint32_t(limit_);
  if (gradient >= 1 && !is_used) return;
  const double target = limit_ * gradient + std::sqrt(limit_);
  const double smoothing = target > limit_ ? kGrowth : kShrink;
  limit_ = std::clamp(limit_ + smoothing * (target - limit_), min_, max_);
}

void ConcurrencyLimit::on_failure() {
  ++completions_since_cut_;
  if (completions_since_cut_ < std::uint32_t(limit_)) return;
  completions_since_cut_ = 0;
  limit_ = std::clamp(limit_ * kFailureCut, min_limit(), max_);
}

void ConcurrencyLimit::begin_slow_start() {
  slow_start_target_ = std::max(limit_, min_);
  limit_ = 1;
  answers_since_update_ = 0;
  completions_since_cut_ = 0;
}

// ---- RetryBudget ----

void RetryBudget::configure(double ratio, double max_balance) {
  ratio_ = ratio;
  max_balance_ = max_balance;
  balance_ = std::min(balance_, max_balance_);
}

double RetryBudget::balance(TimePoint now) {
  balance_ = decayed(balance_, now - updated_, kBudgetHalfLifeSeconds);
  updated_ = std::max(updated_, now);
  return balance_;
}

void RetryBudget::deposit(TimePoint now) { balance_ = std::min(balance(now) + ratio_, max_balance_); }

bool RetryBudget::try_withdraw(TimePoint now) {
  if (balance(now) < 1) return false;
  balance_ -= 1;
  return true;
}

// ---- CircuitBreaker ----

CircuitBreaker::CircuitBreaker(Duration probe_interval, Duration max_probe_interval) {
  configure(probe_interval, max_probe_interval);
}

void CircuitBreaker::configure(Duration probe_interval, Duration max_probe_interval) {
  min_probe_interval_ = std::max(probe_interval, Duration(1));
  max_probe_interval_ = std::max(max_probe_interval, min_probe_interval_);
}

void CircuitBreaker::decay(TimePoint now) {
  successes_ = decayed(successes_, now - updated_, kCircuitHalfLifeSeconds);
  failures_ = decayed(failures_, now - updated_, kCircuitHalfLifeSeconds);
  updated_ = std::max(updated_, now);
}

// Half of the interval is jitter, so that processes that detected the same outage do not probe in step.
void CircuitBreaker::schedule_probe(TimePoint now, double random) {
  next_probe_ = now + scaled(interval_, 0.5 + random / 2);
}

bool CircuitBreaker::on_success(TimePoint now) {
  decay(now);
  successes_ += 1;
  consecutive_failures_ = 0;
  is_probing_ = false;
  if (!is_open_) return false;
  is_open_ = false;
  successes_ = 0;
  failures_ = 0;
  return true;
}

bool CircuitBreaker::on_failure(TimePoint now, double random) {
  decay(now);
  failures_ += 1;
  ++consecutive_failures_;
  if (is_open_) {
    if (!is_probing_) return false;  // the call began before the breaker opened
    is_probing_ = false;
    interval_ = std::min(scaled(interval_, kProbeIntervalGrowth), max_probe_interval_);
    schedule_probe(now, random);
    return false;
  }
  const double calls = successes_ + failures_;
  const bool most_failed = calls >= kMinCalls && failures_ > kMaxFailureRatio * calls;
  if (consecutive_failures_ < kConsecutiveFailures && !most_failed) return false;
  is_open_ = true;
  is_probing_ = false;
  opened_at_ = now;
  interval_ = min_probe_interval_;
  schedule_probe(now, random);
  return true;
}

}  // namespace granitegap::deps
