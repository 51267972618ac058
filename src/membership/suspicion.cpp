#include "membership/suspicion.h"

#include <algorithm>
#include <cmath>

namespace granitegap::membership {

SuspicionTimes suspicion_times(const Options& o, std::size_t fleet) {
  const double scale = std::max(1.0, std::log10(double(std::max<std::size_t>(fleet, 1))));
  const auto least = Duration(std::int64_t(o.suspicion_multiplier * scale * double(o.period.count())));
  if (o.baseline_mode) return {least, least};
  return {least, Duration(std::int64_t(double(least.count()) * std::max(o.max_suspicion_multiplier, 1.0)))};
}

Duration suspicion_time(const SuspicionTimes& times, unsigned confirmed, unsigned wanted) {
  if (wanted == 0 || confirmed >= wanted) return times.least;
  const double part = std::log(double(confirmed) + 1) / std::log(double(wanted) + 1);
  const double span = double((times.most - times.least).count());
  return std::max(times.least, times.most - Duration(std::int64_t(span * part)));
}

bool SuspicionConfirmations::has(std::uint64_t suspected_by) const {
  return std::find(by_.begin(), by_.begin() + count_, suspected_by) != by_.begin() + count_;
}

bool SuspicionConfirmations::add(std::uint64_t suspected_by) {
  if (!suspected_by || count_ == kMax || has(suspected_by)) return false;
  by_[count_++] = suspected_by;
  return true;
}

}  // namespace granitegap::membership
