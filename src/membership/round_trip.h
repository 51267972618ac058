// Smoothed estimate of the round-trip time to a peer (Jacobson and Karels 1988, as in RFC 6298).
#pragma once
#include <algorithm>
#include <cmath>

#include "membership/types.h"

namespace granitegap::membership {

class RoundTrip {
 public:
  // Adds the duration of one round trip.
  void add_sample(Duration round_trip) {
    const auto us = float(std::clamp<std::int64_t>(round_trip.count(), 0, kMaxSampleUs));
    if (mean_us_ <= 0) {
      mean_us_ = std::max(us, 1.0f);
      deviation_us_ = us / 2;
      return;
    }
    deviation_us_ += (std::abs(us - mean_us_) - deviation_us_) / 4;
    mean_us_ += (us - mean_us_) / 8;
  }
  // Returns the time after which a probe is late: mean plus four deviations, clamped to `min` and `max`;
  // `max` where there is no sample.
  Duration timeout(Duration min, Duration max) const {
    if (mean_us_ <= 0) return max;
    return std::clamp(Duration(std::int64_t(mean_us_ + 4 * deviation_us_)), min, max);
  }

 private:
  static constexpr std::int64_t kMaxSampleUs = 60'000'000;
  float mean_us_ = 0, deviation_us_ = 0;
};

}  // namespace granitegap::membership
