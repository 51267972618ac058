// A peer's recent round trips as a bounded estimate (Jacobson and Karels 1988, as in RFC 6298).
#pragma once
#include <algorithm>
#include <cmath>

#include "membership/types.h"

namespace granitegap::membership {

class RoundTrip {
 public:
  void sample(Duration took) {
    const auto us = float(std::clamp<std::int64_t>(took.count(), 0, 60'000'000));
    if (mean_us_ <= 0) {
      mean_us_ = std::max(us, 1.0f);
      deviation_us_ = us / 2;
      return;
    }
    deviation_us_ += (std::abs(us - mean_us_) - deviation_us_) / 4;
    mean_us_ += (us - mean_us_) / 8;
  }
  // A probe that has taken longer than this is late; between the two bounds, and the most without a sample.
  Duration late_after(Duration least, Duration most) const {
    if (mean_us_ <= 0) return most;
    return std::clamp(Duration(std::int64_t(mean_us_ + 4 * deviation_us_)), least, most);
  }
  bool known() const { return mean_us_ > 0; }

 private:
  float mean_us_ = 0, deviation_us_ = 0;
};

}  // namespace granitegap::membership
