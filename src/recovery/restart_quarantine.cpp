#include "recovery/restart_quarantine.h"

#include <algorithm>

namespace granitegap::recovery {

RestartQuarantine::RestartQuarantine(Options options, TimePoint started)
    : options_(std::move(options)), latest_end_(started), record_may_remain_(options_.has_state_directory) {}

void RestartQuarantine::on_previous_incarnation(const PreviousIncarnation& found, TimePoint now) {
  record_may_remain_ = found.shutdown_record_remains;
  // A shutdown in the future is ignored, because it was recorded by a different clock.
  if (found.clean_shutdown_age && found.clean_shutdown_age->count() >= 0)
    latest_end_ = std::min(latest_end_, now - *found.clean_shutdown_age);
  clock_setback_ =
      std::max(clock_setback_, std::clamp(found.clock_setback, Duration{}, options_.max_clock_setback));
}

void RestartQuarantine::on_name_conflict(bool present, TimePoint now) {
  if (present || name_conflict_) latest_end_ = std::max(latest_end_, now);
  name_conflict_ = present;
}

TimePoint RestartQuarantine::quarantined_until(ClassId cls) const {
  const auto i = std::size_t(cls);
  if (i >= options_.idempotency_windows.size() || options_.idempotency_windows[i].count() <= 0)
    return TimePoint::min();
  if (record_may_remain_ || name_conflict_) return TimePoint::max();
  return latest_end_ + options_.idempotency_windows[i] + options_.clock_skew_margin + clock_setback_;
}

TimePoint RestartQuarantine::last_quarantine_end() const {
  auto longest = TimePoint::min();
  for (std::size_t i = 0; i < options_.idempotency_windows.size(); ++i)
    longest = std::max(longest, quarantined_until(ClassId(i)));
  return longest;
}

}  // namespace granitegap::recovery
