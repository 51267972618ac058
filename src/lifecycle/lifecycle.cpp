#include "lifecycle/lifecycle.h"

namespace granitegap::lifecycle {

const char* phase_name(Phase phase) {
  switch (phase) {
    case Phase::starting:
      return "starting";
    case Phase::serving:
      return "serving";
    case Phase::quiesced:
      return "quiesced";
    case Phase::stopping:
      break;
  }
  return "stopping";
}

bool Lifecycle::quiesce() {
  if (stopping()) return false;
  quiesced_ = true;
  return true;
}

bool Lifecycle::resume() {
  if (stopping()) return false;
  quiesced_ = false;
  return true;
}

void Lifecycle::stop(bool successor_serves) {
  if (!stopping()) stop_mode_ = successor_serves ? StopMode::hand_over : StopMode::drain;
}

}  // namespace granitegap::lifecycle
