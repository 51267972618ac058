#include "deps/endpoints.h"

#include <algorithm>
#include <cmath>

namespace granitegap::deps {
namespace {

constexpr std::uint32_t kConsecutiveFailures = 5;
constexpr double kDecaySeconds = 2;                 // of the peak latency
constexpr double kInitialLatencyUs = 1000;          // of an endpoint not heard of yet: worth a try
constexpr double kMinSlowStartWeight = 0.1;         // at the beginning of a slow start
constexpr std::uint32_t kMaxEjectionDoublings = 8;  // of the time out; bounded by max_eject long before

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace

EndpointSet::EndpointSet(const DependencySpec& spec) { update(spec); }

void EndpointSet::update(const DependencySpec& spec) {
  all_available_ = false;  // looked at by the next pick
  max_ejected_ = spec.max_ejection_ratio;
  eject_for_ = spec.base_ejection_time;
  max_eject_ = spec.max_ejection_time;
  slow_start_ = spec.slow_start_window;
  for (auto& e : endpoints_) {
    const bool stays =
        std::find(spec.endpoints.begin(), spec.endpoints.end(), e.address) != spec.endpoints.end();
    if (!stays) e.state = State::removed;
  }
  for (const auto& address : spec.endpoints) {
    const auto known =
        std::find_if(endpoints_.begin(), endpoints_.end(), [&](auto& e) { return e.address == address; });
    if (known != endpoints_.end()) {
      if (known->state == State::removed) known->state = State::healthy;
      continue;
    }
    const auto free = std::find_if(endpoints_.begin(), endpoints_.end(),
                                   [](auto& e) { return e.state == State::removed && e.in_flight == 0; });
    auto& e = free != endpoints_.end() ? *free : endpoints_.emplace_back();
    e = Endpoint{};
    e.address = address;
  }
}

double EndpointSet::load_score(const Endpoint& e, TimePoint now) const {
  double peak =
      e.peak_us > 0 ? e.peak_us * std::exp(-seconds(now - e.last_sample) / kDecaySeconds) : kInitialLatencyUs;
  peak = std::max(peak, 1.0);
  double share = 1;
  if (e.slow_start) {
    const double part =
        slow_start_.count() > 0 ? seconds(now - e.slow_start_began) / seconds(slow_start_) : 1;
    share = std::clamp(part, kMinSlowStartWeight, 1.0);
  }
  return peak * (e.in_flight + 1) / share;
}

std::optional<EndpointSet::Index> EndpointSet::pick(TimePoint now, double random1, double random2,
                                                    std::optional<Index> avoid) {
  const auto better = [&](Index a, Index b) {
    return load_score(endpoints_[b], now) < load_score(endpoints_[a], now) ? b : a;
  };
  if (all_available_ && endpoints_.size() > 2) {
    const auto n = Index(endpoints_.size());
    // One of those that are not `avoid`, and another one: numbers past the ones left out move up.
    const auto among = n - (avoid ? 1 : 0);
    auto first = std::min(Index(random1 * among), among - 1);
    auto second = std::min(Index(random2 * (among - 1)), among - 2);
    if (second >= first) ++second;
    if (avoid && first >= *avoid) ++first;
    if (avoid && second >= *avoid) ++second;
    return better(first, second);
  }
  std::uint32_t eligible = 0;
  std::optional<Index> last_resort;
  all_available_ = std::all_of(endpoints_.begin(), endpoints_.end(), [&](const auto& e) {
    return e.state == State::healthy && e.retry_after <= now;
  });
  const auto fits = [&](Index i) {
    const auto& e = endpoints_[i];
    return e.state == State::healthy && e.retry_after <= now && i != avoid;
  };
  for (Index i = 0; i < endpoints_.size(); ++i) {
    auto& e = endpoints_[i];
    if (e.state == State::ejected && e.ejected_until <= now && e.retry_after <= now && i != avoid) {
      e.state = State::half_open;  // this call alone, until its end is told
      return i;
    }
    if (fits(i)) ++eligible;
    if (e.state == State::healthy && e.retry_after <= now) last_resort = i;
  }
  if (eligible == 0) return last_resort;
  auto first = std::min(std::uint32_t(random1 * eligible), eligible - 1);
  auto second = eligible;  // none
  if (eligible > 1) {
    second = std::min(std::uint32_t(random2 * (eligible - 1)), eligible - 2);
    if (second >= first) ++second;
  }
  std::optional<Index> a, b;
  std::uint32_t seen = 0;
  for (Index i = 0; i < endpoints_.size(); ++i) {
    if (!fits(i)) continue;
    if (seen == first) a = i;
    if (seen == second) b = i;
    ++seen;
  }
  return b ? better(*a, *b) : *a;
}

void EndpointSet::on_call_started(Index i) { ++endpoints_[i].in_flight; }

void EndpointSet::on_success(Index i, Duration took, TimePoint now) {
  auto& e = endpoints_[i];
  e.in_flight -= e.in_flight > 0;
  const double us = double(took.count());
  const double kept = e.peak_us * std::exp(-seconds(now - e.last_sample) / kDecaySeconds);
  // A peak is believed at once, an improvement bit by bit.
  e.peak_us = us > kept ? us : kept + 0.3 * (us - kept);
  e.last_sample = now;
  e.consecutive_failures = 0;
  if (e.state == State::half_open) {
    e.state = State::healthy;
    e.slow_start = true;
    e.slow_start_began = now;
  } else if (e.slow_start && now - e.slow_start_began >= slow_start_) {
    e.slow_start = false;
    e.ejections = 0;  // it has held
  }
}

void EndpointSet::on_failure(Index i, TimePoint now) {
  auto& e = endpoints_[i];
  e.in_flight -= e.in_flight > 0;
  ++e.consecutive_failures;
  if (e.state == State::half_open) return eject(e, now);
  if (e.state != State::healthy || e.consecutive_failures < kConsecutiveFailures) return;
  // Guards against putting out so many that the rest are overrun, or all for a fault that is theirs together.
  if (may_eject_another()) eject(e, now);
}

bool EndpointSet::may_eject_another() const {
  std::size_t there = 0;
  for (const auto& e : endpoints_) there += e.state != State::removed;
  return ejected_count() + 1 <= std::size_t(max_ejected_ * double(there));
}

void EndpointSet::eject(Endpoint& e, TimePoint now) {
  e.state = State::ejected;
  all_available_ = false;
  const auto longer = eject_for_ * (std::int64_t(1) << std::min(e.ejections, kMaxEjectionDoublings));
  e.ejected_until = now + std::min(longer, max_eject_);
  ++e.ejections;
  e.consecutive_failures = 0;
}

void EndpointSet::on_cancelled(Index i) {
  auto& e = endpoints_[i];
  e.in_flight -= e.in_flight > 0;
  if (e.state == State::half_open) e.state = State::ejected;  // its time is over: the next call tries
}

void EndpointSet::set_retry_after(Index i, TimePoint ejected_until) {
  all_available_ = false;
  endpoints_[i].retry_after = std::max(endpoints_[i].retry_after, ejected_until);
}

void EndpointSet::begin_slow_start(TimePoint now) {
  for (auto& e : endpoints_) {
    if (e.state == State::removed) continue;
    e.consecutive_failures = 0;
    if (e.state == State::ejected) e.ejected_until = now;
    if (e.state == State::healthy) {
      e.slow_start = true;
      e.slow_start_began = now;
    }
  }
}

std::optional<EndpointStats> EndpointSet::stats(Index i, TimePoint now) const {
  const auto& e = endpoints_[i];
  EndpointStats k;
  if (e.state == State::ejected) k.ejected_for = std::max(e.ejected_until - now, Duration{});
  k.ejections = e.ejections;
  if (e.peak_us > 0) {
    k.latency = Duration(std::int64_t(e.peak_us));
    k.sample_age = std::max(now - e.last_sample, Duration{});
  }
  if (e.state == State::removed || (k.ejected_for.count() == 0 && k.latency.count() == 0))
    return std::nullopt;
  return k;
}

bool EndpointSet::restore(Index i, const EndpointStats& k, TimePoint now) {
  auto& e = endpoints_[i];
  if (e.state != State::healthy || e.peak_us > 0 || e.consecutive_failures > 0 || e.ejections > 0)
    return false;
  if (k.latency.count() > 0) {
    e.peak_us = double(k.latency.count());
    e.last_sample = now - k.sample_age;
  }
  if (k.ejected_for.count() <= 0 || !may_eject_another()) return true;
  e.state = State::ejected;
  all_available_ = false;
  e.ejected_until = now + std::min(k.ejected_for, max_eject_);
  e.ejections = std::clamp<std::uint32_t>(k.ejections, 1, kMaxEjectionDoublings);
  return true;
}

std::size_t EndpointSet::ejected_count() const {
  return std::size_t(std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& e) {
    return e.state == State::ejected || e.state == State::half_open;
  }));
}

}  // namespace granitegap::deps
