#include "deps/endpoints.h"

#include <algorithm>
#include <cmath>

namespace granitegap::deps {
namespace {

constexpr std::uint32_t kConsecutiveFailures = 5;  // consecutive failures that eject an endpoint
constexpr double kPeakDecaySeconds = 2;            // time constant of the peak latency's decay
constexpr double kImprovementGain = 0.3;           // weight of a sample that is below the peak
constexpr double kInitialLatencyUs = 1000;         // latency assumed for an endpoint without samples
constexpr double kMinSlowStartWeight = 0.1;        // weight at the beginning of a slow start
// Keeps the shift in range. max_ejection_time bounds the duration long before.
constexpr std::uint32_t kMaxEjectionDoublings = 8;

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

double decayed_peak(double peak_us, Duration age) {
  return peak_us * std::exp(-seconds(age) / kPeakDecaySeconds);
}

}  // namespace

EndpointSet::EndpointSet(const DependencySpec& spec) { update(spec); }

void EndpointSet::update(const DependencySpec& spec) {
  all_available_ = false;  // recomputed by the next pick()
  max_ejection_ratio_ = spec.max_ejection_ratio;
  base_ejection_time_ = spec.base_ejection_time;
  max_ejection_time_ = spec.max_ejection_time;
  slow_start_window_ = spec.slow_start_window;
  for (auto& endpoint : endpoints_) {
    const bool stays =
        std::find(spec.endpoints.begin(), spec.endpoints.end(), endpoint.address) != spec.endpoints.end();
    if (!stays) endpoint.state = State::removed;
  }
  for (const auto& address : spec.endpoints) {
    const auto known = std::find_if(endpoints_.begin(), endpoints_.end(),
                                    [&](const Endpoint& endpoint) { return endpoint.address == address; });
    if (known == endpoints_.end()) {
      auto& added = free_slot();
      added = Endpoint{};
      added.address = address;
    } else if (known->state == State::removed) {
      known->state = State::healthy;
    }
  }
}

EndpointSet::Endpoint& EndpointSet::free_slot() {
  const auto free = std::find_if(endpoints_.begin(), endpoints_.end(), [](const Endpoint& endpoint) {
    return endpoint.state == State::removed && endpoint.in_flight == 0;
  });
  return free != endpoints_.end() ? *free : endpoints_.emplace_back();
}

bool EndpointSet::is_available(const Endpoint& endpoint, TimePoint now) const {
  return endpoint.state == State::healthy && endpoint.retry_after <= now;
}

double EndpointSet::load_score(const Endpoint& endpoint, TimePoint now) const {
  double peak_us = kInitialLatencyUs;
  if (endpoint.peak_us > 0) peak_us = decayed_peak(endpoint.peak_us, now - endpoint.last_sample);
  peak_us = std::max(peak_us, 1.0);
  double weight = 1;
  if (endpoint.in_slow_start) {
    const double progress = slow_start_window_.count() > 0
                                ? seconds(now - endpoint.slow_start_began) / seconds(slow_start_window_)
                                : 1;
    weight = std::clamp(progress, kMinSlowStartWeight, 1.0);
  }
  return peak_us * (endpoint.in_flight + 1) / weight;
}

EndpointSet::Index EndpointSet::less_loaded(Index a, Index b, TimePoint now) const {
  return load_score(endpoints_[b], now) < load_score(endpoints_[a], now) ? b : a;
}

std::optional<EndpointSet::Index> EndpointSet::pick(TimePoint now, double random1, double random2,
                                                    std::optional<Index> avoid) {
  if (all_available_ && endpoints_.size() > 2) return pick_among_all(now, random1, random2, avoid);
  all_available_ = std::all_of(endpoints_.begin(), endpoints_.end(),
                               [&](const Endpoint& endpoint) { return is_available(endpoint, now); });
  if (const auto trial = begin_trial(now, avoid)) return trial;
  return pick_by_scan(now, random1, random2, avoid);
}

// Picks between two different endpoints other than `avoid`, without a scan: an index at or past an excluded
// one moves up by one.
EndpointSet::Index EndpointSet::pick_among_all(TimePoint now, double random1, double random2,
                                               std::optional<Index> avoid) const {
  const auto candidates = Index(endpoints_.size()) - (avoid ? 1 : 0);
  auto first = std::min(Index(random1 * candidates), candidates - 1);
  auto second = std::min(Index(random2 * (candidates - 1)), candidates - 2);
  if (second >= first) ++second;
  if (avoid && first >= *avoid) ++first;
  if (avoid && second >= *avoid) ++second;
  return less_loaded(first, second, now);
}

// Makes the first ejected endpoint whose ejection time is over half-open, for a single trial attempt.
std::optional<EndpointSet::Index> EndpointSet::begin_trial(TimePoint now, std::optional<Index> avoid) {
  for (Index i = 0; i < endpoints_.size(); ++i) {
    auto& endpoint = endpoints_[i];
    const bool is_due =
        endpoint.state == State::ejected && endpoint.ejected_until <= now && endpoint.retry_after <= now;
    if (!is_due || i == avoid) continue;
    endpoint.state = State::half_open;
    return i;
  }
  return std::nullopt;
}

std::optional<EndpointSet::Index> EndpointSet::pick_by_scan(TimePoint now, double random1, double random2,
                                                            std::optional<Index> avoid) const {
  std::uint32_t candidates = 0;
  std::optional<Index> last_resort;  // may be `avoid`
  for (Index i = 0; i < endpoints_.size(); ++i) {
    if (!is_available(endpoints_[i], now)) continue;
    last_resort = i;
    if (i != avoid) ++candidates;
  }
  if (candidates == 0) return last_resort;

  const auto first = std::min(std::uint32_t(random1 * candidates), candidates - 1);
  auto second = candidates;  // no second candidate
  if (candidates > 1) {
    second = std::min(std::uint32_t(random2 * (candidates - 1)), candidates - 2);
    if (second >= first) ++second;
  }
  std::optional<Index> a, b;
  std::uint32_t position = 0;  // among the candidates
  for (Index i = 0; i < endpoints_.size(); ++i) {
    if (!is_available(endpoints_[i], now) || i == avoid) continue;
    if (position == first) a = i;
    if (position == second) b = i;
    ++position;
  }
  return b ? less_loaded(*a, *b, now) : *a;
}

void EndpointSet::on_call_started(Index i) { ++endpoints_[i].in_flight; }

void EndpointSet::end_call(Endpoint& endpoint) {
  if (endpoint.in_flight > 0) --endpoint.in_flight;
}

void EndpointSet::on_success(Index i, Duration took, TimePoint now) {
  auto& endpoint = endpoints_[i];
  end_call(endpoint);
  // Peak EWMA: a higher latency takes effect at once, a lower one gradually.
  const double sample_us = double(took.count());
  const double peak_us = decayed_peak(endpoint.peak_us, now - endpoint.last_sample);
  endpoint.peak_us = sample_us > peak_us ? sample_us : peak_us + kImprovementGain * (sample_us - peak_us);
  endpoint.last_sample = now;
  endpoint.consecutive_failures = 0;
  if (endpoint.state == State::half_open) {
    endpoint.state = State::healthy;
    endpoint.in_slow_start = true;
    endpoint.slow_start_began = now;
  } else if (endpoint.in_slow_start && now - endpoint.slow_start_began >= slow_start_window_) {
    endpoint.in_slow_start = false;
    endpoint.ejections = 0;
  }
}

void EndpointSet::on_failure(Index i, TimePoint now) {
  auto& endpoint = endpoints_[i];
  end_call(endpoint);
  ++endpoint.consecutive_failures;
  if (endpoint.state == State::half_open) return eject(endpoint, now);
  if (endpoint.state != State::healthy || endpoint.consecutive_failures < kConsecutiveFailures) return;
  // Ejecting more would overload the remaining endpoints. The circuit breaker handles a fault of all of them.
  if (may_eject_another()) eject(endpoint, now);
}

bool EndpointSet::may_eject_another() const {
  const auto present = std::count_if(endpoints_.begin(), endpoints_.end(), [](const Endpoint& endpoint) {
    return endpoint.state != State::removed;
  });
  return ejected_count() + 1 <= std::size_t(max_ejection_ratio_ * double(present));
}

void EndpointSet::eject(Endpoint& endpoint, TimePoint now) {
  endpoint.state = State::ejected;
  all_available_ = false;
  const auto duration =
      base_ejection_time_ * (std::int64_t(1) << std::min(endpoint.ejections, kMaxEjectionDoublings));
  endpoint.ejected_until = now + std::min(duration, max_ejection_time_);
  ++endpoint.ejections;
  endpoint.consecutive_failures = 0;
}

void EndpointSet::on_cancelled(Index i) {
  auto& endpoint = endpoints_[i];
  end_call(endpoint);
  // The trial had no result. The ejection time is over, so that the next attempt is another trial.
  if (endpoint.state == State::half_open) endpoint.state = State::ejected;
}

void EndpointSet::set_retry_after(Index i, TimePoint until) {
  all_available_ = false;
  endpoints_[i].retry_after = std::max(endpoints_[i].retry_after, until);
}

void EndpointSet::begin_slow_start(TimePoint now) {
  for (auto& endpoint : endpoints_) {
    if (endpoint.state == State::removed) continue;
    endpoint.consecutive_failures = 0;
    if (endpoint.state == State::ejected) endpoint.ejected_until = now;
    if (endpoint.state == State::healthy) {
      endpoint.in_slow_start = true;
      endpoint.slow_start_began = now;
    }
  }
}

std::optional<EndpointStats> EndpointSet::stats(Index i, TimePoint now) const {
  const auto& endpoint = endpoints_[i];
  EndpointStats stats;
  if (endpoint.state == State::ejected)
    stats.ejected_for = std::max(endpoint.ejected_until - now, Duration{});
  stats.ejections = endpoint.ejections;
  if (endpoint.peak_us > 0) {
    stats.latency = Duration(std::int64_t(endpoint.peak_us));
    stats.sample_age = std::max(now - endpoint.last_sample, Duration{});
  }
  const bool has_no_data = stats.ejected_for.count() == 0 && stats.latency.count() == 0;
  if (endpoint.state == State::removed || has_no_data) return std::nullopt;
  return stats;
}

bool EndpointSet::restore(Index i, const EndpointStats& stats, TimePoint now) {
  auto& endpoint = endpoints_[i];
  const bool has_own_evidence =
      endpoint.peak_us > 0 || endpoint.consecutive_failures > 0 || endpoint.ejections > 0;
  if (endpoint.state != State::healthy || has_own_evidence) return false;
  if (stats.latency.count() > 0) {
    endpoint.peak_us = double(stats.latency.count());
    endpoint.last_sample = now - stats.sample_age;
  }
  if (stats.ejected_for.count() <= 0 || !may_eject_another()) return true;
  endpoint.state = State::ejected;
  all_available_ = false;
  endpoint.ejected_until = now + std::min(stats.ejected_for, max_ejection_time_);
  endpoint.ejections = std::clamp<std::uint32_t>(stats.ejections, 1, kMaxEjectionDoublings);
  return true;
}

std::size_t EndpointSet::ejected_count() const {
  return std::size_t(std::count_if(endpoints_.begin(), endpoints_.end(), [](const Endpoint& endpoint) {
    return endpoint.state == State::ejected || endpoint.state == State::half_open;
  }));
}

}  // namespace granitegap::deps
