#include "deps/call_table.h"

#include <algorithm>

namespace granitegap::deps {
namespace {

// A CallId consists of generation, slot and attempt number, from the highest bits to the lowest.
constexpr unsigned kAttemptBits = 4, kSlotBits = 24;
constexpr std::uint64_t kAttemptMask = (1u << kAttemptBits) - 1, kSlotMask = (1u << kSlotBits) - 1;

}  // namespace

bool SharedCall::has_attempt_in_flight() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& attempt) { return attempt.in_flight; });
}

CallSlot CallTable::create(std::uint32_t dependency, const CacheKey& key) {
  if (free_.empty()) {
    calls_.emplace_back();
    free_.push_back(CallSlot(calls_.size() - 1));
  }
  const CallSlot slot = free_.back();
  free_.pop_back();
  // Assigned field by field: the generation of the slot must not change, and strings and vectors keep their
  // capacity.
  auto& call = calls_[slot];
  call.in_use = true;
  call.dependency = dependency;
  call.state = SharedCall::State::calling;
  call.key = key;
  call.attempts = {};
  call.attempt_count = 0;
  call.owner_request.in_flight = false;
  call.waiters.clear();
  call.is_probe = false;
  call.probed_endpoint.reset();
  call.previous_queued = kNoSlot;
  call.next_queued = kNoSlot;
  by_key_.put(key.low, slot);
  return slot;
}

void CallTable::release(CallSlot slot) {
  auto& call = calls_[slot];
  by_key_.erase(call.key.low, slot);
  call.in_use = false;
  ++call.generation;
  call.waiters.clear();
  free_.push_back(slot);
}

CallSlot CallTable::find(const CacheKey& key) const {
  return by_key_.find(key.low, [&](CallSlot slot) { return calls_[slot].key == key; });
}

CallId CallTable::call_id(CallSlot slot, std::uint32_t attempt) const {
  return CallId(std::uint64_t(calls_[slot].generation) << (kAttemptBits + kSlotBits) |
                std::uint64_t(slot) << kAttemptBits | attempt);
}

std::optional<CallTable::Reference> CallTable::resolve(CallId id) const {
  const auto bits = std::uint64_t(id);
  const auto attempt = std::uint32_t(bits & kAttemptMask);
  const auto slot = CallSlot(bits >> kAttemptBits & kSlotMask);
  if (slot >= calls_.size() || !calls_[slot].in_use || call_id(slot, attempt) != id) return std::nullopt;
  return Reference{slot, attempt};
}

void CallTable::enqueue(CallQueue& queue, CallSlot slot) {
  auto& call = calls_[slot];
  call.state = SharedCall::State::queued;
  call.previous_queued = queue.newest;
  (queue.newest == kNoSlot ? queue.oldest : calls_[queue.newest].next_queued) = slot;
  queue.newest = slot;
  ++queue.size;
}

void CallTable::dequeue(CallQueue& queue, CallSlot slot) {
  auto& call = calls_[slot];
  if (call.state != SharedCall::State::queued) return;
  (call.previous_queued == kNoSlot ? queue.oldest : calls_[call.previous_queued].next_queued) =
      call.next_queued;
  (call.next_queued == kNoSlot ? queue.newest : calls_[call.next_queued].previous_queued) =
      call.previous_queued;
  call.previous_queued = kNoSlot;
  call.next_queued = kNoSlot;
  call.state = SharedCall::State::calling;
  --queue.size;
}

}  // namespace granitegap::deps
