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

std::string duration_text(const std::optional<Duration>& duration) {
  return duration ? ms_text(*duration) + " ms" : std::string("unknown");
}

LogEvent phase_changed(const RecoveryEvent& event, const RecoveryController& recovery, TimePoint now) {
  const std::string phase = recovery::phase_name(event.phase);
  std::string text = "recovery: entered phase " + phase;
  if (event.phase == recovery::Phase::slow_start)
    text += ", estimated time to full service " + ms_text(recovery.remaining(now)) + " ms";
  return {std::move(text), "recovery_phase", phase};
}

const char* scope_text(recovery::RestartScope scope) {
  switch (scope) {
    case recovery::RestartScope::single:
      return "only this process restarted";
    case recovery::RestartScope::partial:
      return "part of the fleet restarted";
    case recovery::RestartScope::unknown:
    case recovery::RestartScope::majority:
      break;
  }
  return "most of the fleet restarted";
}

LogEvent entered_service(const RecoveryController& recovery) {
  const auto& timeline = recovery.timeline();
  return {"recovery: full service after " + duration_text(timeline.in_service) + " (estimated " +
              duration_text(timeline.estimated_in_service) + "); first response after " +
              duration_text(timeline.first_response) + ", first healthy check after " +
              duration_text(timeline.first_healthy) + ", half of the capacity advertised after " +
              duration_text(timeline.half_share) + ", 0.95 of it after " +
              duration_text(timeline.nearly_full_share) + "; warm state received from " +
              std::to_string(timeline.donors) + " members",
          "recovery_full", ms_text(timeline.in_service)};
}

LogEvent wait_bound_changed(bool bounded) {
  if (bounded)
    return {
        "recovery: expected waits are bounded while other members recover or requests keep being rejected",
        "recovery_guard", "on"};
  return {"recovery: expected waits are no longer bounded", "recovery_guard", "off"};
}

}  // namespace

LogEvent describe(const RecoveryEvent& event, const RecoveryController& recovery, TimePoint now) {
  switch (event.type) {
    case RecoveryEvent::Type::phase_changed:
      return phase_changed(event, recovery, now);
    case RecoveryEvent::Type::scope_changed:
      return {std::string("recovery: restart scope: ") + scope_text(event.scope), "recovery_kind",
              recovery::restart_scope_name(event.scope)};
    case RecoveryEvent::Type::entered_service:
      return entered_service(recovery);
    case RecoveryEvent::Type::pause_detected:
      return {
          "recovery: this process was paused for longer than recovery.pause_most: its warm state is out of "
          "date, requesting a new state transfer",
          "recovery_paused",
          {}};
    case RecoveryEvent::Type::overload_guard_changed:
      break;
  }
  return wait_bound_changed(event.overload_guard);
}

}  // namespace granitegap::edge
