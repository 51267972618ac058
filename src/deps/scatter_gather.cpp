// ScatterGather, core: construction, loading a declaration (Spec), per-dependency latency summaries, the
// memory of recent failures, and the timer heap that drives deadlines, timeouts, hedges and retries.
// Gathers live in scatter_gather_parts.cpp, calls in scatter_gather_calls.cpp, fleet and learned state in
// scatter_gather_fleet.cpp.
#include "deps/scatter_gather.h"

#include <algorithm>
#include <cmath>

#include "deps/scatter_gather_detail.h"

namespace granitegap::deps {
namespace {

constexpr std::uint32_t kSamplesForTimeout = 10, kSamplesForHedge = 20;
constexpr double kTimeoutQuantile = 0.99;
constexpr std::uint32_t kSamplesPerSummary = 16;  // new samples after which the summary is computed anew
constexpr Duration kSummaryLifetime = std::chrono::milliseconds(50);
constexpr std::size_t kFailures = 1024;

using detail::hash_of;

}  // namespace

ScatterGather::Dependency::Dependency(const DependencySpec& s)
    : spec(s),
      endpoints(s),
      limit(s.min_in_flight, s.max_in_flight),
      budget(s.retry_budget_ratio, s.max_retry_budget),
      circuit(s.probe_interval, s.max_probe_interval) {
  name_endpoints();
}

void ScatterGather::Dependency::name_endpoints() {
  fleet_keys.clear();
  for (std::uint32_t i = 0; i < endpoints.slot_count(); ++i) {
    const auto& a = endpoints.address(i);
    fleet_keys.push_back(membership::name_hash(spec.name + ' ' + a.host + ' ' + std::to_string(a.port)));
  }
}

void ScatterGather::Dependency::note_probe(std::uint32_t endpoint, bool out, TimePoint now) {
  const auto key = fleet_keys[endpoint];
  std::erase_if(probed,
                [&](const auto& p) { return p.key == key || now - p.at >= 4 * spec.max_probe_interval; });
  probed.push_back({key, now, out});
}

void ScatterGather::Dependency::heard(Duration took, TimePoint now) {
  latency.record(took, now);
  ++samples_since_summary;
}

const ScatterGather::LatencySummary& ScatterGather::Dependency::latency_summary(TimePoint now) {
  if (samples_since_summary < kSamplesPerSummary && now - summary_taken_at < kSummaryLifetime) return summary;
  samples_since_summary = 0;
  summary_taken_at = now;
  // The median of a window follows a change by seconds, the mean of the newest answers within a few: guards
  // against slowness read as failure.
  summary.median = latency.quantile(0.5, now, kSamplesForTimeout).value_or(Duration{});
  if (summary.median.count() > 0) summary.median = std::max(summary.median, limit.recent_latency());
  summary.high = latency.quantile(kTimeoutQuantile, now, kSamplesForTimeout).value_or(Duration{});
  summary.hedge = spec.hedge_quantile > 0
                      ? latency.quantile(spec.hedge_quantile, now, kSamplesForHedge).value_or(Duration{})
                      : Duration{};
  return summary;
}

ScatterGather::ScatterGather(std::shared_ptr<const Spec> spec, std::uint64_t seed, bool guarded)
    : guarded_(guarded),
      hash_seed_(mix_bits(seed + 1)),
      random_(seed),
      failures_(kFailures),
      cache_(spec->max_cache_bytes) {
  loaded_ = load(std::move(spec), TimePoint{});
}

std::shared_ptr<const ScatterGather::Loaded> ScatterGather::load(std::shared_ptr<const Spec> spec,
                                                                 TimePoint now) {
  auto fresh = std::make_shared<Loaded>();
  for (const auto& d : spec->dependencies) {
    const auto known =
        std::find_if(deps_.begin(), deps_.end(), [&](auto& k) { return k.spec.name == d.name; });
    fresh->dependency.push_back(std::uint32_t(known - deps_.begin()));
    if (known == deps_.end()) {
      deps_.emplace_back(d);
      continue;
    }
    known->spec = d;
    known->endpoints.update(d);
    known->name_endpoints();
    known->limit.set_bounds(d.min_in_flight, d.max_in_flight);
    known->budget.configure(d.retry_budget_ratio, d.max_retry_budget);
    known->circuit.configure(d.probe_interval, d.max_probe_interval);
  }
  for (std::size_t g = 0; g < spec->gathers.size(); ++g) {
    const auto& gather = spec->gathers[g];
    const auto cls = std::size_t(gather.cls);
    if (cls >= fresh->gather_of.size()) fresh->gather_of.resize(cls + 1, -1);
    fresh->gather_of[cls] = std::int32_t(g);
    auto& paths = fresh->paths.emplace_back();
    for (const auto& part : gather.parts) {
      auto parsed = PathTemplate::parse(part.path);
      // Whoever reads a declaration checks its paths; one that slips through yields a part that is never
      // there.
      paths.push_back(std::holds_alternative<PathTemplate>(parsed) ? std::get<PathTemplate>(std::move(parsed))
                                                                   : PathTemplate{});
    }
  }
  auto fills = std::make_shared<Loaded>();
  auto each = std::make_shared<Spec>();
  fills->dependency = fresh->dependency;
  for (std::size_t d = 0; d < spec->dependencies.size(); ++d) {
    PartSpec part;
    part.name = "filled";
    part.dependency = d;
    part.required = true;
    each->gathers.push_back({ClassId{}, {}, {std::move(part)}});
  }
  fills->spec = std::move(each);
  fresh->fills = std::move(fills);
  fresh->spec = std::move(spec);
  share_limits();
  cache_.resize(fresh->spec->max_cache_bytes);
  for (std::uint32_t d = 0; d < deps_.size(); ++d) pump(d, now);
  return fresh;
}

void ScatterGather::update_spec(std::shared_ptr<const Spec> spec, TimePoint now) {
  loaded_ = load(std::move(spec), now);
}

bool ScatterGather::has_gather(ClassId cls) const {
  const auto i = std::size_t(cls);
  return i < loaded_->gather_of.size() && loaded_->gather_of[i] >= 0;
}

ScatterGather::Slot ScatterGather::find_gather(RequestId id) const {
  return by_request_.find(hash_of(id), [&](Slot s) { return gathers_[s].id == id; });
}

bool ScatterGather::failed_lately(const CacheKey& key, TimePoint now) const {
  const auto& f = failures_[std::size_t(key.low % kFailures)];
  return f.key == key && now < f.until;
}

void ScatterGather::remember_failure(const CacheKey& key, TimePoint now) {
  failures_[std::size_t(key.low % kFailures)] = {key, now + loaded_->spec->negative_cache_ttl};
}

// ---- Timers ----

void ScatterGather::set_timer(TimePoint at, TimerKind kind, Slot slot, std::uint32_t generation,
                              std::uint32_t number) {
  timers_.push_back({at, timer_order_++, kind, slot, generation, number});
  std::push_heap(timers_.begin(), timers_.end(), std::greater<>());
}

bool ScatterGather::stands(const Timer& t) const {
  switch (t.kind) {
    case TimerKind::part:
      return gathers_[t.slot].generation == t.generation && gathers_[t.slot].parts[t.number].flight != kNone;
    case TimerKind::call:
      return flights_[t.slot].generation == t.generation && flights_[t.slot].attempts[t.number].open;
    case TimerKind::hedge:
      return flights_[t.slot].generation == t.generation && flights_[t.slot].attempts[t.number].open &&
             flights_[t.slot].attempts_made == t.number + 1;
    case TimerKind::retry:
      return flights_[t.slot].generation == t.generation && flights_[t.slot].state == FlightState::pausing;
    case TimerKind::owner:
      return flights_[t.slot].generation == t.generation && flights_[t.slot].asking.open;
  }
  return false;
}

std::optional<TimePoint> ScatterGather::next_timer() {
  while (!timers_.empty() && !stands(timers_.front())) {
    std::pop_heap(timers_.begin(), timers_.end(), std::greater<>());
    timers_.pop_back();
  }
  if (timers_.empty()) return std::nullopt;
  return timers_.front().at;
}

void ScatterGather::tick(TimePoint now) {
  while (!timers_.empty() && timers_.front().at <= now) {
    const auto timer = timers_.front();
    std::pop_heap(timers_.begin(), timers_.end(), std::greater<>());
    timers_.pop_back();
    if (stands(timer)) fire(timer, now);
  }
}

void ScatterGather::fire(const Timer& t, TimePoint now) {
  switch (t.kind) {
    case TimerKind::part: {
      // A try whose time is over at the same moment is told of first, or the budget's end would hide that the
      // dependency hangs.
      const auto flight = gathers_[t.slot].parts[t.number].flight;
      const auto generation = flights_[flight].generation;
      for (std::uint32_t i = 0;
           flights_[flight].generation == generation && i < flights_[flight].attempts_made; ++i)
        if (flights_[flight].attempts[i].open && flights_[flight].attempts[i].until <= now)
          time_out(flight, i, now);
      if (gathers_[t.slot].generation != t.generation || gathers_[t.slot].parts[t.number].flight == kNone)
        return;
      leave(t.slot, t.number, now);
      return fall_back(t.slot, t.number, now);
    }
    case TimerKind::call:
      return time_out(t.slot, t.number, now);
    case TimerKind::owner:
      actions_.emplace_back(CancelCall{call_id(t.slot, kOwnerAttempt)});
      owners_.on_failure(flights_[t.slot].asking.owner.member_hash, now);
      return owner_failed(t.slot, now);
    case TimerKind::hedge: {
      auto& d = deps_[flights_[t.slot].dependency];
      // In the same budget as retries, and never past the limit: a hedge is a luxury.
      if (d.circuit.is_open() || d.waiting > 0 || d.open >= d.limit.limit() || d.spec.max_attempts < 2 ||
          !d.budget.try_withdraw(now))
        return;
      ++counters_.hedges;
      return start_attempt(t.slot, now);
    }
    case TimerKind::retry: {
      auto& d = deps_[flights_[t.slot].dependency];
      if (d.circuit.is_open()) return give_up(t.slot, now);
      return launch(t.slot, now);
    }
  }
}

}  // namespace granitegap::deps
