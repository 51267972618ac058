#include "edge/recovery_log.h"

#include <chrono>
#include <optional>
#include <string>

namespace granitegap::edge {
namespace {

using recovery::RecoveryController;
using recovery::RecoveryEvent;

std::string ms_text(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string ms_text(const std::optional<Duration>& duration) {
  return duration ? ms_text(*duration) : std::string("-");
}

LogEvent phase_changed(const RecoveryEvent& event, const RecoveryController& recovery, TimePoint now) {
  const std::string phase = recovery::phase_name(event.phase);
  std::string text = "recovery: " + phase;
  if (event.phase == recovery::Phase::slow_start)
    text += ", about " + ms_text(recovery.remaining(now)) + " ms to full service";
  return {std::move(text), "recovery_phase", phase};
}

const char* scope_text(recovery::RestartScope scope) {
  switch (scope) {
    case recovery::RestartScope::single:
      return "one among healthy ones";
    case recovery::RestartScope::partial:
      return "one of a wave";
    case recovery::RestartScope::unknown:
    case recovery::RestartScope::majority:
      break;
  }
  return "one of most of the fleet's";
}

LogEvent recovered(const RecoveryController& recovery) {
  const auto& timeline = recovery.timeline();
  return {"recovery: full service after " + ms_text(timeline.in_service) + " ms, guessed " +
              ms_text(timeline.estimated_in_service) + "; first answer " + ms_text(timeline.first_response) +
              ", good health " + ms_text(timeline.first_healthy) + ", half " + ms_text(timeline.half_share) +
              ", 0.95 " + ms_text(timeline.nearly_full_share) + "; learned from " +
              std::to_string(timeline.donors),
          "recovery_full", ms_text(timeline.in_service)};
}

LogEvent wait_bound_changed(bool bounded) {
  if (bounded)
    return {"recovery: waits are bounded while others come back or callers press", "recovery_guard", "on"};
  return {"recovery: waits are not bounded any more", "recovery_guard", "off"};
}

}  // namespace

LogEvent describe(const RecoveryEvent& event, const RecoveryController& recovery, TimePoint now) {
  switch (event.type) {
    case RecoveryEvent::Type::phase_changed:
      return phase_changed(event, recovery, now);
    case RecoveryEvent::Type::scope_changed:
      return {std::string("recovery: this start is ") + scope_text(event.scope), "recovery_kind",
              recovery::restart_scope_name(event.scope)};
    case RecoveryEvent::Type::entered_service:
      return recovered(recovery);
    case RecoveryEvent::Type::pause_detected:
      return {"recovery: this process stood still for long: what it remembers is old", "recovery_paused", {}};
    case RecoveryEvent::Type::overload_guard_changed:
      break;
  }
  return wait_bound_changed(event.overload_guard);
}

}  // namespace granitegap::edge
