#include "membership/partition_detector.h"

#include <algorithm>
#include <cmath>

namespace granitegap::membership {

void PartitionDetector::report_silent(std::uint64_t member, TimePoint now) {
  if (silent_.emplace(member, now).second) last_silence_at_ = now;
}

void PartitionDetector::update(TimePoint now, Counts counts, bool isolated, Duration settle_time) {
  const auto size = std::max(counts.quorum_base, options_.min_fleet_size);
  has_quorum_ = options_.baseline_mode || (!isolated && counts.alive * 2 > size);
  if (options_.baseline_mode) return;
  // A single member is no mass failure, and in a fleet of two a silence can be the fault of either member.
  const auto mass_failure_size =
      std::max<std::size_t>(2, std::size_t(std::ceil(options_.mass_failure_fraction * double(size))));
  if (!uncertain_) {
    std::erase_if(silent_, [&](const auto& s) { return now - s.second > options_.mass_failure_window(); });
    if (silent_.size() < mass_failure_size && !isolated) return;
    uncertain_ = true;
    uncertain_since_ = now;
    return;
  }
  if (isolated || now - uncertain_since_ < options_.min_uncertain_duration()) return;
  const bool few_silent = silent_.size() < mass_failure_size;
  const bool settled = now - last_silence_at_ >= settle_time;
  if (!few_silent && !(has_quorum_ && settled)) return;
  uncertain_ = false;
  certain_since_ = now;
  silent_.clear();  // counted once: the same silences must not make the view uncertain again
}

}  // namespace granitegap::membership
