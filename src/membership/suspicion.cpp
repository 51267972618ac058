#include "membership/suspicion.h"

#include <algorithm>
#include <cmath>

namespace granitegap::membership {

SuspicionTimeouts suspicion_timeouts(const Options& options, std::size_t fleet) {
  const double scale = std::max(1.0, std::log10(double(std::max<std::size_t>(fleet, 1))));
  const auto min =
      Duration(std::int64_t(options.suspicion_multiplier * scale * double(options.period.count())));
  if (options.baseline_mode) return {min, min};
  return {min, Duration(std::int64_t(double(min.count()) * std::max(options.max_suspicion_multiplier, 1.0)))};
}

Duration suspicion_timeout(const SuspicionTimeouts& bounds, unsigned confirmed, unsigned required) {
  if (required == 0 || confirmed >= required) return bounds.min;
  const double fraction = std::log(double(confirmed) + 1) / std::log(double(required) + 1);
  const double span = double((bounds.max - bounds.min).count());
  return std::max(bounds.min, bounds.max - Duration(std::int64_t(span * fraction)));
}

bool SuspicionConfirmations::has(std::uint64_t suspected_by) const {
  return std::find(suspected_by_.begin(), suspected_by_.begin() + count_, suspected_by) !=
         suspected_by_.begin() + count_;
}

bool SuspicionConfirmations::add(std::uint64_t suspected_by) {
  if (!suspected_by || count_ == kMax || has(suspected_by)) return false;
  suspected_by_[count_++] = suspected_by;
  return true;
}

}  // namespace granitegap::membership
