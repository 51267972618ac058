// How long a process that has lost its memory must not run keyed requests: an earlier life under its name may
// have run one whose repeat comes now. No I/O and no clock; times are this process's steady ones.
//
// The argument. No try may run that is written within W of the t0 of the try that ran. An earlier life can
// have run one no later than its own end E, with a t0 no later than E plus what clocks may be apart. So a try
// that reached this machine later than E + W + margin is outside every window, and one that reached it
// earlier may be inside one. E is not known; what is known bounds it from above, and the lowest bound counts:
//   - this process's own start: whoever had the name before is over by then. It always holds, and by the
//     steady clock alone, so that a Unix clock that jumped changes nothing;
//   - an orderly end that the last life wrote down last of all, by a clock that both lives share (the same
//     boot). It says nothing once another life has begun, so whoever begins takes it away for good before it
//     relies on it; while that fails, as on a disk that can't be written, no keyed request runs at all: a
//     life after this one would find it still, and take it for this one's.
// A snapshot from the middle of a life bounds nothing: it lived on. Nor do peers that hold the earlier life
// dead (it may be cut off, or paused, and run on) or saw it leave (there may have been another one in between
// that they never met). A process that is found to live under this name now raises the bound to the moment
// when that was last heard: it is no earlier life, and what it runs is not known here. Where the Unix clock
// stands behind what an earlier life wrote, its t0 lie that much further ahead: the bound moves up by as
// much, up to a declared most, past which the old clock is taken for wrong.
#pragma once
#include <optional>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::recovery {

// What is found of the life before; each by itself.
struct PreviousIncarnation {
  std::optional<Duration>
      clean_shutdown_age;                // so long ago, by a clock that both lives share, and taken away
  bool shutdown_record_remains = false;  // an orderly end is there and can't be taken away
  Duration clock_setback{};              // this Unix clock, against what an earlier life wrote
};

class RestartQuarantine {
 public:
  struct Options {
    std::vector<Duration> idempotency_windows;             // by class; zero: not keyed
    Duration clock_skew_margin = std::chrono::seconds(2);  // clocks apart, and a request on its way
    Duration max_clock_setback = std::chrono::hours(1);    // of clock_behind
    // There is a directory: until it has been looked at an orderly end may stay there for a third life to
    // find, however long the disk takes.
    bool has_state_directory = false;
  };
  RestartQuarantine(Options rules, TimePoint started);
  // `now` is when it was found.
  void on_previous_incarnation(const PreviousIncarnation& found, TimePoint now);
  // Whether another process under this name lives: as long as it does, what it runs is not known here.
  void on_name_conflict(bool there, TimePoint now);

  // Whether a try that reached the machine at `reached` might be inside such a window; and until when those
  // of its class are: the least time point where none is, the greatest where no end is in sight.
  bool is_quarantined(ClassId cls, TimePoint reached) const { return reached < quarantined_until(cls); }
  TimePoint quarantined_until(ClassId cls) const;
  TimePoint last_quarantine_end() const;

 private:
  Options rules_;
  TimePoint latest_;  // an earlier life may have run one
  Duration behind_{};
  bool held_ = false, duplicate_ = false;
};

}  // namespace granitegap::recovery
