// The public interface of ScatterGather: construction and declarations, gathers and their results,
// completions and timers.
#include "deps/scatter_gather.h"

#include <algorithm>

namespace granitegap::deps {

// ---- Declarations ----

ScatterGather::ScatterGather(std::shared_ptr<const Spec> spec, std::uint64_t seed, bool guarded)
    : guarded_(guarded), hash_seed_(mix_bits(seed + 1)), random_(seed), cache_(spec->max_cache_bytes) {
  apply_spec(std::move(spec), TimePoint{});
}

void ScatterGather::update_spec(std::shared_ptr<const Spec> spec, TimePoint now) {
  apply_spec(std::move(spec), now);
}

void ScatterGather::apply_spec(std::shared_ptr<const Spec> spec, TimePoint now) {
  const auto max_cache_bytes = spec->max_cache_bytes;
  auto numbers = update_dependencies(*spec);
  auto loaded = load_spec(std::move(spec), std::move(numbers));
  divide_fleet_limits();
  cache_.resize(max_cache_bytes);
  for (std::uint32_t d = 0; d < dependencies_.size(); ++d) start_queued_calls(d, now);
  loaded_ = std::move(loaded);
}

// Returns the number of each declared dependency. A dependency whose name was declared before keeps its
// number and its state.
std::vector<std::uint32_t> ScatterGather::update_dependencies(const Spec& spec) {
  std::vector<std::uint32_t> numbers;
  for (const auto& declared : spec.dependencies) {
    const auto known = std::find_if(
        dependencies_.begin(), dependencies_.end(),
        [&](const DependencyState& dependency) { return dependency.spec.name == declared.name; });
    numbers.push_back(std::uint32_t(known - dependencies_.begin()));
    if (known == dependencies_.end())
      dependencies_.emplace_back(declared);
    else
      known->update(declared);
  }
  return numbers;
}

// ---- Gathers ----

bool ScatterGather::has_gather(ClassId cls) const { return loaded_->find_gather(cls).has_value(); }

void ScatterGather::begin(RequestId id, ClassId cls, const RequestAttributes& attributes, Duration budget,
                          bool may_call, TimePoint now) {
  const auto spec_index = loaded_->find_gather(cls);
  if (!spec_index || gathers_.find(id) != kNoSlot) return;
  const GatherSlot slot = gathers_.create(id, loaded_, *spec_index);
  auto& gather = gathers_[slot];
  const auto& spec = gather.spec();
  const auto bounded = guarded_ ? std::clamp(budget, Duration{}, spec.budget) : std::max(budget, Duration{});
  gather.deadline = now + bounded;
  gather.may_call = may_call;
  gather.obj = attributes.obj;
  gather.body.assign(attributes.body);
  gather.cls.assign(attributes.cls);
  if (gather.pending == 0) return end_gather(slot, true, now);
  for (std::uint32_t part = 0; part < gather.parts.size() && !gather.has_ended; ++part)
    if (!spec.parts[part].depends_on) start_part(slot, part, now);
}

bool ScatterGather::begin_cache_fill(RequestId id, const CacheFillRequest& request, TimePoint now) {
  const auto& declared = loaded_->spec->dependencies;
  const auto dependency = std::find_if(declared.begin(), declared.end(), [&](const DependencySpec& spec) {
    return spec.name == request.dependency;
  });
  if (dependency == declared.end() || !dependency->fleet_cache_fill) return false;
  if (!guarded_ || gathers_.find(id) != kNoSlot) return false;
  ++counters_.cache_fills;
  const auto spec_index = std::size_t(dependency - declared.begin());
  const GatherSlot slot = gathers_.create(id, loaded_->cache_fills, spec_index);
  auto& gather = gathers_[slot];
  gather.deadline = now + std::clamp(request.timeout, Duration{}, dependency->max_timeout);
  gather.may_call = true;
  path_ = request.path;
  // Never through another member: two members whose views differ would forward the request to each other in a
  // loop.
  resolve_part(slot, 0, gather.loaded->dependency_numbers[spec_index], request.max_age, Route::direct, now);
  return true;
}

void ScatterGather::cancel(RequestId id, TimePoint now) {
  const auto slot = gathers_.find(id);
  if (slot == kNoSlot) return;
  auto& gather = gathers_[slot];
  gather.has_ended = true;
  for (std::uint32_t part = 0; part < gather.parts.size(); ++part) detach_part(slot, part, now);
  release(id);
}

std::vector<PartResult> ScatterGather::parts(RequestId id) const {
  std::vector<PartResult> results;
  const auto slot = gathers_.find(id);
  if (slot == kNoSlot) return results;
  const auto& gather = gathers_[slot];
  const auto& specs = gather.spec().parts;
  for (std::size_t i = 0; i < gather.parts.size(); ++i) {
    const auto& part = gather.parts[i];
    PartResult result{specs[i].name, part.status, part.age, part.body};
    if (part.status == PartStatus::fallback)
      result.body = std::make_shared<const std::string>(*specs[i].fallback);
    results.push_back(std::move(result));
  }
  return results;
}

void ScatterGather::release(RequestId id) {
  const auto slot = gathers_.find(id);
  if (slot != kNoSlot) gathers_.release(slot);
}

// ---- Completions ----

void ScatterGather::on_call_completed(const CallCompletion& completion, TimePoint now) {
  const auto reference = calls_.resolve(completion.id);
  if (!reference) {
    ++counters_.late_completions;
    return;
  }
  const auto [slot, attempt] = *reference;
  const auto& call = calls_[slot];
  if (attempt == CallTable::kOwnerAttempt && call.owner_request.in_flight)
    return on_owner_completed(slot, completion, now);
  if (attempt >= call.attempt_count || !call.attempts[attempt].in_flight) {
    ++counters_.late_completions;
    return;
  }
  if (completion.outcome == CallOutcome::ok || completion.outcome == CallOutcome::not_found)
    return on_attempt_succeeded(slot, attempt, completion, now);
  on_attempt_failed(slot, attempt, completion.outcome, true, completion.retry_after, now);
}

// ---- Timers ----

bool ScatterGather::is_current(const Timer& timer) const {
  if (timer.kind == TimerKind::part_deadline) {
    const auto& gather = gathers_[timer.slot];
    return gather.generation == timer.generation && gather.parts[timer.number].call != kNoSlot;
  }
  const auto& call = calls_[timer.slot];
  if (call.generation != timer.generation) return false;
  switch (timer.kind) {
    case TimerKind::attempt_timeout:
      return call.attempts[timer.number].in_flight;
    case TimerKind::hedge:
      return call.attempts[timer.number].in_flight && call.attempt_count == timer.number + 1;
    case TimerKind::retry:
      return call.state == SharedCall::State::backing_off;
    case TimerKind::owner_timeout:
      return call.owner_request.in_flight;
    case TimerKind::part_deadline:
      break;
  }
  return false;
}

std::optional<TimePoint> ScatterGather::next_timer() {
  while (!timers_.empty() && !is_current(timers_.front())) timers_.pop();
  if (timers_.empty()) return std::nullopt;
  return timers_.front().at;
}

void ScatterGather::tick(TimePoint now) {
  while (!timers_.empty() && timers_.front().at <= now) {
    const auto timer = timers_.front();
    timers_.pop();
    if (is_current(timer)) fire(timer, now);
  }
}

void ScatterGather::fire(const Timer& timer, TimePoint now) {
  switch (timer.kind) {
    case TimerKind::part_deadline:
      return on_part_deadline(timer.slot, timer.number, now);
    case TimerKind::attempt_timeout:
      return on_attempt_timeout(timer.slot, timer.number, now);
    case TimerKind::hedge:
      return on_hedge_due(timer.slot, now);
    case TimerKind::retry:
      return on_retry_due(timer.slot, now);
    case TimerKind::owner_timeout:
      return on_owner_timeout(timer.slot, now);
  }
}

void ScatterGather::on_part_deadline(GatherSlot slot, std::uint32_t part, TimePoint now) {
  const auto& gather = gathers_[slot];
  const auto generation = gather.generation;
  const auto call_slot = gather.parts[part].call;
  const auto& call = calls_[call_slot];
  const auto call_generation = call.generation;
  // Attempts that time out at the same time are processed first. If the part's deadline ended them they would
  // count as cancelled, and a hanging dependency would not be detected.
  for (std::uint32_t i = 0; call.generation == call_generation && i < call.attempt_count; ++i)
    if (call.attempts[i].in_flight && call.attempts[i].times_out <= now)
      on_attempt_timeout(call_slot, i, now);
  if (gather.generation != generation || gather.parts[part].call == kNoSlot) return;
  detach_part(slot, part, now);
  fall_back(slot, part, now);
}

void ScatterGather::on_hedge_due(CallSlot slot, TimePoint now) {
  auto& dependency = dependencies_[calls_[slot].dependency];
  // A hedged request only improves latency, so it never displaces a queued call and never exceeds the limit.
  const bool has_capacity =
      !dependency.circuit.is_open() && dependency.queue.size == 0 && dependency.has_free_slot();
  if (!has_capacity || dependency.spec.max_attempts < 2) return;
  if (!dependency.budget.try_withdraw(now)) return;
  ++counters_.hedges;
  start_attempt(slot, now);
}

void ScatterGather::on_retry_due(CallSlot slot, TimePoint now) {
  if (dependencies_[calls_[slot].dependency].circuit.is_open()) return give_up(slot, now);
  admit_call(slot, now);
}

}  // namespace granitegap::deps
