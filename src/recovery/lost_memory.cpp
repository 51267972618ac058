#include "recovery/lost_memory.h"

#include <algorithm>

namespace granitegap::recovery {

LostMemory::LostMemory(Rules rules, TimePoint started)
    : rules_(std::move(rules)), latest_(started), held_(rules_.has_folder) {}

void LostMemory::learn(const EarlierLife& found, TimePoint now) {
  held_ = found.end_stays;
  // An end that lies ahead is none: guards against a clock that is not the one it was written by.
  if (found.ended_in_order && found.ended_in_order->count() >= 0)
    latest_ = std::min(latest_, now - *found.ended_in_order);
  behind_ = std::max(behind_, std::clamp(found.clock_behind, Duration{}, rules_.clock_back_most));
}

void LostMemory::another_lives(bool there, TimePoint now) {
  if (there || twin_) latest_ = std::max(latest_, now);
  twin_ = there;
}

TimePoint LostMemory::until(ClassId cls) const {
  const auto i = std::size_t(cls);
  if (i >= rules_.windows.size() || rules_.windows[i].count() <= 0) return TimePoint::min();
  if (held_ || twin_) return TimePoint::max();
  return latest_ + rules_.windows[i] + rules_.margin + behind_;
}

TimePoint LostMemory::longest() const {
  auto longest = TimePoint::min();
  for (std::size_t i = 0; i < rules_.windows.size(); ++i) longest = std::max(longest, until(ClassId(i)));
  return longest;
}

}  // namespace granitegap::recovery
