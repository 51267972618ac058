#include "deps/limits.h"

#include <algorithm>
#include <cmath>

namespace granitegap::deps {
namespace {

constexpr double kTolerance = 1.5;            // latency over the best that is taken for noise
constexpr double kGrow = 0.3, kShrink = 0.8;  // of the way that one update goes
constexpr double kMeanGain = 0.2;             // of one answer in the recent mean
constexpr double kBestDrift = 0.005;          // of the way from best to recent, per update
constexpr double kCut = 0.9;
constexpr double kBudgetHalfLife = 10;  // s
constexpr double kOutageHalfLife = 0.5;
constexpr std::uint32_t kOutInARow = 8;
constexpr double kOutCalls = 10, kOutShare = 0.8;
constexpr double kProbeGrowth = 1.6;

double aged(double value, Duration passed, double half_life) {
  if (passed.count() <= 0 || value == 0) return value;
  return value * std::exp2(-std::chrono::duration<double>(passed).count() / half_life);
}

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t least, std::uint32_t most)
    : least_(std::max(least, 1u)), most_(std::max<double>(most, least_)), limit_(most_) {
  limit_ = std::clamp(8.0, least_, most_);  // until latency has been heard of
}

void ConcurrencyLimit::set_bounds(std::uint32_t least, std::uint32_t most) {
  least_ = std::max(least, 1u);
  most_ = std::max<double>(most, least_);
  limit_ = std::clamp(limit_, ramp_to_ > 0 ? 1.0 : least_, most_);
}

void ConcurrencyLimit::on_success(Duration took, std::uint32_t open_then) {
  const double us = std::max<double>(double(took.count()), 1);
  mean_ = mean_ > 0 ? mean_ + kMeanGain * (us - mean_) : us;
  best_ = best_ > 0 ? std::min(best_, mean_) : mean_;
  ++since_cut_;
  if (++ends_ >= std::uint32_t(limit_)) update(open_then);
}

void ConcurrencyLimit::update(std::uint32_t open_then) {
  ends_ = 0;
  best_ += kBestDrift * (mean_ - best_);
  if (ramp_to_ > 0) {
    limit_ = std::min(limit_ * 2, ramp_to_);
    if (limit_ >= ramp_to_) ramp_to_ = 0;
    return;
  }
  const double gradient = std::clamp(kTolerance * best_ / mean_, 0.5, 1.0);
  // Guards against a limit that grows while nothing presses against it, and so protects nothing later.
  if (gradient >= 1 && open_then * 2 < std::uint32_t(limit_)) return;
  const double next = limit_ * gradient + std::sqrt(limit_);
  limit_ = std::clamp(limit_ + (next > limit_ ? kGrow : kShrink) * (next - limit_), least_, most_);
}

void ConcurrencyLimit::on_failure() {
  if (++since_cut_ < std::uint32_t(limit_)) return;
  since_cut_ = 0;
  limit_ = std::clamp(limit_ * kCut, ramp_to_ > 0 ? 1.0 : least_, most_);
}

void ConcurrencyLimit::begin_slow_start() {
  ramp_to_ = std::max(limit_, least_);
  limit_ = 1;
  ends_ = since_cut_ = 0;
}

double RetryBudget::balance(TimePoint now) {
  balance_ = aged(balance_, now - at_, kBudgetHalfLife);
  at_ = std::max(at_, now);
  return balance_;
}

void RetryBudget::deposit(TimePoint now) { balance_ = std::min(balance(now) + share_, burst_); }

bool RetryBudget::try_withdraw(TimePoint now) {
  if (balance(now) < 1) return false;
  balance_ -= 1;
  return true;
}

void RetryBudget::configure(double share, double burst) {
  share_ = share;
  burst_ = burst;
  balance_ = std::min(balance_, burst_);
}

CircuitBreaker::CircuitBreaker(Duration probe_interval, Duration max_probe_interval) {
  configure(probe_interval, max_probe_interval);
}

void CircuitBreaker::configure(Duration probe_interval, Duration max_probe_interval) {
  probe_every_ = std::max(probe_interval, Duration(1));
  max_probe_ = std::max(max_probe_interval, probe_every_);
}

void CircuitBreaker::fade(TimePoint now) {
  good_ = aged(good_, now - at_, kOutageHalfLife);
  bad_ = aged(bad_, now - at_, kOutageHalfLife);
  at_ = std::max(at_, now);
}

bool CircuitBreaker::on_success(TimePoint now) {
  fade(now);
  good_ += 1;
  in_a_row_ = 0;
  probing_ = false;
  if (!open_) return false;
  open_ = false;
  good_ = bad_ = 0;
  return true;
}

bool CircuitBreaker::on_failure(TimePoint now, double random) {
  fade(now);
  bad_ += 1;
  ++in_a_row_;
  // The pause until the next probe counts from its end, and half of it is chance: instances that saw the same
  // outage must not probe in step.
  const auto next = [&] {
    next_probe_ = now + Duration(std::llround(double(pause_.count()) * (0.5 + random / 2)));
  };
  if (open_) {
    if (!probing_) return false;  // a call from before the outage
    probing_ = false;
    pause_ = std::min(Duration(std::llround(double(pause_.count()) * kProbeGrowth)), max_probe_);
    next();
    return false;
  }
  const bool most = good_ + bad_ >= kOutCalls && bad_ > kOutShare * (good_ + bad_);
  if (in_a_row_ < kOutInARow && !most) return false;
  open_ = true;
  probing_ = false;
  opened_at_ = now;
  pause_ = probe_every_;
  next();
  return true;
}

}  // namespace granitegap::deps
