// How much may be asked of one dependency: how many calls at once, and how many tries beyond the first.
#pragma once
#include <algorithm>
#include <cstdint>

#include "granitegap/policy.h"

namespace granitegap::deps {

// The concurrency limit follows latency: limit <- limit * clamp(kTolerance * best / recent, 0.5, 1) +
// sqrt(limit), smoothed, once for every limit's worth of answers. `best` is the least recent mean and drifts
// up slowly, so that a lasting change becomes the new usual. The gradient cuts within a few answers when
// queues build below, and the square root is the headroom that lets it find the way up again; see
// docs/dependencies.md for why not AIMD on losses, or Vegas' fixed queue.
//
// A failed call cuts it by a tenth, at most once for every limit's worth of ends. After an outage it starts
// from one and doubles with every limit's worth of successes up to where it stood: slow start.
class ConcurrencyLimit {
 public:
  ConcurrencyLimit(std::uint32_t least, std::uint32_t most);
  std::uint32_t limit() const { return std::min(std::uint32_t(limit_), cap_); }
  // This process's share of what a fleet may have open, over whatever it has learned; 1 at the least.
  void set_cap(std::uint32_t most) { cap_ = std::max(most, 1u); }
  void on_success(Duration took, std::uint32_t open_then);
  void on_failure();
  // The mean of the newest few answers; zero before the first.
  Duration recent_latency() const { return Duration(std::int64_t(mean_)); }
  void begin_slow_start();  // the dependency is back: from one
  void set_bounds(std::uint32_t least, std::uint32_t most);

 private:
  void update(std::uint32_t open_then);
  double least_, most_, limit_;
  double best_ = 0, mean_ = 0;  // us
  double ramp_to_ = 0;          // slow start is on while above zero
  std::uint32_t ends_ = 0, since_cut_ = 0, cap_ = ~0u;
};

// Tries beyond the first are paid for by recent successes: each saves `share` of a try, up to `burst`, and
// what is saved fades with a half-life, so that calm hours don't pay for a storm. When nothing succeeds,
// nothing is tried again: guards against retries that multiply the load on what fails.
class RetryBudget {
 public:
  RetryBudget(double share, double burst) : share_(share), burst_(burst) {}
  void deposit(TimePoint now);
  bool try_withdraw(TimePoint now);
  double balance(TimePoint now);
  void configure(double share, double burst);

 private:
  double share_, burst_, balance_ = 0;
  TimePoint at_{};
};

// Whether the whole dependency is out: so many failures in a row with no success among them, or most of the
// recent calls. While out, calls don't go to it but for one probe at a time, at growing, bounded pauses with
// jitter. A success ends it.
class CircuitBreaker {
 public:
  CircuitBreaker(Duration probe_interval, Duration max_probe_interval);
  bool is_open() const { return open_; }
  // Both return true when the state changes with this end.
  bool on_success(TimePoint now);
  bool on_failure(TimePoint now, double random);
  // While out: whether a probe may start now. Only one is open until its end is told.
  bool may_probe(TimePoint now) const { return open_ && !probing_ && now >= next_probe_; }
  void on_probe_started() { probing_ = true; }
  void probe_now(TimePoint now) { next_probe_ = std::min(next_probe_, now); }  // somebody found it back
  void on_probe_cancelled() { probing_ = false; }                              // abandoned, its end unknown
  TimePoint opened_at() const { return opened_at_; }
  void configure(Duration probe_interval, Duration max_probe_interval);

 private:
  void fade(TimePoint now);
  Duration probe_every_, max_probe_, pause_{};
  bool open_ = false, probing_ = false;
  std::uint32_t in_a_row_ = 0;
  double good_ = 0, bad_ = 0;  // fading counts
  TimePoint at_{}, next_probe_{}, opened_at_{};
};

}  // namespace granitegap::deps
