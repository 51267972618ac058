// Estimates quantiles of recent latencies over a sliding window, in fixed memory.
//
// A ring of ten slices, each a histogram on a logarithmic axis (Boost.Histogram) from 50 us to 60 s; their
// sum is kept up to date as slices expire. A quantile's relative error is half a bin, about 5 %; a latency
// outside the axis counts as its bound. docs/dependencies.md has the comparison with other estimators.
//
// A value type without clock, used by one thread. A `now` that is earlier than a previous one expires
// nothing.
#pragma once
#include <array>
#include <boost/histogram/axis/regular.hpp>
#include <cstdint>
#include <optional>

#include "granitegap/policy.h"

namespace granitegap::deps {

class LatencyWindow {
 public:
  // `slice`: duration of each of the window's ten slices.
  explicit LatencyWindow(Duration slice = std::chrono::seconds(1));
  void record(Duration latency, TimePoint now);
  // Returns the quantile `q`, in [0, 1]; absent when the window holds no samples or fewer than `min_samples`.
  std::optional<Duration> quantile(double q, TimePoint now, std::uint32_t min_samples = 1);
  // Returns the number of samples in the window.
  std::uint32_t samples(TimePoint now);
  void clear();

 private:
  static constexpr std::size_t kSlices = 10, kBins = 128;
  using Histogram = std::array<std::uint32_t, kBins + 2>;  // one bin below the axis and one above it
  void expire(TimePoint now);
  Duration bin_value(std::size_t bin) const;

  boost::histogram::axis::regular<double, boost::histogram::axis::transform::log> axis_;
  std::array<Histogram, kSlices> slices_{};
  std::array<std::uint32_t, kSlices> slice_samples_{};
  Histogram sum_{};
  std::uint32_t samples_ = 0;
  Duration slice_duration_;
  std::int64_t current_slice_ = 0;  // slices since the clock's epoch
  bool has_started_ = false;
};

}  // namespace granitegap::deps
