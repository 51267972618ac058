#include "deps/endpoints.h"

#include <algorithm>
#include <cmath>

namespace granitegap::deps {
namespace {

constexpr std::uint32_t kFailuresInARow = 5;
constexpr double kDecaySeconds = 2;    // of the peak latency
constexpr double kUnknownUs = 1000;    // of an endpoint not heard of yet: worth a try
constexpr double kMinShare = 0.1;      // at the beginning of a slow start
constexpr std::uint32_t kGrowths = 8;  // of the time out; bounded by max_eject long before

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace

EndpointSet::EndpointSet(const DependencySpec& spec) { change(spec); }

void EndpointSet::change(const DependencySpec& spec) {
  all_in_ = false;  // looked at by the next pick
  max_ejected_ = spec.max_ejected;
  eject_for_ = spec.eject_for;
  max_eject_ = spec.max_eject;
  slow_start_ = spec.slow_start;
  for (auto& e : all_) {
    const bool stays =
        std::find(spec.endpoints.begin(), spec.endpoints.end(), e.address) != spec.endpoints.end();
    if (!stays) e.state = State::gone;
  }
  for (const auto& address : spec.endpoints) {
    const auto known = std::find_if(all_.begin(), all_.end(), [&](auto& e) { return e.address == address; });
    if (known != all_.end()) {
      if (known->state == State::gone) known->state = State::in;
      continue;
    }
    const auto free =
        std::find_if(all_.begin(), all_.end(), [](auto& e) { return e.state == State::gone && e.open == 0; });
    auto& e = free != all_.end() ? *free : all_.emplace_back();
    e = Endpoint{};
    e.address = address;
  }
}

double EndpointSet::cost(const Endpoint& e, TimePoint now) const {
  double peak = e.peak_us > 0 ? e.peak_us * std::exp(-seconds(now - e.heard) / kDecaySeconds) : kUnknownUs;
  peak = std::max(peak, 1.0);
  double share = 1;
  if (e.slow_start) {
    const double part = slow_start_.count() > 0 ? seconds(now - e.back_at) / seconds(slow_start_) : 1;
    share = std::clamp(part, kMinShare, 1.0);
  }
  return peak * (e.open + 1) / share;
}

std::optional<EndpointSet::Index> EndpointSet::pick(TimePoint now, double random1, double random2,
                                                    std::optional<Index> not_this) {
  const auto better = [&](Index a, Index b) { return cost(all_[b], now) < cost(all_[a], now) ? b : a; };
  if (all_in_ && all_.size() > 2) {
    const auto n = Index(all_.size());
    // One of those that are not `not_this`, and another one: numbers past the ones left out move up.
    const auto among = n - (not_this ? 1 : 0);
    auto first = std::min(Index(random1 * among), among - 1);
    auto second = std::min(Index(random2 * (among - 1)), among - 2);
    if (second >= first) ++second;
    if (not_this && first >= *not_this) ++first;
    if (not_this && second >= *not_this) ++second;
    return better(first, second);
  }
  std::uint32_t eligible = 0;
  std::optional<Index> last_resort;
  all_in_ = std::all_of(all_.begin(), all_.end(),
                        [&](const auto& e) { return e.state == State::in && e.held_until <= now; });
  const auto fits = [&](Index i) {
    const auto& e = all_[i];
    return e.state == State::in && e.held_until <= now && i != not_this;
  };
  for (Index i = 0; i < all_.size(); ++i) {
    auto& e = all_[i];
    if (e.state == State::ejected && e.until <= now && e.held_until <= now && i != not_this) {
      e.state = State::half_open;  // this call alone, until its end is told
      return i;
    }
    if (fits(i)) ++eligible;
    if (e.state == State::in && e.held_until <= now) last_resort = i;
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
  for (Index i = 0; i < all_.size(); ++i) {
    if (!fits(i)) continue;
    if (seen == first) a = i;
    if (seen == second) b = i;
    ++seen;
  }
  return b ? better(*a, *b) : *a;
}

void EndpointSet::started(Index i) { ++all_[i].open; }

void EndpointSet::succeeded(Index i, Duration took, TimePoint now) {
  auto& e = all_[i];
  e.open -= e.open > 0;
  const double us = double(took.count());
  const double kept = e.peak_us * std::exp(-seconds(now - e.heard) / kDecaySeconds);
  // A peak is believed at once, an improvement bit by bit.
  e.peak_us = us > kept ? us : kept + 0.3 * (us - kept);
  e.heard = now;
  e.in_a_row = 0;
  if (e.state == State::half_open) {
    e.state = State::in;
    e.slow_start = true;
    e.back_at = now;
  } else if (e.slow_start && now - e.back_at >= slow_start_) {
    e.slow_start = false;
    e.times_out = 0;  // it has held
  }
}

void EndpointSet::failed(Index i, TimePoint now) {
  auto& e = all_[i];
  e.open -= e.open > 0;
  ++e.in_a_row;
  if (e.state == State::half_open) return eject(e, now);
  if (e.state != State::in || e.in_a_row < kFailuresInARow) return;
  // Guards against putting out so many that the rest are overrun, or all for a fault that is theirs together.
  if (may_eject()) eject(e, now);
}

bool EndpointSet::may_eject() const {
  std::size_t there = 0;
  for (const auto& e : all_) there += e.state != State::gone;
  return count_out() + 1 <= std::size_t(max_ejected_ * double(there));
}

void EndpointSet::eject(Endpoint& e, TimePoint now) {
  e.state = State::ejected;
  all_in_ = false;
  const auto longer = eject_for_ * (std::int64_t(1) << std::min(e.times_out, kGrowths));
  e.until = now + std::min(longer, max_eject_);
  ++e.times_out;
  e.in_a_row = 0;
}

void EndpointSet::abandoned(Index i) {
  auto& e = all_[i];
  e.open -= e.open > 0;
  if (e.state == State::half_open) e.state = State::ejected;  // its time is over: the next call tries
}

void EndpointSet::hold(Index i, TimePoint until) {
  all_in_ = false;
  all_[i].held_until = std::max(all_[i].held_until, until);
}

void EndpointSet::all_back(TimePoint now) {
  for (auto& e : all_) {
    if (e.state == State::gone) continue;
    e.in_a_row = 0;
    if (e.state == State::ejected) e.until = now;
    if (e.state == State::in) {
      e.slow_start = true;
      e.back_at = now;
    }
  }
}

std::optional<EndpointSet::Known> EndpointSet::known(Index i, TimePoint now) const {
  const auto& e = all_[i];
  Known k;
  if (e.state == State::ejected) k.out_for = std::max(e.until - now, Duration{});
  k.times_out = e.times_out;
  if (e.peak_us > 0) {
    k.latency = Duration(std::int64_t(e.peak_us));
    k.heard_ago = std::max(now - e.heard, Duration{});
  }
  if (e.state == State::gone || (k.out_for.count() == 0 && k.latency.count() == 0)) return std::nullopt;
  return k;
}

bool EndpointSet::learn(Index i, const Known& k, TimePoint now) {
  auto& e = all_[i];
  if (e.state != State::in || e.peak_us > 0 || e.in_a_row > 0 || e.times_out > 0) return false;
  if (k.latency.count() > 0) {
    e.peak_us = double(k.latency.count());
    e.heard = now - k.heard_ago;
  }
  if (k.out_for.count() <= 0 || !may_eject()) return true;
  e.state = State::ejected;
  all_in_ = false;
  e.until = now + std::min(k.out_for, max_eject_);
  e.times_out = std::clamp<std::uint32_t>(k.times_out, 1, kGrowths);
  return true;
}

std::size_t EndpointSet::count_out() const {
  return std::size_t(std::count_if(all_.begin(), all_.end(), [](const auto& e) {
    return e.state == State::ejected || e.state == State::half_open;
  }));
}

}  // namespace granitegap::deps
