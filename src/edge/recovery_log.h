// The log lines about a recovery.
#pragma once
#include "edge/types.h"
#include "recovery/recovery_controller.h"

namespace granitegap::edge {

// One line for one entry of RecoveryController::take_events(). `recovery`: the controller it came from, as it
// stands `now`.
[[nodiscard]] LogEvent describe(const recovery::RecoveryEvent& event,
                                const recovery::RecoveryController& recovery, TimePoint now);

}  // namespace granitegap::edge
