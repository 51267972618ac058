#include "open_call_meter.h"

#include <algorithm>

namespace granitegap::soak {

void OpenCallMeter::report(std::size_t open) {
  const std::lock_guard lock(mutex_);
  const auto now = Clock::now();
  const bool was_over = open_ > limit_;
  const bool is_over = open > limit_;
  open_ = open;
  figures_.max_open = std::max(figures_.max_open, open);
  if (is_over && !was_over) {
    ++figures_.times_over;
    over_since_ = now;
  }
  if (was_over && !is_over)
    figures_.over += std::chrono::duration_cast<std::chrono::microseconds>(now - over_since_);
}

OpenCallMeter::Figures OpenCallMeter::figures() const {
  const std::lock_guard lock(mutex_);
  auto figures = figures_;
  if (open_ > limit_)
    figures.over += std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - over_since_);
  return figures;
}

}  // namespace granitegap::soak
