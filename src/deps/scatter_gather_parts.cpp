// The part of ScatterGather that resolves the parts of a gather from the cache, with a shared call, or by
// falling back; that settles parts, and that ends gathers.
#include <algorithm>
#include <utility>

#include "deps/scatter_gather.h"

namespace granitegap::deps {

// Expands the path template of the part and resolves it. Without a valid path the part settles without a
// value.
void ScatterGather::start_part(GatherSlot slot, std::uint32_t number, TimePoint now) {
  auto& gather = gathers_[slot];
  const auto& spec = gather.spec().parts[number];
  PathVariables variables{gather.obj, gather.body, gather.cls, {}};
  if (spec.depends_on)
    if (const auto& needed = gather.parts[*spec.depends_on].body) variables.needed = *needed;
  path_.clear();
  const auto& path_template = gather.loaded->paths[gather.spec_index][number];
  if (!path_template.expand(variables, path_) || path_.empty())
    return settle_without_value(slot, number, now);
  const auto dependency = gather.loaded->dependency_numbers[spec.dependency];
  const bool uses_key_owner = guarded_ && dependencies_[dependency].spec.fleet_cache_fill;
  resolve_part(slot, number, dependency, spec.max_fresh_age,
               uses_key_owner ? Route::owner_first : Route::direct, now);
}

void ScatterGather::resolve_part(GatherSlot slot, std::uint32_t number, std::uint32_t dependency,
                                 Duration max_age, Route route, TimePoint now) {
  auto& gather = gathers_[slot];
  auto& part = gather.parts[number];
  part.key = cache_key(dependency, path_, hash_seed_);
  part.max_age = max_age;
  const auto cached = cache_.find(part.key, now);
  if (cached && cached->age <= max_age && max_age.count() > 0)
    return settle(slot, number, PartStatus::fresh, cached->body, cached->age, now);
  if (!gather.may_call) return fall_back(slot, number, now);
  part.deadline = part_deadline(gather, number, now);
  ++counters_.parts_needing_call;
  if (part.deadline <= now) return fall_back(slot, number, now);
  if (guarded_ && !may_call_now(dependency, part.key, now)) return fall_back(slot, number, now);
  join_or_start_call(slot, number, dependency, route, now);
}

// Divides the rest of the budget evenly among the steps of the chain of dependent parts that starts with this
// part, as the parts that depend on it need time too. Where several parts depend on one, the first is
// followed.
TimePoint ScatterGather::part_deadline(const Gather& gather, std::uint32_t number, TimePoint now) const {
  const auto& specs = gather.spec().parts;
  std::int64_t steps = 1;
  std::size_t last = number;
  for (std::size_t later = number + 1; later < specs.size(); ++later) {
    if (specs[later].depends_on != last) continue;
    ++steps;
    last = later;
  }
  const auto deadline = now + (gather.deadline - now) / steps;
  const auto timeout = specs[number].timeout;
  if (!guarded_ || timeout.count() <= 0) return deadline;
  return std::min(deadline, now + timeout);
}

// Returns false while the path is in the negative cache or the circuit breaker is open. In the latter case it
// may start a probe.
bool ScatterGather::may_call_now(std::uint32_t number, const CacheKey& key, TimePoint now) {
  if (failures_.contains(key, now)) return false;
  const auto& circuit = dependencies_[number].circuit;
  if (!circuit.is_open()) return true;
  if (circuit.may_probe(now)) start_probe(number, key, path_, now);
  return false;
}

void ScatterGather::join_or_start_call(GatherSlot slot, std::uint32_t number, std::uint32_t dependency,
                                       Route route, TimePoint now) {
  auto& gather = gathers_[slot];
  auto& part = gather.parts[number];
  auto call_slot = calls_.find(part.key);
  const bool joins_call = call_slot != kNoSlot;
  // No part waits for a probe, as a probe may last for the dependency's longest timeout.
  if (joins_call && calls_[call_slot].is_probe) return fall_back(slot, number, now);
  if (joins_call) {
    ++counters_.coalesced;
  } else {
    call_slot = calls_.create(dependency, part.key);
    calls_[call_slot].path = path_;
  }
  part.call = call_slot;
  calls_[call_slot].waiters.push_back({slot, number});
  timers_.push(part.deadline, TimerKind::part_deadline, slot, gather.generation, number);
  if (joins_call) return;
  if (route == Route::owner_first && request_from_owner(call_slot, part.max_age, now)) return;
  admit_call(call_slot, now);
}

// Settles the part with a stale cached response, its declared default, or no value.
void ScatterGather::fall_back(GatherSlot slot, std::uint32_t number, TimePoint now) {
  const auto& gather = gathers_[slot];
  const auto max_stale_age = gather.spec().parts[number].max_stale_age;
  if (max_stale_age.count() > 0) {
    const auto cached = cache_.find(gather.parts[number].key, now);
    if (cached && cached->age <= max_stale_age)
      return settle(slot, number, PartStatus::stale, cached->body, cached->age, now);
  }
  settle_without_value(slot, number, now);
}

void ScatterGather::settle_without_value(GatherSlot slot, std::uint32_t number, TimePoint now) {
  const bool has_default = gathers_[slot].spec().parts[number].fallback.has_value();
  settle(slot, number, has_default ? PartStatus::fallback : PartStatus::absent, nullptr, {}, now);
}

void ScatterGather::settle(GatherSlot slot, std::uint32_t number, PartStatus status, SharedBody body,
                           Duration age, TimePoint now) {
  auto& gather = gathers_[slot];
  auto& part = gather.parts[number];
  if (gather.has_ended || part.status != PartStatus::pending) return;
  part.status = status;
  part.call = kNoSlot;
  part.body = std::move(body);
  part.age = age;
  --gather.pending;
  auto& count = status == PartStatus::fresh      ? counters_.fresh
                : status == PartStatus::stale    ? counters_.stale
                : status == PartStatus::fallback ? counters_.fallback
                                                 : counters_.absent;
  ++count;
  // Without a required part the request fails, whatever the other parts return: the gather ends here.
  if (status == PartStatus::absent && gather.spec().parts[number].required)
    return end_gather(slot, false, now);
  settle_dependent_parts(slot, number, now);
  if (!gather.has_ended && gather.pending == 0) end_gather(slot, true, now);
}

// Starts the parts that depend on the settled part, or settles them without a value if it has none.
void ScatterGather::settle_dependent_parts(GatherSlot slot, std::uint32_t settled, TimePoint now) {
  auto& gather = gathers_[slot];
  const auto& specs = gather.spec().parts;
  const auto status = gather.parts[settled].status;
  const bool has_value = status == PartStatus::fresh || status == PartStatus::stale;
  for (std::uint32_t next = settled + 1; next < gather.parts.size() && !gather.has_ended; ++next) {
    if (specs[next].depends_on != settled) continue;
    if (has_value)
      start_part(slot, next, now);
    else
      settle_without_value(slot, next, now);
  }
}

void ScatterGather::end_gather(GatherSlot slot, bool required_parts_present, TimePoint now) {
  auto& gather = gathers_[slot];
  gather.has_ended = true;
  for (std::uint32_t number = 0; number < gather.parts.size(); ++number) {
    detach_part(slot, number, now);
    auto& status = gather.parts[number].status;
    if (status == PartStatus::pending) status = PartStatus::absent;
  }
  actions_.emplace_back(GatherEnded{gather.id, required_parts_present});
}

// Removes the part from the waiters of its call. Cancels the call when no part waits for it any more.
void ScatterGather::detach_part(GatherSlot slot, std::uint32_t number, TimePoint now) {
  const auto call_slot = std::exchange(gathers_[slot].parts[number].call, kNoSlot);
  if (call_slot == kNoSlot) return;
  auto& call = calls_[call_slot];
  std::erase_if(call.waiters,
                [&](const Waiter& waiter) { return waiter.gather == slot && waiter.part == number; });
  if (!call.waiters.empty() || call.is_probe) return;
  const auto dependency = call.dependency;
  cancel_attempts(call_slot);
  release_call(call_slot);
  start_queued_calls(dependency, now);
}

}  // namespace granitegap::deps
