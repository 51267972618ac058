#include "edge/recovery_log.h"

#include <chrono>
#include <optional>
#include <string>

namespace granitegap::edge {
namespace {

using recovery::RecoveryController;
using News = RecoveryController::News;

std::string ms_text(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string ms_text(const std::optional<Duration>& duration) {
  return duration ? ms_text(*duration) : std::string("-");
}

LogEvent phase_changed(const News& news, const RecoveryController& recovery, TimePoint now) {
  const std::string phase = recovery::text_of(news.at);
  std::string text = "recovery: " + phase;
  if (news.at == recovery::Phase::ramping)
    text += ", about " + ms_text(recovery.left(now)) + " ms to full service";
  return {std::move(text), "recovery_phase", phase};
}

const char* kind_sentence(recovery::Kind kind) {
  switch (kind) {
    case recovery::Kind::alone:
      return "one among healthy ones";
    case recovery::Kind::wave:
      return "one of a wave";
    case recovery::Kind::unknown:
    case recovery::Kind::most:
      break;
  }
  return "one of most of the fleet's";
}

LogEvent recovered(const RecoveryController& recovery) {
  const auto& timeline = recovery.milestones();
  return {"recovery: full service after " + ms_text(timeline.full) + " ms, guessed " +
              ms_text(timeline.estimate) + "; first answer " + ms_text(timeline.first_answer) +
              ", good health " + ms_text(timeline.good_health) + ", half " + ms_text(timeline.half) +
              ", 0.95 " + ms_text(timeline.most) + "; learned from " + std::to_string(timeline.sources),
          "recovery_full", ms_text(timeline.full)};
}

LogEvent wait_bound_changed(bool bounded) {
  if (bounded)
    return {"recovery: waits are bounded while others come back or callers press", "recovery_guard", "on"};
  return {"recovery: waits are not bounded any more", "recovery_guard", "off"};
}

}  // namespace

LogEvent describe(const News& news, const RecoveryController& recovery, TimePoint now) {
  switch (news.what) {
    case News::phase:
      return phase_changed(news, recovery, now);
    case News::kind:
      return {std::string("recovery: this start is ") + kind_sentence(news.of), "recovery_kind",
              recovery::text_of(news.of)};
    case News::full:
      return recovered(recovery);
    case News::paused:
      return {"recovery: this process stood still for long: what it remembers is old", "recovery_paused", {}};
    case News::guarding:
      break;
  }
  return wait_bound_changed(news.guarded);
}

}  // namespace granitegap::edge
