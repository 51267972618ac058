// How much is asked of one dependency: the adaptive concurrency limit, the retry budget and the circuit
// breaker.
//
// Value types without clock, randomness or I/O, used by one thread.
#pragma once
#include <algorithm>
#include <cstdint>

#include "granitegap/policy.h"

namespace granitegap::deps {

// An adaptive concurrency limit: the gradient algorithm of Netflix's concurrency-limits. Once for every
// limit's worth of answers
//
//   limit <- limit * clamp(tolerance * best / recent, 0.5, 1) + sqrt(limit)     (smoothed)
//
// with `recent` the mean of the newest latencies and `best` its minimum, which drifts upwards slowly so that
// a lasting change becomes the new normal. The gradient shrinks the limit within a few answers when queues
// build up in the dependency; the square root is the headroom to grow again. docs/dependencies.md compares it
// with AIMD and with Vegas.
//
// A failure shrinks the limit by a tenth, at most once for every limit's worth of answers. After an outage a
// slow start doubles it from one with every limit's worth of successes, up to where it was.
class ConcurrencyLimit {
 public:
  // `min`, `max`: bounds of the limit, in attempts in flight.
  ConcurrencyLimit(std::uint32_t min, std::uint32_t max);

  // Most attempts that may be in flight now; at least 1.
  std::uint32_t limit() const { return std::min(std::uint32_t(limit_), cap_); }

  static constexpr std::uint32_t kNoCap = ~0u;
  // An upper bound besides the learned limit: this process's share of a fleet-wide bound. At least 1.
  void set_cap(std::uint32_t cap) { cap_ = std::max(cap, 1u); }
  void set_bounds(std::uint32_t min, std::uint32_t max);

  // `in_flight`: attempts in flight when the answer came, the answered one included.
  void on_success(Duration took, std::uint32_t in_flight);
  void on_failure();
  // The dependency is back after an outage.
  void begin_slow_start();

  // Mean of the newest few latencies; zero before the first.
  Duration recent_latency() const { return Duration(std::int64_t(recent_us_)); }

 private:
  void update(std::uint32_t in_flight);
  bool in_slow_start() const { return slow_start_target_ > 0; }
  double min_limit() const { return in_slow_start() ? 1.0 : min_; }

  double min_, max_, limit_;
  double best_us_ = 0, recent_us_ = 0;
  double slow_start_target_ = 0;  // zero outside of slow start
  std::uint32_t answers_since_update_ = 0, ends_since_cut_ = 0;
  std::uint32_t cap_ = kNoCap;
};

// Pays for retries and hedges out of recent successes, as Finagle's RetryBudget does: each success deposits
// `ratio` of an attempt, up to `max_balance`, and each extra attempt withdraws one. The balance halves every
// ten seconds, so that a calm hour does not pay for a retry storm. While nothing succeeds there are no
// retries.
class RetryBudget {
 public:
  RetryBudget(double ratio, double max_balance) : ratio_(ratio), max_balance_(max_balance) {}
  void configure(double ratio, double max_balance);
  // For a success.
  void deposit(TimePoint now);
  // True when an extra attempt may be made; it is paid for then.
  [[nodiscard]] bool try_withdraw(TimePoint now);
  // In attempts.
  double balance(TimePoint now);

 private:
  double ratio_, max_balance_, balance_ = 0;
  TimePoint updated_{};
};

// Stops calling a dependency that is down. It opens after consecutive failures, or when most of the recent
// calls failed. While it is open, one probe at a time is let through (half-open), at intervals that grow up
// to a bound, with jitter. A success closes it.
class CircuitBreaker {
 public:
  CircuitBreaker(Duration probe_interval, Duration max_probe_interval);
  void configure(Duration probe_interval, Duration max_probe_interval);

  bool is_open() const { return is_open_; }
  TimePoint opened_at() const { return opened_at_; }

  // Both return true when the state has changed. `random`: a draw from [0, 1), the jitter of the next probe.
  [[nodiscard]] bool on_success(TimePoint now);
  [[nodiscard]] bool on_failure(TimePoint now, double random);

  // Whether a probe may start now: the breaker is open, its interval is over and no other probe in flight.
  bool may_probe(TimePoint now) const { return is_open_ && !is_probing_ && now >= next_probe_; }
  // A probe is followed by on_success(), on_failure() or on_probe_cancelled().
  void on_probe_started() { is_probing_ = true; }
  void on_probe_cancelled() { is_probing_ = false; }
  // Another member of the fleet found the dependency back: the next probe is due.
  void probe_now(TimePoint now) { next_probe_ = std::min(next_probe_, now); }

 private:
  void decay(TimePoint now);
  void schedule_probe(TimePoint now, double random);

  Duration min_probe_interval_, max_probe_interval_, interval_{};
  bool is_open_ = false, is_probing_ = false;
  std::uint32_t consecutive_failures_ = 0;
  double successes_ = 0, failures_ = 0;  // decaying counts
  TimePoint updated_{}, next_probe_{}, opened_at_{};
};

}  // namespace granitegap::deps
