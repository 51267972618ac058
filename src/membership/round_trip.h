// A peer's recent round trips as a smoothed estimate (Jacobson and Karels 1988, as in RFC 6298).
#pragma once
#include <algorithm>
#include <cmath>

#include "membership/types.h"

namespace granitegap::membership {

class RoundTrip {
 public:
  void add_sample(Duration took) {
    const auto us = float(std::clamp<std::int64_t>(took.count(), 0, kMaxSampleUs));
    if (mean_us_ <= 0) {
      mean_us_ = std::max(us, 1.0f);
      deviation_us_ = us / 2;
      return;
    }
    deviation_us_ += (std::abs(us - mean_us_) - deviation_us_) / 4;
    mean_us_ += (us - mean_us_) / 8;
  }
  // After how long a probe is late: mean and four deviations within the bounds; `max` without a sample.
  Duration timeout(Duration min, Duration max) const {
    if (mean_us_ <= 0) return max;
    return std::clamp(Duration(std::int64_t(mean_us_ + 4 * deviation_us_)), min, max);
  }

 private:
  static constexpr std::int64_t kMaxSampleUs = 60'000'000;
  float mean_us_ = 0, deviation_us_ = 0;
};

}  // namespace granitegap::membership
