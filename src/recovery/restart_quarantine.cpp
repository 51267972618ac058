#include "recovery/restart_quarantine.h"

#include <algorithm>

namespace granitegap::recovery {

RestartQuarantine::RestartQuarantine(Options rules, TimePoint started)
    : rules_(std::move(rules)), latest_(started), held_(rules_.has_state_directory) {}

void RestartQuarantine::on_previous_incarnation(const PreviousIncarnation& found, TimePoint now) {
  held_ = found.shutdown_record_remains;
  // An end that lies ahead is none: guards against a clock that is not the one it was written by.
  if (found.clean_shutdown_age && found.clean_shutdown_age->count() >= 0)
    latest_ = std::min(latest_, now - *found.clean_shutdown_age);
  behind_ = std::max(behind_, std::clamp(found.clock_setback, Duration{}, rules_.max_clock_setback));
}

void RestartQuarantine::on_name_conflict(bool there, TimePoint now) {
  if (there || duplicate_) latest_ = std::max(latest_, now);
  duplicate_ = there;
}

TimePoint RestartQuarantine::quarantined_until(ClassId cls) const {
  const auto i = std::size_t(cls);
  if (i >= rules_.idempotency_windows.size() || rules_.idempotency_windows[i].count() <= 0)
    return TimePoint::min();
  if (held_ || duplicate_) return TimePoint::max();
  return latest_ + rules_.idempotency_windows[i] + rules_.clock_skew_margin + behind_;
}

TimePoint RestartQuarantine::last_quarantine_end() const {
  auto longest = TimePoint::min();
  for (std::size_t i = 0; i < rules_.idempotency_windows.size(); ++i)
    longest = std::max(longest, quarantined_until(ClassId(i)));
  return longest;
}

}  // namespace granitegap::recovery
