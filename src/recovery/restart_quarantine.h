// How long a restarted process must reject requests with an idempotency key: an earlier incarnation under its
// name may have run one that is now retried. No I/O, no clock; time points are those of this process's steady
// clock. Not thread-safe.
//
// The argument. No attempt may run that is written within the idempotency window W of the t0 of the attempt
// that ran. An earlier incarnation ran its last one no later than its own end E, with a t0 no later than E
// plus the clock skew. An attempt that reached this machine after E + W + margin is therefore outside every
// window; one that reached it earlier may be inside one. E is not known; the lowest of these upper bounds
// counts:
//   - the start of this process: whoever had the name before has ended by then. It always holds, and by the
//     steady clock alone, so that a change of the Unix clock has no effect;
//   - a clean shutdown that the last incarnation recorded at its end, by a clock that both share (the same
//   boot
//     of the machine). It says nothing once another incarnation has started, so the record is removed before
//     it is relied on; while that fails, as on a disk that can't be written, every such request stays
//     rejected: the next incarnation would find the record and take it for this one's.
// A snapshot taken during an incarnation bounds nothing, as that went on. Nor do peers that consider it dead
// (it may be partitioned or paused) or saw it leave (there may have been another one in between). A process
// that is found alive under this name raises the bound to when it was last seen, as what it runs is not known
// here. Where the Unix clock is behind what an earlier incarnation wrote, its t0 lie ahead by as much: the
// bound grows by it, up to a declared limit past which the old clock is considered wrong.
#pragma once
#include <optional>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::recovery {

// What was found of the previous incarnation.
struct PreviousIncarnation {
  // So long ago it shut down cleanly, by a clock that both share; its record has been removed.
  std::optional<Duration> clean_shutdown_age;
  bool shutdown_record_remains = false;  // a record is there, or may be, and could not be removed
  Duration clock_setback{};              // how far the Unix clock is behind what it wrote
};

class RestartQuarantine {
 public:
  struct Options {
    std::vector<Duration> idempotency_windows;             // by class; zero: no idempotency keys
    Duration clock_skew_margin = std::chrono::seconds(2);  // clocks of callers, and transit time
    Duration max_clock_setback = std::chrono::hours(1);    // the limit of clock_setback
    // A state directory is declared: until it was read a shutdown record may be in it.
    bool has_state_directory = false;
  };
  RestartQuarantine(Options options, TimePoint started);
  // `now` is when it was found.
  void on_previous_incarnation(const PreviousIncarnation& found, TimePoint now);
  // Whether another process is alive under this name.
  void on_name_conflict(bool present, TimePoint now);

  // Whether an attempt that reached the machine at `reached` may be inside an earlier incarnation's window.
  bool is_quarantined(ClassId cls, TimePoint reached) const { return reached < quarantined_until(cls); }
  // TimePoint::min() where a class has no quarantine, TimePoint::max() where no end is known.
  TimePoint quarantined_until(ClassId cls) const;
  // The latest quarantined_until() of all classes.
  TimePoint last_quarantine_end() const;

 private:
  Options options_;
  TimePoint latest_end_;  // upper bound of the end of earlier incarnations
  Duration clock_setback_{};
  bool record_may_remain_ = false;
  bool name_conflict_ = false;
};

}  // namespace granitegap::recovery
