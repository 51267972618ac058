// The calls of ScatterGather to dependencies: the concurrency limit and its queue, attempts and their
// timeouts, hedged requests, retries with backoff, Retry-After, and the end of a call.
#include <algorithm>
#include <cmath>

#include "deps/scatter_gather.h"

namespace granitegap::deps {
namespace {

// The timeout of an attempt counts against the endpoint only if the attempt lasted at least this multiple of
// the median latency.
constexpr double kMinFairMedians = 1.5;
constexpr std::uint32_t kMaxBackoffDoublings = 10;

Duration scaled(Duration duration, double factor) {
  return Duration(std::llround(double(duration.count()) * factor));
}

}  // namespace

// ---- Admission ----

// Starts the call if the concurrency limit has room, otherwise queues it, or sheds it. The bounded queue
// keeps a slow dependency from using up the connections and the memory that the other dependencies need.
void ScatterGather::admit_call(CallSlot slot, TimePoint now) {
  const auto& call = calls_[slot];
  auto& dependency = dependencies_[call.dependency];
  if (!guarded_ || (dependency.has_free_slot() && dependency.queue.size == 0))
    return start_attempt(slot, now);
  // The queue is expected to drain in rounds of `limit` calls that take one median latency each. A call that
  // would end after its deadline is not queued.
  const auto limit = std::max(dependency.limit.limit(), 1u);
  const auto rounds_ahead = std::int64_t(dependency.queue.size / limit) + 1;
  const auto expected_end = now + dependency.latency_summary(now).median * (rounds_ahead + 1);
  if (dependency.queue.size >= dependency.spec.max_queued || expected_end > latest_deadline(call)) {
    ++counters_.shed;
    return give_up(slot, now);
  }
  calls_.enqueue(dependency.queue, slot);
}

// Starts queued calls while the limit has room. Gives up all of them if the circuit breaker is open.
void ScatterGather::start_queued_calls(std::uint32_t number, TimePoint now) {
  auto& dependency = dependencies_[number];
  while (dependency.queue.oldest != kNoSlot && (dependency.circuit.is_open() || dependency.has_free_slot())) {
    const auto slot = dependency.queue.oldest;
    calls_.dequeue(dependency.queue, slot);
    if (dependency.circuit.is_open())
      give_up(slot, now);
    else
      start_attempt(slot, now);
  }
}

// Returns the latest deadline of the parts that wait for the call.
TimePoint ScatterGather::latest_deadline(const SharedCall& call) const {
  TimePoint latest{};
  for (const auto& waiter : call.waiters)
    latest = std::max(latest, gathers_[waiter.gather].parts[waiter.part].deadline);
  return latest;
}

// ---- Attempts ----

// Starts an attempt and its timers. Gives the call up when no attempt can be made and none is in flight.
void ScatterGather::start_attempt(CallSlot slot, TimePoint now) {
  auto& call = calls_[slot];
  auto& dependency = dependencies_[call.dependency];
  const auto& summary = dependency.latency_summary(now);
  const auto remaining = call.is_probe ? dependency.spec.max_timeout : latest_deadline(call) - now;
  const auto endpoint = choose_endpoint(call, remaining, summary, now);
  if (!endpoint) {
    if (call.is_probe) dependency.circuit.on_probe_cancelled();
    if (!call.has_attempt_in_flight()) give_up(slot, now);
    return;
  }
  const auto timeout = attempt_timeout(call, remaining, summary);
  const auto number = call.attempt_count;
  ++call.attempt_count;
  call.state = SharedCall::State::calling;
  call.attempts[number] = {*endpoint, true, now, now + timeout};
  dependency.endpoints.on_call_started(*endpoint);
  ++dependency.in_flight;
  counters_.max_in_flight = std::max(counters_.max_in_flight, dependency.in_flight);
  ++counters_.calls;
  timers_.push(now + timeout, TimerKind::attempt_timeout, slot, call.generation, number);
  actions_.emplace_back(StartCall{calls_.call_id(slot, number), call.dependency, *endpoint, &call.path});

  const bool may_hedge = guarded_ && number == 0 && !call.is_probe;
  if (!may_hedge || summary.hedge_delay.count() == 0 || summary.hedge_delay >= timeout) return;
  timers_.push(now + summary.hedge_delay, TimerKind::hedge, slot, call.generation, number);
}

// Returns the endpoint for the next attempt. `remaining` is the time until the deadline of the last waiter.
// Absent when no endpoint is available, or when an attempt is not expected to end in time: it would only take
// a slot from an attempt that can.
std::optional<std::uint32_t> ScatterGather::choose_endpoint(const SharedCall& call, Duration remaining,
                                                            const LatencySummary& summary, TimePoint now) {
  if (!call.is_probe) {
    const bool cannot_end_in_time = remaining.count() <= 0 || (guarded_ && remaining < summary.median);
    if (cannot_end_in_time) return std::nullopt;
  }
  if (call.probed_endpoint) return call.probed_endpoint;
  std::optional<std::uint32_t> previous;
  if (call.attempt_count > 0) previous = call.attempts[call.attempt_count - 1].endpoint;
  // The second candidate is drawn first: a change of the order would change the decisions of every seed.
  const double random2 = random_fraction();
  const double random1 = random_fraction();
  return dependencies_[call.dependency].endpoints.pick(now, random1, random2, previous);
}

Duration ScatterGather::attempt_timeout(const SharedCall& call, Duration remaining,
                                        const LatencySummary& summary) const {
  if (!guarded_) return remaining;
  const auto& spec = dependencies_[call.dependency].spec;
  auto timeout = spec.max_timeout;
  if (summary.timeout_base.count() > 0 && !call.is_probe)
    timeout =
        std::clamp(scaled(summary.timeout_base, spec.timeout_factor), spec.min_timeout, spec.max_timeout);
  return std::min(timeout, remaining);
}

void ScatterGather::close_attempt(CallSlot slot, std::uint32_t number) {
  auto& call = calls_[slot];
  call.attempts[number].in_flight = false;
  --dependencies_[call.dependency].in_flight;
}

void ScatterGather::cancel_attempts(CallSlot slot) {
  auto& call = calls_[slot];
  auto& dependency = dependencies_[call.dependency];
  if (call.owner_request.in_flight) {
    call.owner_request.in_flight = false;
    actions_.emplace_back(CancelCall{calls_.call_id(slot, CallTable::kOwnerAttempt)});
  }
  for (std::uint32_t number = 0; number < call.attempt_count; ++number) {
    if (!call.attempts[number].in_flight) continue;
    close_attempt(slot, number);
    dependency.endpoints.on_cancelled(call.attempts[number].endpoint);
    if (call.is_probe) dependency.circuit.on_probe_cancelled();
    actions_.emplace_back(CancelCall{calls_.call_id(slot, number)});
  }
}

// ---- Outcomes of attempts ----

// `ok` and `not_found` both count as successes of the dependency.
void ScatterGather::on_attempt_succeeded(CallSlot slot, std::uint32_t number,
                                         const CallCompletion& completion, TimePoint now) {
  const auto& call = calls_[slot];
  const auto& attempt = call.attempts[number];
  const auto dependency_number = call.dependency;
  auto& dependency = dependencies_[dependency_number];
  const auto took = std::max(now - attempt.started, Duration(1));
  const auto in_flight = dependency.in_flight;
  close_attempt(slot, number);
  if (call.probed_endpoint) dependency.record_probe(*call.probed_endpoint, false, now);
  dependency.endpoints.on_success(attempt.endpoint, took, now);
  dependency.record_latency(took, now);
  if (guarded_) {
    dependency.limit.on_success(took, in_flight);
    record_success(dependency_number, now);
  }
  if (completion.outcome == CallOutcome::ok) {
    deliver(slot, completion.body ? completion.body : std::make_shared<const std::string>(), {}, now);
  } else {
    failures_.insert(call.key, now + loaded_->spec->negative_cache_ttl);
    cancel_attempts(slot);
    give_up(slot, now);
  }
  start_queued_calls(dependency_number, now);
}

void ScatterGather::on_attempt_timeout(CallSlot slot, std::uint32_t number, TimePoint now) {
  const auto& call = calls_[slot];
  auto& dependency = dependencies_[call.dependency];
  const auto waited = now - call.attempts[number].started;
  bool is_fair = call.is_probe;
  if (!is_fair) {
    const auto median = dependency.latency_summary(now).median;
    is_fair = double(waited.count()) >= kMinFairMedians * double(median.count());
  }
  actions_.emplace_back(CancelCall{calls_.call_id(slot, number)});
  if (is_fair && guarded_) dependency.record_latency(waited, now);  // a lower bound of the actual latency
  on_attempt_failed(slot, number, CallOutcome::limit_exceeded, is_fair, std::nullopt, now);
}

void ScatterGather::on_attempt_failed(CallSlot slot, std::uint32_t number, CallOutcome outcome, bool is_fair,
                                      std::optional<Duration> retry_after, TimePoint now) {
  const auto& call = calls_[slot];
  const auto dependency = call.dependency;
  close_attempt(slot, number);
  record_attempt_failure(call, number, outcome, is_fair, retry_after, now);
  if (!call.has_attempt_in_flight()) retry_or_give_up(slot, now);
  start_queued_calls(dependency, now);
}

void ScatterGather::record_attempt_failure(const SharedCall& call, std::uint32_t number, CallOutcome outcome,
                                           bool is_fair, std::optional<Duration> retry_after, TimePoint now) {
  auto& dependency = dependencies_[call.dependency];
  const auto endpoint = call.attempts[number].endpoint;
  const bool has_retry_after = outcome == CallOutcome::overloaded && retry_after && guarded_;
  if (!is_fair) {
    dependency.endpoints.on_cancelled(endpoint);
    if (call.is_probe) dependency.circuit.on_probe_cancelled();
  } else if (has_retry_after) {
    // An endpoint that sends Retry-After is overloaded but works: it gets no calls for that time and is not
    // ejected.
    const auto pause = std::clamp(*retry_after, Duration{}, dependency.spec.max_ejection_time);
    dependency.endpoints.on_cancelled(endpoint);
    dependency.endpoints.set_retry_after(endpoint, now + pause);
    if (call.is_probe) dependency.circuit.on_probe_cancelled();
    dependency.limit.on_failure();
  } else if (guarded_) {
    dependency.endpoints.on_failure(endpoint, now);
    record_failure(call.dependency, now);
  } else {
    dependency.endpoints.on_cancelled(endpoint);
  }
}

void ScatterGather::record_success(std::uint32_t number, TimePoint now) {
  auto& dependency = dependencies_[number];
  dependency.budget.deposit(now);
  const auto opened_at = dependency.circuit.opened_at();
  if (!dependency.circuit.on_success(now)) return;
  // Slow start from one attempt in flight: a burst of pending requests must not overload the recovering
  // dependency.
  dependency.limit.begin_slow_start();
  dependency.endpoints.begin_slow_start(now);
  actions_.emplace_back(CircuitBreakerChanged{number, false, now - opened_at});
}

void ScatterGather::record_failure(std::uint32_t number, TimePoint now) {
  auto& dependency = dependencies_[number];
  dependency.limit.on_failure();
  if (!dependency.circuit.on_failure(now, random_fraction())) return;
  ++counters_.circuits_opened;
  actions_.emplace_back(CircuitBreakerChanged{number, true, {}});
}

// ---- The end of a call ----

void ScatterGather::retry_or_give_up(CallSlot slot, TimePoint now) {
  if (try_schedule_retry(slot, now)) return;
  if (guarded_) failures_.insert(calls_[slot].key, now + loaded_->spec->negative_cache_ttl);
  give_up(slot, now);
}

// Schedules a retry if the policy, the retry budget and the deadlines of the waiting parts allow one.
bool ScatterGather::try_schedule_retry(CallSlot slot, TimePoint now) {
  auto& call = calls_[slot];
  auto& dependency = dependencies_[call.dependency];
  const auto& spec = dependency.spec;
  const auto max_attempts = std::min<std::uint32_t>(spec.max_attempts, SharedCall::kMaxAttempts);
  const bool may_retry = guarded_ && !call.is_probe && !call.waiters.empty() &&
                         call.attempt_count < max_attempts && !dependency.circuit.is_open();
  if (!may_retry) return false;
  const auto doublings = std::min(call.attempt_count - 1, kMaxBackoffDoublings);
  const auto max_backoff =
      std::min(spec.base_retry_backoff * (std::int64_t(1) << doublings), spec.max_retry_backoff);
  const auto backoff = scaled(max_backoff, random_fraction());  // full jitter
  const auto expected_end = now + backoff + dependency.latency_summary(now).median;
  if (expected_end >= latest_deadline(call) || !dependency.budget.try_withdraw(now)) return false;
  ++counters_.retries;
  call.state = SharedCall::State::backing_off;
  const auto due = now + std::max(backoff, Duration(1));
  timers_.push(due, TimerKind::retry, slot, call.generation, call.attempt_count);
  return true;
}

// Caches the response and settles the waiting parts with it. Parts that do not accept its age keep waiting
// for the dependency itself: they joined a call that another member answered from its cache.
void ScatterGather::deliver(CallSlot slot, const SharedBody& body, Duration age, TimePoint now) {
  cancel_attempts(slot);
  auto& call = calls_[slot];
  cache_.insert(call.key, call.dependency, call.path, body, now - age);
  const auto generation = call.generation;
  const auto accepts_age = [&](const Waiter& waiter) {
    return age.count() <= 0 || age <= gathers_[waiter.gather].parts[waiter.part].max_age;
  };
  // Settling a part can start and end calls, including this one, so the waiters are searched again each time.
  while (calls_.is_current(slot, generation)) {
    const auto next = std::find_if(call.waiters.rbegin(), call.waiters.rend(), accepts_age);
    if (next == call.waiters.rend()) break;
    const auto waiter = *next;
    call.waiters.erase(std::next(next).base());
    gathers_[waiter.gather].parts[waiter.part].call = kNoSlot;
    settle(waiter.gather, waiter.part, PartStatus::fresh, body, age, now);
  }
  if (!calls_.is_current(slot, generation)) return;
  if (!call.waiters.empty()) return call_without_owner(slot, now);
  release_call(slot);
}

// Ends the call without a response; the waiting parts fall back.
void ScatterGather::give_up(CallSlot slot, TimePoint now) {
  auto& call = calls_[slot];
  calls_.dequeue(dependencies_[call.dependency].queue, slot);
  const auto generation = call.generation;
  while (calls_.is_current(slot, generation) && !call.waiters.empty()) {
    const auto waiter = call.waiters.back();
    call.waiters.pop_back();
    gathers_[waiter.gather].parts[waiter.part].call = kNoSlot;
    fall_back(waiter.gather, waiter.part, now);
  }
  if (calls_.is_current(slot, generation)) release_call(slot);
}

void ScatterGather::release_call(CallSlot slot) {
  calls_.dequeue(dependencies_[calls_[slot].dependency].queue, slot);
  calls_.release(slot);
}

}  // namespace granitegap::deps
