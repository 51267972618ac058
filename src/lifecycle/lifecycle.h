// The lifecycle of one process: the state that its health checks, load reports, admin listener and shutdown
// use.
//
//   starting --kernel started--> serving --quiesce--> quiesced --resume--> serving
//   any --stop--> stopping (final)
//
// A quiesce before the kernel has started is kept: the process then enters quiesced without serving first. A
// stop with a successor that serves on the same listening socket is a handover: the health checks and the
// endpoint list then refer to the successor, so this process neither reports itself unhealthy nor sends load
// reports.
//
// The class does no I/O, reads no clock and reports no errors. It is not safe for concurrent calls.
#pragma once
#include <cstdint>

namespace granitegap::lifecycle {

/// Phase of the process, as shown to operators.
enum class Phase : std::uint8_t { starting, serving, quiesced, stopping };
/// Returns the name of the phase as a string literal.
[[nodiscard]] const char* phase_name(Phase phase);

/// Tracks the phase of one process.
class Lifecycle {
 public:
  [[nodiscard]] Phase phase() const {
    if (stop_mode_ != StopMode::none) return Phase::stopping;
    if (quiesced_) return Phase::quiesced;
    return kernel_started_ ? Phase::serving : Phase::starting;
  }

  void set_kernel_started() { kernel_started_ = true; }
  /// Quiesces or resumes the process. Both return false, without effect, once the process is stopping; a
  /// repeated call has no effect and returns true.
  [[nodiscard]] bool quiesce();
  [[nodiscard]] bool resume();
  /// Starts the shutdown, as a handover if a successor serves. Only the first call has an effect.
  void stop(bool successor_serves);

  [[nodiscard]] bool kernel_started() const { return kernel_started_; }
  [[nodiscard]] bool stopping() const { return stop_mode_ != StopMode::none; }
  [[nodiscard]] bool handing_over() const { return stop_mode_ == StopMode::hand_over; }
  /// Returns whether this process may be reported healthy to health checks and the endpoint list.
  [[nodiscard]] bool accepts_traffic() const {
    return handing_over() || (stop_mode_ == StopMode::none && !quiesced_);
  }
  /// Returns whether this process sends load reports to the endpoint list.
  [[nodiscard]] bool publishes_load_reports() const { return !handing_over(); }

 private:
  enum class StopMode : std::uint8_t { none, drain, hand_over };
  bool kernel_started_ = false;
  bool quiesced_ = false;
  StopMode stop_mode_ = StopMode::none;
};

}  // namespace granitegap::lifecycle
