// A quantile of a benchmark's samples.
#pragma once
#include <algorithm>
#include <vector>

namespace granitegap::bench {

// The q-quantile of the samples, 0 <= q < 1; -1 if there are none.
inline double quantile(std::vector<double> samples, double q) {
  if (samples.empty()) return -1;
  std::sort(samples.begin(), samples.end());
  const auto index = std::size_t(q * double(samples.size()));
  return samples[std::min(samples.size() - 1, index)];
}

}  // namespace granitegap::bench
