// Limits on the load that one dependency receives: the adaptive concurrency limit, the retry budget and the
// circuit breaker.
//
// Value types without clock, randomness or I/O, used by one thread.
#pragma once
#include <algorithm>
#include <cstdint>

#include "granitegap/policy.h"

namespace granitegap::deps {

// An adaptive concurrency limit by the gradient algorithm of Netflix's concurrency-limits. After as many
// answers as the limit allows attempts in flight, it is updated:
//
//   limit <- limit * clamp(tolerance * best / recent, 0.5, 1) + sqrt(limit)     (smoothed)
//
// `recent` is the mean of the newest latencies. `best` is the minimum of `recent`; it drifts upwards slowly,
// so that it adapts to a lasting change. The gradient shrinks the limit within a few answers when queues
// build up in the dependency; the square root is the headroom to grow again. docs/dependencies.md compares it
// with AIMD and with Vegas.
//
// A failure shrinks the limit by a tenth, at most once per `limit` completed attempts. After an outage, a
// slow start begins at one and doubles the limit after every `limit` successes, up to its value before the
// outage.
class ConcurrencyLimit {
 public:
  // `min`, `max`: bounds of the limit, in attempts in flight.
  ConcurrencyLimit(std::uint32_t min, std::uint32_t max);

  // Returns the maximum number of attempts in flight; at least 1.
  std::uint32_t limit() const { return std::min(std::uint32_t(limit_), cap_); }

  static constexpr std::uint32_t kNoCap = ~0u;
  // Sets an upper bound on the adaptive limit: the share of this process in a fleet-wide limit. At least 1.
  void set_cap(std::uint32_t cap) { cap_ = std::max(cap, 1u); }
  void set_bounds(std::uint32_t min, std::uint32_t max);

  // `in_flight`: attempts in flight when the answer came, the answered one included.
  void on_success(Duration took, std::uint32_t in_flight);
  void on_failure();
  // Called when the dependency has recovered from an outage.
  void begin_slow_start();

  // Returns the moving average of the latencies, weighted towards the newest; zero before the first.
  Duration recent_latency() const { return Duration(std::int64_t(recent_us_)); }

 private:
  void update(std::uint32_t in_flight);
  bool in_slow_start() const { return slow_start_target_ > 0; }
  double min_limit() const { return in_slow_start() ? 1.0 : min_; }

  double min_, max_, limit_;
  double best_us_ = 0, recent_us_ = 0;
  double slow_start_target_ = 0;  // zero when no slow start is in progress
  std::uint32_t answers_since_update_ = 0, completions_since_cut_ = 0;
  std::uint32_t cap_ = kNoCap;
};

// Limits retries and hedged requests to a share of the recent successes, as Finagle's RetryBudget does: each
// success deposits `ratio` of an attempt, up to `max_balance`, and each extra attempt withdraws one. The
// balance halves every ten seconds, so that a balance saved up without failures does not permit a retry storm
// later. Without successes there are no retries.
class RetryBudget {
 public:
  RetryBudget(double ratio, double max_balance) : ratio_(ratio), max_balance_(max_balance) {}
  void configure(double ratio, double max_balance);
  // Credits one success.
  void deposit(TimePoint now);
  // Withdraws one attempt. Returns false, and withdraws nothing, when the balance is below one.
  [[nodiscard]] bool try_withdraw(TimePoint now);
  // Returns the balance in attempts.
  double balance(TimePoint now);

 private:
  double ratio_, max_balance_, balance_ = 0;
  TimePoint updated_{};
};

// Stops calls to a dependency that is unavailable. It opens after consecutive failures, or when most of the
// recent calls failed. While it is open, one probe at a time is allowed (half-open), at intervals that grow
// up to a bound, with jitter. A success closes it.
class CircuitBreaker {
 public:
  CircuitBreaker(Duration probe_interval, Duration max_probe_interval);
  void configure(Duration probe_interval, Duration max_probe_interval);

  bool is_open() const { return is_open_; }
  TimePoint opened_at() const { return opened_at_; }

  // Both return true when the breaker has opened or closed. `random`: a draw from [0, 1), the jitter of the
  // next probe.
  [[nodiscard]] bool on_success(TimePoint now);
  [[nodiscard]] bool on_failure(TimePoint now, double random);

  // Returns true if a probe may start: the breaker is open, the interval is over and no other probe is in
  // flight.
  bool may_probe(TimePoint now) const { return is_open_ && !is_probing_ && now >= next_probe_; }
  // Every on_probe_started() is followed by on_success(), on_failure() or on_probe_cancelled().
  void on_probe_started() { is_probing_ = true; }
  void on_probe_cancelled() { is_probing_ = false; }
  // Makes the next probe due, after another member of the fleet found the dependency available.
  void probe_now(TimePoint now) { next_probe_ = std::min(next_probe_, now); }

 private:
  void decay(TimePoint now);
  void schedule_probe(TimePoint now, double random);

  Duration min_probe_interval_, max_probe_interval_, interval_{};
  bool is_open_ = false, is_probing_ = false;
  std::uint32_t consecutive_failures_ = 0;
  double successes_ = 0, failures_ = 0;  // exponentially decaying counts
  TimePoint updated_{}, next_probe_{}, opened_at_{};
};

}  // namespace granitegap::deps
