// ScatterGather, calls: the calls below shared by parts; the concurrency limit and its wait queue, attempts,
// hedged requests, timeouts, retries with backoff paid for by the retry budget, Retry-After and outlier
// ejection via EndpointSet.
#include <algorithm>
#include <cmath>

#include "deps/scatter_gather.h"

namespace granitegap::deps {
namespace {

constexpr double kFairAttemptMedians =
    1.5;  // median times a try must have had for its timeout to be held against anyone
constexpr unsigned kAttemptBits = 4, kSlotBits = 24;

}  // namespace

// ---- Calls ----

ScatterGather::Slot ScatterGather::new_flight(std::uint32_t dependency, const CacheKey& key) {
  if (free_flights_.empty()) {
    flights_.emplace_back();
    free_flights_.push_back(Slot(flights_.size() - 1));
  }
  const Slot slot = free_flights_.back();
  free_flights_.pop_back();
  auto& f = flights_[slot];
  f.dependency = dependency;
  f.state = FlightState::calling;
  f.key = key;
  f.attempts = {};
  f.attempts_made = 0;
  f.detached = false;
  f.only.reset();
  f.used = true;
  f.asking.open = false;
  f.before = f.after = kNone;
  f.waiters.clear();
  by_key_.put(key.low, slot);
  return slot;
}

void ScatterGather::free_flight(Slot slot) {
  auto& f = flights_[slot];
  unqueue(slot);
  by_key_.erase(f.key.low, slot);
  f.used = false;
  ++f.generation;
  f.waiters.clear();
  free_flights_.push_back(slot);
}

// Started at once under the limit, and queued over it while there is room. Guards against a slow dependency
// that takes the connections and the memory of all others.
void ScatterGather::launch(Slot slot, TimePoint now) {
  auto& f = flights_[slot];
  auto& d = deps_[f.dependency];
  if (!guarded_ || (d.open < d.limit.limit() && d.waiting == 0)) return start_attempt(slot, now);
  // Guards against a wait for a slot that can't be free in time: those ahead take turns of a median answer
  // each.
  const auto turns = std::int64_t(d.waiting / std::max(d.limit.limit(), 1u)) + 1;
  const bool in_vain = now + d.latency_summary(now).median * (turns + 1) > latest_deadline(f);
  if (d.waiting >= d.spec.max_queued || in_vain) {
    ++counters_.shed;
    return give_up(slot, now);
  }
  f.state = FlightState::queued;
  f.before = d.newest;
  (d.newest == kNone ? d.oldest : flights_[d.newest].after) = slot;
  d.newest = slot;
  ++d.waiting;
}

void ScatterGather::unqueue(Slot slot) {
  auto& f = flights_[slot];
  if (f.state != FlightState::queued) return;
  auto& d = deps_[f.dependency];
  (f.before == kNone ? d.oldest : flights_[f.before].after) = f.after;
  (f.after == kNone ? d.newest : flights_[f.after].before) = f.before;
  f.before = f.after = kNone;
  f.state = FlightState::calling;
  --d.waiting;
}

void ScatterGather::pump(std::uint32_t number, TimePoint now) {
  auto& d = deps_[number];
  while (d.oldest != kNone && (d.circuit.is_open() || d.open < d.limit.limit())) {
    const auto slot = d.oldest;
    unqueue(slot);
    if (d.circuit.is_open())
      give_up(slot, now);
    else
      start_attempt(slot, now);
  }
}

TimePoint ScatterGather::latest_deadline(const Flight& f) const {
  TimePoint latest{};
  for (const auto& w : f.waiters) latest = std::max(latest, gathers_[w.gather].parts[w.part].deadline);
  return latest;
}

bool ScatterGather::any_open(const Flight& f) const {
  return std::any_of(f.attempts.begin(), f.attempts.end(), [](const Attempt& t) { return t.open; });
}

CallId ScatterGather::call_id(Slot slot, std::uint32_t number) const {
  return CallId(std::uint64_t(flights_[slot].generation) << (kAttemptBits + kSlotBits) |
                std::uint64_t(slot) << kAttemptBits | number);
}

void ScatterGather::start_attempt(Slot slot, TimePoint now) {
  auto& f = flights_[slot];
  auto& d = deps_[f.dependency];
  std::optional<std::uint32_t> other;
  if (f.attempts_made > 0) other = f.attempts[f.attempts_made - 1].endpoint;
  const auto& summary = d.latency_summary(now);
  const auto left = f.detached ? d.spec.max_timeout : latest_deadline(f) - now;
  // Guards against calls that can't be back in time: they would only take slots from those that can.
  const bool hopeless = !f.detached && (left.count() <= 0 || (guarded_ && left < summary.median));
  const auto endpoint = hopeless ? std::nullopt
                        : f.only ? f.only
                                 : d.endpoints.pick(now, roll(), roll(), other);
  if (!endpoint) {
    if (f.detached) d.circuit.on_probe_cancelled();
    if (!any_open(f)) give_up(slot, now);
    return;
  }
  auto timeout = d.spec.max_timeout;
  if (summary.high.count() > 0 && !f.detached)
    timeout = std::clamp(Duration(std::llround(double(summary.high.count()) * d.spec.timeout_factor)),
                         d.spec.min_timeout, d.spec.max_timeout);
  timeout = guarded_ ? std::min(timeout, left) : left;
  f.state = FlightState::calling;
  const auto number = f.attempts_made++;
  f.attempts[number] = {*endpoint, true, now, now + timeout};
  d.endpoints.on_call_started(*endpoint);
  counters_.max_in_flight = std::max(counters_.max_in_flight, ++d.open);
  ++counters_.calls;
  set_timer(now + timeout, TimerKind::call, slot, f.generation, number);
  actions_.emplace_back(StartCall{call_id(slot, number), f.dependency, *endpoint, &f.path});
  if (!guarded_ || number > 0 || f.detached || summary.hedge.count() == 0 || summary.hedge >= timeout) return;
  set_timer(now + summary.hedge, TimerKind::hedge, slot, f.generation, number);
}

void ScatterGather::end_attempt(Slot slot, std::uint32_t number) {
  auto& f = flights_[slot];
  f.attempts[number].open = false;
  --deps_[f.dependency].open;
}

void ScatterGather::abandon_attempts(Slot slot) {
  auto& f = flights_[slot];
  if (std::exchange(f.asking.open, false)) actions_.emplace_back(CancelCall{call_id(slot, kOwnerAttempt)});
  for (std::uint32_t t = 0; t < f.attempts_made; ++t) {
    if (!f.attempts[t].open) continue;
    end_attempt(slot, t);
    deps_[f.dependency].endpoints.on_cancelled(f.attempts[t].endpoint);
    if (f.detached) deps_[f.dependency].circuit.on_probe_cancelled();
    actions_.emplace_back(CancelCall{call_id(slot, t)});
  }
}

void ScatterGather::note_success(Dependency& d, std::uint32_t number, TimePoint now) {
  d.budget.deposit(now);
  const auto since = d.circuit.opened_at();
  if (!d.circuit.on_success(now)) return;
  // Back: from one call at once, doubling; all that waits at the door must not fall on it together.
  d.limit.begin_slow_start();
  d.endpoints.begin_slow_start(now);
  actions_.emplace_back(CircuitBreakerChanged{number, false, now - since});
}

void ScatterGather::note_failure(std::uint32_t number, TimePoint now) {
  auto& d = deps_[number];
  d.limit.on_failure();
  if (!d.circuit.on_failure(now, roll())) return;
  ++counters_.circuits_opened;
  actions_.emplace_back(CircuitBreakerChanged{number, true, {}});
}

void ScatterGather::on_call_completed(const CallCompletion& report, TimePoint now) {
  const auto bits = std::uint64_t(report.id);
  const auto number = std::uint32_t(bits & ((1u << kAttemptBits) - 1));
  const auto slot = Slot(bits >> kAttemptBits & ((1u << kSlotBits) - 1));
  if (number == kOwnerAttempt && slot < flights_.size() && flights_[slot].used &&
      flights_[slot].asking.open && call_id(slot, number) == report.id)
    return owner_ended(slot, report, now);
  // Guards against ends of calls that were given up: their slot may be another call's by now.
  if (slot >= flights_.size() || !flights_[slot].used || number >= flights_[slot].attempts_made ||
      call_id(slot, number) != report.id || !flights_[slot].attempts[number].open) {
    ++counters_.late_completions;
    return;
  }
  auto& f = flights_[slot];
  auto& d = deps_[f.dependency];
  const auto took = std::max(now - f.attempts[number].started, Duration(1));
  if (report.outcome != CallOutcome::ok && report.outcome != CallOutcome::not_found) {
    attempt_failed(slot, number, report.outcome, true, report.retry_after, now);
    return;
  }
  const auto open_then = d.open;
  end_attempt(slot, number);
  if (f.only) d.note_probe(*f.only, false, now);
  d.endpoints.on_success(f.attempts[number].endpoint, took, now);
  d.heard(took, now);
  if (guarded_) {
    d.limit.on_success(took, open_then);
    note_success(d, f.dependency, now);
  }
  const auto dependency = f.dependency;
  if (report.outcome == CallOutcome::ok) {
    answered(slot, report.body ? report.body : std::make_shared<const std::string>(), {}, now);
  } else {
    remember_failure(f.key, now);
    abandon_attempts(slot);
    give_up(slot, now);
  }
  pump(dependency, now);
}

void ScatterGather::answered(Slot slot, const SharedBody& body, Duration age, TimePoint now) {
  abandon_attempts(slot);
  auto& f = flights_[slot];
  cache_.insert(f.key, f.dependency, f.path, body, now - age);
  const auto generation = f.generation;
  // Another member's may be too old for some who joined the one that asked: these go on.
  const auto serves = [&](const Waiter& w) {
    return age.count() <= 0 || age <= gathers_[w.gather].parts[w.part].fresh;
  };
  for (;;) {
    if (!f.used || f.generation != generation) return;
    const auto next = std::find_if(f.waiters.rbegin(), f.waiters.rend(), serves);
    if (next == f.waiters.rend()) break;
    const auto w = *next;
    f.waiters.erase(std::next(next).base());
    gathers_[w.gather].parts[w.part].flight = kNone;
    settle(w.gather, w.part, PartStatus::fresh, body, age, now);
  }
  if (!f.waiters.empty()) return owner_failed(slot, now);
  free_flight(slot);
}

void ScatterGather::give_up(Slot slot, TimePoint now) {
  auto& f = flights_[slot];
  unqueue(slot);
  const auto generation = f.generation;
  while (f.used && f.generation == generation && !f.waiters.empty()) {
    const auto w = f.waiters.back();
    f.waiters.pop_back();
    gathers_[w.gather].parts[w.part].flight = kNone;
    fall_back(w.gather, w.part, now);
  }
  if (f.used && f.generation == generation) free_flight(slot);
}

void ScatterGather::time_out(Slot slot, std::uint32_t number, TimePoint now) {
  auto& f = flights_[slot];
  auto& d = deps_[f.dependency];
  const auto waited = now - f.attempts[number].started;
  // Guards against blame for a try that was cut short by its caller's budget.
  const bool fair = f.detached || double(waited.count()) >=
                                      kFairAttemptMedians * double(d.latency_summary(now).median.count());
  actions_.emplace_back(CancelCall{call_id(slot, number)});
  if (fair && guarded_) d.heard(waited, now);  // it takes at least this long
  attempt_failed(slot, number, CallOutcome::limit_exceeded, fair, std::nullopt, now);
}

void ScatterGather::attempt_failed(Slot slot, std::uint32_t number, CallOutcome outcome, bool fair,
                                   std::optional<Duration> retry_after, TimePoint now) {
  auto& f = flights_[slot];
  const auto dependency = f.dependency;
  auto& d = deps_[dependency];
  const auto endpoint = f.attempts[number].endpoint;
  end_attempt(slot, number);
  if (!fair) {
    d.endpoints.on_cancelled(endpoint);
    if (f.detached) d.circuit.on_probe_cancelled();
  } else if (outcome == CallOutcome::overloaded && retry_after && guarded_) {
    // It is well enough to say so: left alone for that long, not counted among the broken.
    d.endpoints.on_cancelled(endpoint);
    d.endpoints.set_retry_after(endpoint,
                                now + std::clamp(*retry_after, Duration{}, d.spec.max_ejection_time));
    if (f.detached) d.circuit.on_probe_cancelled();
    d.limit.on_failure();
  } else if (guarded_) {
    d.endpoints.on_failure(endpoint, now);
    note_failure(dependency, now);
  } else {
    d.endpoints.on_cancelled(endpoint);
  }
  if (!any_open(f)) after_failure(slot, now);
  pump(dependency, now);
}

void ScatterGather::after_failure(Slot slot, TimePoint now) {
  auto& f = flights_[slot];
  auto& d = deps_[f.dependency];
  const auto most = std::min<std::uint32_t>(d.spec.max_attempts, kMaxAttempts);
  if (guarded_ && !f.detached && !f.waiters.empty() && f.attempts_made < most && !d.circuit.is_open()) {
    const auto grown = d.spec.base_retry_backoff * (std::int64_t(1) << std::min(f.attempts_made - 1, 10u));
    const auto pause =
        Duration(std::llround(roll() * double(std::min(grown, d.spec.max_retry_backoff).count())));
    if (now + pause + d.latency_summary(now).median < latest_deadline(f) && d.budget.try_withdraw(now)) {
      ++counters_.retries;
      f.state = FlightState::pausing;
      return set_timer(now + std::max(pause, Duration(1)), TimerKind::retry, slot, f.generation,
                       f.attempts_made);
    }
  }
  if (guarded_) remember_failure(f.key, now);
  give_up(slot, now);
}

}  // namespace granitegap::deps
