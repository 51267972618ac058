#include "recovery/recovery_phase.h"

namespace granitegap::recovery {

const char* phase_name(Phase phase) {
  switch (phase) {
    case Phase::starting:
      return "blank";
    case Phase::transferring_state:
      return "learning";
    case Phase::slow_start:
      return "ramping";
    case Phase::in_service:
      return "full";
  }
  return "?";
}

const char* restart_scope_name(RestartScope scope) {
  switch (scope) {
    case RestartScope::unknown:
      return "unknown";
    case RestartScope::single:
      return "alone";
    case RestartScope::partial:
      return "wave";
    case RestartScope::majority:
      return "most";
  }
  return "?";
}

}  // namespace granitegap::recovery
