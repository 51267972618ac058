#include "membership/suspicion.h"

#include <algorithm>
#include <cmath>

namespace granitegap::membership {

SuspicionTimes suspicion_times(const Options& o, std::size_t fleet) {
  const double scale = std::max(1.0, std::log10(double(std::max<std::size_t>(fleet, 1))));
  const auto least = Duration(std::int64_t(o.suspicion * scale * double(o.period.count())));
  if (o.plain) return {least, least};
  return {least, Duration(std::int64_t(double(least.count()) * std::max(o.suspicion_most, 1.0)))};
}

Duration suspicion_time(const SuspicionTimes& times, unsigned confirmed, unsigned wanted) {
  if (wanted == 0 || confirmed >= wanted) return times.least;
  const double part = std::log(double(confirmed) + 1) / std::log(double(wanted) + 1);
  const double span = double((times.most - times.least).count());
  return std::max(times.least, times.most - Duration(std::int64_t(span * part)));
}

bool Accusers::has(std::uint64_t accuser) const {
  return std::find(by_.begin(), by_.begin() + count_, accuser) != by_.begin() + count_;
}

bool Accusers::add(std::uint64_t accuser) {
  if (!accuser || count_ == kMost || has(accuser)) return false;
  by_[count_++] = accuser;
  return true;
}

}  // namespace granitegap::membership
