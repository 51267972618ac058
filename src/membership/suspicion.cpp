#include "membership/suspicion.h"

#include <algorithm>
#include <cmath>

namespace granitegap::membership {

SuspicionTimeouts suspicion_timeouts(const Options& o, std::size_t fleet) {
  const double scale = std::max(1.0, std::log10(double(std::max<std::size_t>(fleet, 1))));
  const auto min = Duration(std::int64_t(o.suspicion_multiplier * scale * double(o.period.count())));
  if (o.baseline_mode) return {min, min};
  return {min, Duration(std::int64_t(double(min.count()) * std::max(o.max_suspicion_multiplier, 1.0)))};
}

Duration suspicion_timeout(const SuspicionTimeouts& times, unsigned confirmed, unsigned required) {
  if (required == 0 || confirmed >= required) return times.min;
  const double part = std::log(double(confirmed) + 1) / std::log(double(required) + 1);
  const double span = double((times.max - times.min).count());
  return std::max(times.min, times.max - Duration(std::int64_t(span * part)));
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
