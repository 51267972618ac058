#include "membership/partition_detector.h"

#include <algorithm>
#include <cmath>

namespace granitegap::membership {

void PartitionDetector::silent(std::uint64_t member, TimePoint now) {
  if (silent_.emplace(member, now).second) newest_ = now;
}

void PartitionDetector::judge(TimePoint now, Counts counts, bool cut_off, Duration patience) {
  const auto size = std::max(counts.fleet_size, options_.min_fleet_size);
  has_quorum_ = options_.baseline_mode || (!cut_off && counts.seen * 2 > size);
  if (options_.baseline_mode) return;
  // One alone is never a mass; and in a fleet of two nobody can tell whose fault a silence is.
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
  const bool heard_again = silent_.size() < many;
  const bool settled = now - newest_ >= patience;
  if (!heard_again && !(has_quorum_ && settled)) return;
  uncertain_ = false;
  certain_since_ = now;
  silent_.clear();  // judged once: they don't make the view uncertain a second time
}

}  // namespace granitegap::membership
