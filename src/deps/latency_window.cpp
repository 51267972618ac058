#include "deps/latency_window.h"

#include <algorithm>
#include <cmath>

namespace granitegap::deps {
namespace {

constexpr double kMinUs = 50, kMaxUs = 60e6;

}  // namespace

LatencyWindow::LatencyWindow(Duration slice) : axis_(kBins, kMinUs, kMaxUs), slice_(slice) {}

void LatencyWindow::clear() {
  for (auto& s : slices_) s.fill(0);
  totals_.fill(0);
  sum_.fill(0);
  total_ = 0;
}

void LatencyWindow::advance(TimePoint now) {
  const auto number = now.time_since_epoch() / slice_;
  if (!started_) {
    started_ = true;
    at_ = number;
  }
  if (number <= at_) return;  // a clock that stands still, or back, ages nothing
  if (number - at_ >= std::int64_t(kSlices)) {
    clear();
    at_ = number;
    return;
  }
  while (at_ < number) {
    const auto i = std::size_t(++at_) % kSlices;
    for (std::size_t b = 0; b < sum_.size(); ++b) sum_[b] -= slices_[i][b];
    total_ -= std::exchange(totals_[i], 0);
    slices_[i].fill(0);
  }
}

void LatencyWindow::record(Duration latency, TimePoint now) {
  advance(now);
  const auto bin = std::size_t(axis_.index(std::max(double(latency.count()), 1.0)) + 1);
  const auto i = std::size_t(at_) % kSlices;
  ++slices_[i][bin];
  ++totals_[i];
  ++sum_[bin];
  ++total_;
}

std::uint32_t LatencyWindow::samples(TimePoint now) {
  advance(now);
  return total_;
}

std::optional<Duration> LatencyWindow::quantile(double q, TimePoint now, std::uint32_t min_samples) {
  advance(now);
  if (total_ == 0 || total_ < min_samples) return std::nullopt;
  const auto rank = std::uint32_t(std::ceil(std::clamp(q, 0.0, 1.0) * total_));
  std::uint32_t seen = 0;
  for (std::size_t b = 0; b < sum_.size(); ++b) {
    seen += sum_[b];
    if (seen < std::max(rank, 1u)) continue;
    // The middle of the bin on its log axis; its bound where it has only one.
    if (b == 0) return Duration(std::int64_t(kMinUs));
    if (b > kBins) return Duration(std::int64_t(kMaxUs));
    return Duration(std::llround(axis_.value(double(b) - 0.5)));
  }
  return Duration(std::int64_t(kMaxUs));
}

}  // namespace granitegap::deps
