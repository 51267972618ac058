// Log lines about a recovery.
#pragma once
#include "edge/types.h"
#include "recovery/recovery_controller.h"

namespace granitegap::edge {

// Returns the log line for one event of RecoveryController::take_events(). `recovery` is the controller that
// the event came from, in its state at `now`.
[[nodiscard]] LogEvent describe(const recovery::RecoveryEvent& event,
                                const recovery::RecoveryController& recovery, TimePoint now);

}  // namespace granitegap::edge
