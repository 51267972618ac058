// Quantiles of recent latencies over a sliding window, in fixed memory.
//
// A ring of slices, each a histogram on a logarithmic axis (Boost.Histogram); the window is their sum, kept
// up to date as slices leave. Relative error of a quantile: half a bin, about 5 %. See docs/dependencies.md
// for what it was measured against.
#pragma once
#include <array>
#include <boost/histogram/axis/regular.hpp>
#include <cstdint>

#include "granitegap/policy.h"

namespace granitegap::deps {

class LatencyWindow {
 public:
  explicit LatencyWindow(Duration slice = std::chrono::seconds(1));
  void record(Duration latency, TimePoint now);
  // Absent where the window holds fewer than `min_samples` samples.
  std::optional<Duration> quantile(double q, TimePoint now, std::uint32_t min_samples = 1);
  std::uint32_t samples(TimePoint now);
  void clear();

 private:
  static constexpr std::size_t kSlices = 10, kBins = 128;
  using Counts = std::array<std::uint32_t, kBins + 2>;  // with those under and over the axis
  void advance(TimePoint now);
  boost::histogram::axis::regular<double, boost::histogram::axis::transform::log> axis_;
  std::array<Counts, kSlices> slices_{};
  std::array<std::uint32_t, kSlices> totals_{};
  Counts sum_{};
  std::uint32_t total_ = 0;
  Duration slice_;
  std::int64_t at_ = 0;  // the present slice's number
  bool started_ = false;
};

}  // namespace granitegap::deps
