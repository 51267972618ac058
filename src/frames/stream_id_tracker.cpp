#include "frames/stream_id_tracker.h"

namespace granitegap::frames {

bool StreamIdTracker::mark_used(std::uint32_t stream) {
  if (stream <= all_used_up_to_ || !used_above_.insert(stream).second) return false;
  while (!used_above_.empty()) {
    const auto lowest = used_above_.begin();
    const bool is_next = *lowest == all_used_up_to_ + 1;
    if (!is_next && used_above_.size() <= kMaxOutOfOrder) break;
    all_used_up_to_ = *lowest;
    used_above_.erase(lowest);
  }
  return true;
}

}  // namespace granitegap::frames
