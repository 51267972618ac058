#include "membership/partition_detector.h"

#include <algorithm>
#include <cmath>

namespace granitegap::membership {

void PartitionDetector::report_silent(std::uint64_t member, TimePoint now) {
  if (silent_.emplace(member, now).second) last_silence_at_ = now;
}

void PartitionDetector::update(TimePoint now, Counts counts, bool cut_off, Duration settle_time) {
  const auto size = std::max(counts.quorum_base, options_.min_fleet_size);
  has_quorum_ = options_.baseline_mode || (!cut_off && counts.alive * 2 > size);
  if (options_.baseline_mode) return;
  // One member alone is no mass failure; and in a fleet of two a silence can be the fault of either.
  const auto many =
      std::max<std::size_t>(2, std::size_t(std::ceil(options_.mass_failure_fraction * double(size))));
  if (!uncertain_) {
    std::erase_if(silent_, [&](const auto& s) { return now - s.second > options_.mass_failure_window(); });
    if (silent_.size() < many && !cut_off) return;
    uncertain_ = true;
    uncertain_since_ = now;
    return;
  }
  if (cut_off || now - uncertain_since_ < options_.min_uncertain_duration()) return;
  const bool few_silent = silent_.size() < many;
  const bool settled = now - last_silence_at_ >= settle_time;
  if (!few_silent && !(has_quorum_ && settled)) return;
  uncertain_ = false;
  certain_since_ = now;
  silent_.clear();  // counted once: they don't make the view uncertain again
}

}  // namespace granitegap::membership
