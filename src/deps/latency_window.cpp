#include "deps/latency_window.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace granitegap::deps {
namespace {

constexpr double kMinUs = 50, kMaxUs = 60e6;  // bounds of the axis in microseconds

}  // namespace

LatencyWindow::LatencyWindow(Duration slice) : axis_(kBins, kMinUs, kMaxUs), slice_duration_(slice) {}

void LatencyWindow::clear() {
  for (auto& slice : slices_) slice.fill(0);
  slice_samples_.fill(0);
  sum_.fill(0);
  samples_ = 0;
}

// Removes the slices that are no longer in the window.
void LatencyWindow::expire(TimePoint now) {
  const auto new_slice = now.time_since_epoch() / slice_duration_;
  if (!has_started_) {
    has_started_ = true;
    current_slice_ = new_slice;
  }
  if (new_slice <= current_slice_) return;
  if (new_slice - current_slice_ >= std::int64_t(kSlices)) {
    clear();
    current_slice_ = new_slice;
    return;
  }
  while (current_slice_ < new_slice) {
    ++current_slice_;
    const auto reused = std::size_t(current_slice_) % kSlices;
    for (std::size_t bin = 0; bin < sum_.size(); ++bin) sum_[bin] -= slices_[reused][bin];
    samples_ -= std::exchange(slice_samples_[reused], 0);
    slices_[reused].fill(0);
  }
}

void LatencyWindow::record(Duration latency, TimePoint now) {
  expire(now);
  const auto bin = std::size_t(axis_.index(std::max(double(latency.count()), 1.0)) + 1);
  const auto slice = std::size_t(current_slice_) % kSlices;
  ++slices_[slice][bin];
  ++slice_samples_[slice];
  ++sum_[bin];
  ++samples_;
}

std::uint32_t LatencyWindow::samples(TimePoint now) {
  expire(now);
  return samples_;
}

std::optional<Duration> LatencyWindow::quantile(double q, TimePoint now, std::uint32_t min_samples) {
  expire(now);
  if (samples_ == 0 || samples_ < min_samples) return std::nullopt;
  const auto rank = std::max(std::uint32_t(std::ceil(std::clamp(q, 0.0, 1.0) * samples_)), 1u);
  std::uint32_t cumulative = 0;
  for (std::size_t bin = 0; bin < sum_.size(); ++bin) {
    cumulative += sum_[bin];
    if (cumulative >= rank) return bin_value(bin);
  }
  return Duration(std::int64_t(kMaxUs));
}

// Returns the middle of a bin on the logarithmic axis; for the two bins outside the axis, its bound.
Duration LatencyWindow::bin_value(std::size_t bin) const {
  if (bin == 0) return Duration(std::int64_t(kMinUs));
  if (bin > kBins) return Duration(std::int64_t(kMaxUs));
  return Duration(std::llround(axis_.value(double(bin) - 0.5)));
}

}  // namespace granitegap::deps
