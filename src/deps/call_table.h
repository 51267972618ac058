// The calls in flight to dependencies, each shared by all parts that need the same response (request
// coalescing, "singleflight").
//
// Calls are stored in a slab whose slots are reused after release(). Each use of a slot has its own
// generation, by which timers and completions of a previous use are detected. References stay valid while
// other calls are created. Used by one thread; allocates only when the slab or an index grows.
#pragma once
#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "deps/actions.h"
#include "deps/slot_index.h"

namespace granitegap::deps {

using CallSlot = SlotIndex::Slot;
using GatherSlot = SlotIndex::Slot;
inline constexpr SlotIndex::Slot kNoSlot = SlotIndex::kNone;

// One request sent to an endpoint.
struct Attempt {
  std::uint32_t endpoint = 0;
  bool in_flight = false;
  TimePoint started{}, times_out{};
};

// A part that waits for a call.
struct Waiter {
  GatherSlot gather = kNoSlot;
  std::uint32_t part = 0;
};

// A cache fill requested from the key owner, instead of or before attempts.
struct OwnerRequest {
  KeyOwner owner;
  std::string target;  // target of the HTTP GET
  TimePoint started{};
  bool in_flight = false;
};

// A call to a dependency, with its attempts and the parts that wait for it.
struct SharedCall {
  static constexpr std::size_t kMaxAttempts = 4;
  enum class State : std::uint8_t { queued, calling, backing_off };

  std::uint32_t generation = 0;
  bool in_use = false;
  std::uint32_t dependency = 0;  // the number that ScatterGather assigned
  State state = State::queued;
  CacheKey key;
  std::string path;
  std::array<Attempt, kMaxAttempts> attempts;
  std::uint32_t attempt_count = 0;
  OwnerRequest owner_request;
  std::vector<Waiter> waiters;

  bool is_probe = false;  // probes a dependency whose circuit breaker is open; has no waiters
  std::optional<std::uint32_t> probed_endpoint;               // the endpoint that the probe must use
  CallSlot previous_queued = kNoSlot, next_queued = kNoSlot;  // links of the CallQueue

  bool has_attempt_in_flight() const;
};

// A first-in, first-out queue of calls, linked through SharedCall.
struct CallQueue {
  CallSlot oldest = kNoSlot, newest = kNoSlot;
  std::uint32_t size = 0;
};

class CallTable {
 public:
  // Attempt number that identifies the request to the key owner in a CallId.
  static constexpr std::uint32_t kOwnerAttempt = 15;

  CallSlot create(std::uint32_t dependency, const CacheKey& key);
  // Releases the slot for reuse. The call must not be queued.
  void release(CallSlot slot);
  // Returns the call for the key, or kNoSlot.
  CallSlot find(const CacheKey& key) const;

  SharedCall& operator[](CallSlot slot) { return calls_[slot]; }
  const SharedCall& operator[](CallSlot slot) const { return calls_[slot]; }
  std::size_t size() const { return by_key_.size(); }
  // Returns whether the slot still holds the call of that generation.
  bool is_current(CallSlot slot, std::uint32_t generation) const {
    return calls_[slot].in_use && calls_[slot].generation == generation;
  }

  // Returns the id of one attempt of a call.
  CallId call_id(CallSlot slot, std::uint32_t attempt) const;
  // A call and the number of one of its attempts.
  struct Reference {
    CallSlot slot = kNoSlot;
    std::uint32_t attempt = 0;
  };
  // Returns the call and attempt number of an id; absent when the call has ended.
  std::optional<Reference> resolve(CallId id) const;

  void enqueue(CallQueue& queue, CallSlot slot);
  // No effect when the call is not queued.
  void dequeue(CallQueue& queue, CallSlot slot);

 private:
  std::deque<SharedCall> calls_;
  std::vector<CallSlot> free_;
  SlotIndex by_key_;
};

}  // namespace granitegap::deps
