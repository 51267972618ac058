// Decides how long a restarted process must reject requests with an idempotency key. A previous incarnation
// under the same name may have run a request that is now retried.
//
// Performs no I/O and reads no clock. Time points are those of this process's steady clock. Not thread-safe.
//
// Why the quarantine is sufficient: an attempt must not run if its t0 lies within the idempotency window W of
// the t0 of an attempt that ran. A previous incarnation ran its last attempt no later than its own end E,
// with a t0 no later than E plus the clock skew. An attempt that reached this machine after E + W + margin is
// therefore outside every window; one that reached it earlier may be inside one. E is not known. The lowest
// of these upper bounds is used:
//   - The start of this process, because any previous process with this name has ended by then. This bound
//     always holds. It uses only the steady clock, so that a change of the Unix clock has no effect.
//   - A clean shutdown that the last incarnation recorded at its end, by a clock that both share (the same
//   boot
//     of the machine). The record is no longer valid once another incarnation has started, so it is removed
//     before it is used. While the removal fails, as on a disk that can't be written, every request with a
//     key stays rejected: otherwise the next incarnation would find the record and attribute it to this one.
// These are not bounds: a snapshot, because the incarnation that took it continued to run; peers that
// consider the previous incarnation dead, because it may be partitioned or paused; peers that saw it leave,
// because another incarnation may have run since. If another process is found alive under this name, the
// bound rises to when it was last seen, because its runs are not known here. If the Unix clock is behind the
// time that a previous incarnation wrote, the t0 values of that incarnation lie ahead by the difference. The
// bound grows by the difference, up to a declared limit past which the old clock is considered wrong.
#pragma once
#include <optional>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::recovery {

// What the state directory shows about the previous incarnation.
struct PreviousIncarnation {
  // Time since its clean shutdown, by a clock that both share. Set only once its record has been removed.
  std::optional<Duration> clean_shutdown_age;
  bool shutdown_record_remains = false;  // a record exists or may exist, and could not be removed
  Duration clock_setback{};              // how far the Unix clock is behind the time that it wrote
};

// Rejects requests with an idempotency key until no attempt can lie within a previous incarnation's window.
class RestartQuarantine {
 public:
  struct Options {
    std::vector<Duration> idempotency_windows;  // by class; zero: the class has no idempotency keys
    Duration clock_skew_margin = std::chrono::seconds(2);  // covers the callers' clocks and transit time
    Duration max_clock_setback = std::chrono::hours(1);    // upper bound of clock_setback
    // Whether a state directory is declared. Until it has been read, it may contain a shutdown record.
    bool has_state_directory = false;
  };
  RestartQuarantine(Options options, TimePoint started);
  // Applies what was found in the state directory at `now`.
  void on_previous_incarnation(const PreviousIncarnation& found, TimePoint now);
  // Reports whether another process is alive under this name.
  void on_name_conflict(bool present, TimePoint now);

  // Whether an attempt that reached the machine at `reached` may lie within a previous incarnation's window.
  bool is_quarantined(ClassId cls, TimePoint reached) const { return reached < quarantined_until(cls); }
  // Returns the end of the class's quarantine: TimePoint::min() if it has none, TimePoint::max() if the end
  // is not known.
  TimePoint quarantined_until(ClassId cls) const;
  // Returns the latest quarantined_until() of all classes.
  TimePoint last_quarantine_end() const;

 private:
  Options options_;
  TimePoint latest_end_;  // upper bound of when the previous incarnations ended
  Duration clock_setback_{};
  bool record_may_remain_ = false;
  bool name_conflict_ = false;
};

}  // namespace granitegap::recovery
