// The life of one process as its operators see it: one state, which the health checks, the reports to the
// list, the operators' door and the end of the process all read. No I/O, no clock.
//
//   starting --kernel up--> serving --quiesce--> quiesced --resume--> serving
//   any --stop--> stopping --(nothing leads out)
//
// Quiesced is kept from before the kernel is up: it then comes up quiesced. A stop with a successor that
// serves on the same door hands over: the list and the checks are the successor's, and hear nothing bad from
// this one.
#pragma once
#include <cstdint>
#include <string>

namespace granitegap::lifecycle {

enum class Phase : std::uint8_t { starting, serving, quiesced, stopping };
const char* text_of(Phase phase);

class Lifecycle {
 public:
  Phase phase() const {
    if (stop_ != Stop::none) return Phase::stopping;
    return quiesced_ ? Phase::quiesced : up_ ? Phase::serving : Phase::starting;
  }
  void kernel_up() { up_ = true; }
  // What each returns: whether the call may be answered with OK. Asked again, each changes nothing and is OK.
  bool quiesce();
  bool resume();
  // The first stop counts; what comes later changes nothing.
  void stop(bool successor_serves);

  bool up() const { return up_; }
  bool stopping() const { return stop_ != Stop::none; }
  bool handing_over() const { return stop_ == Stop::hand_over; }
  // Whether checks and the list may hear good of it, where the module holds it fit.
  bool welcomes() const { return stop_ == Stop::hand_over || (stop_ == Stop::none && !quiesced_); }
  // Whether the list hears of this process at all.
  bool reports() const { return stop_ != Stop::hand_over; }

 private:
  enum class Stop : std::uint8_t { none, drain, hand_over };
  bool up_ = false, quiesced_ = false;
  Stop stop_ = Stop::none;
};

}  // namespace granitegap::lifecycle
