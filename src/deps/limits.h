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
  void cap(std::uint32_t most) { cap_ = std::max(most, 1u); }
  void succeeded(Duration took, std::uint32_t open_then);
  void failed();
  // The mean of the newest few answers; zero before the first.
  Duration recent() const { return Duration(std::int64_t(mean_)); }
  void restart();  // the dependency is back: from one
  void rebound(std::uint32_t least, std::uint32_t most);

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
  void succeeded(TimePoint now);
  bool take(TimePoint now);
  double saved(TimePoint now);
  void reset(double share, double burst);

 private:
  double share_, burst_, saved_ = 0;
  TimePoint at_{};
};

// Whether the whole dependency is out: so many failures in a row with no success among them, or most of the
// recent calls. While out, calls don't go to it but for one probe at a time, at growing, bounded pauses with
// jitter. A success ends it.
class Outage {
 public:
  Outage(Duration probe_every, Duration max_probe);
  bool out() const { return out_; }
  // Both return true when the state changes with this end.
  bool succeeded(TimePoint now);
  bool failed(TimePoint now, double random);
  // While out: whether a probe may start now. Only one is open until its end is told.
  bool may_probe(TimePoint now) const { return out_ && !probing_ && now >= next_probe_; }
  void probe_started() { probing_ = true; }
  void probe_now(TimePoint now) { next_probe_ = std::min(next_probe_, now); }  // somebody found it back
  void probe_lost() { probing_ = false; }                                      // abandoned, its end unknown
  TimePoint since() const { return since_; }
  void reset(Duration probe_every, Duration max_probe);

 private:
  void fade(TimePoint now);
  Duration probe_every_, max_probe_, pause_{};
  bool out_ = false, probing_ = false;
  std::uint32_t in_a_row_ = 0;
  double good_ = 0, bad_ = 0;  // fading counts
  TimePoint at_{}, next_probe_{}, since_{};
};

}  // namespace granitegap::deps
