// The lifecycle of one process as its operators see it: one state that the health checks, the load reports,
// the admin server and the shutdown all read.
//
//   starting --kernel started--> serving --quiesce--> quiesced --resume--> serving
//   any --stop--> stopping (final)
//
// Quiesced is kept from before the kernel has started: the process then goes straight to quiesced. A stop
// with a successor that serves at the same listening socket hands over: the health checks and the endpoint
// list are the successor's, and this process reports nothing bad to them.
//
// No I/O, no clock, no errors. Not safe for concurrent calls.
#pragma once
#include <cstdint>

namespace granitegap::lifecycle {

enum class Phase : std::uint8_t { starting, serving, quiesced, stopping };
// The name of the phase as printed; a string literal.
[[nodiscard]] const char* text_of(Phase phase);

class Lifecycle {
 public:
  [[nodiscard]] Phase phase() const {
    if (stop_mode_ != StopMode::none) return Phase::stopping;
    if (quiesced_) return Phase::quiesced;
    return kernel_started_ ? Phase::serving : Phase::starting;
  }

  void set_kernel_started() { kernel_started_ = true; }
  // Both return whether the process may do so: false once it stops. Done again, each changes nothing and
  // returns true.
  [[nodiscard]] bool quiesce();
  [[nodiscard]] bool resume();
  // The first stop counts; later ones change nothing.
  void stop(bool successor_serves);

  [[nodiscard]] bool kernel_started() const { return kernel_started_; }
  [[nodiscard]] bool stopping() const { return stop_mode_ != StopMode::none; }
  [[nodiscard]] bool handing_over() const { return stop_mode_ == StopMode::hand_over; }
  // Whether health checks and the endpoint list may be told that this process is healthy.
  [[nodiscard]] bool accepts_traffic() const {
    return handing_over() || (stop_mode_ == StopMode::none && !quiesced_);
  }
  // Whether load reports go to the endpoint list at all.
  [[nodiscard]] bool publishes_load_reports() const { return !handing_over(); }

 private:
  enum class StopMode : std::uint8_t { none, drain, hand_over };
  bool kernel_started_ = false;
  bool quiesced_ = false;
  StopMode stop_mode_ = StopMode::none;
};

}  // namespace granitegap::lifecycle
