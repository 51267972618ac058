#include "recovery/restart_quarantine.h"

#include <algorithm>

namespace granitegap::recovery {

RestartQuarantine::RestartQuarantine(Rules rules, TimePoint started)
    : rules_(std::move(rules)), latest_(started), held_(rules_.has_folder) {}

void RestartQuarantine::learn(const PreviousIncarnation& found, TimePoint now) {
  held_ = found.end_stays;
  // An end that lies ahead is none: guards against a clock that is not the one it was written by.
  if (found.ended_in_order && found.ended_in_order->count() >= 0)
    latest_ = std::min(latest_, now - *found.ended_in_order);
  behind_ = std::max(behind_, std::clamp(found.clock_behind, Duration{}, rules_.max_clock_back));
}

void RestartQuarantine::another_lives(bool there, TimePoint now) {
  if (there || duplicate_) latest_ = std::max(latest_, now);
  duplicate_ = there;
}

TimePoint RestartQuarantine::until(ClassId cls) const {
  const auto i = std::size_t(cls);
  if (i >= rules_.windows.size() || rules_.windows[i].count() <= 0) return TimePoint::min();
  if (held_ || duplicate_) return TimePoint::max();
  return latest_ + rules_.windows[i] + rules_.margin + behind_;
}

TimePoint RestartQuarantine::longest() const {
  auto longest = TimePoint::min();
  for (std::size_t i = 0; i < rules_.windows.size(); ++i) longest = std::max(longest, until(ClassId(i)));
  return longest;
}

}  // namespace granitegap::recovery
