// The calls in flight to dependencies, each shared by all parts that need the same response (request
// coalescing, "singleflight").
//
// Calls live in a slab: a slot is reused after release(), and each use has a generation, by which timers and
// completions of an earlier use are recognized. References stay valid while other calls are created. Used by
// one thread; it allocates only when the slab or an index grows.
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

// A cache fill asked of the key's owner, instead of or before attempts.
struct OwnerRequest {
  KeyOwner owner;
  std::string target;  // of the HTTP request
  TimePoint started{};
  bool in_flight = false;
};

struct SharedCall {
  static constexpr std::size_t kMaxAttempts = 4;
  enum class State : std::uint8_t { queued, calling, backing_off };

  std::uint32_t generation = 0;
  bool in_use = false;
  std::uint32_t dependency = 0;  // ScatterGather's number
  State state = State::queued;
  CacheKey key;
  std::string path;
  std::array<Attempt, kMaxAttempts> attempts;
  std::uint32_t attempt_count = 0;
  OwnerRequest owner_request;
  std::vector<Waiter> waiters;

  bool is_probe = false;                         // of a dependency whose circuit is open; without waiters
  std::optional<std::uint32_t> probed_endpoint;  // the endpoint that the probe must go to
  CallSlot queued_before = kNoSlot, queued_after = kNoSlot;  // neighbours in the CallQueue

  bool has_attempt_in_flight() const;
};

// A first-in, first-out queue of calls, linked through SharedCall.
struct CallQueue {
  CallSlot oldest = kNoSlot, newest = kNoSlot;
  std::uint32_t size = 0;
};

class CallTable {
 public:
  // The attempt number in the id of a request to a key's owner.
  static constexpr std::uint32_t kOwnerAttempt = 15;

  CallSlot create(std::uint32_t dependency, const CacheKey& key);
  // The call must not be queued.
  void release(CallSlot slot);
  // The call for that key, or kNoSlot.
  CallSlot find(const CacheKey& key) const;

  SharedCall& operator[](CallSlot slot) { return calls_[slot]; }
  const SharedCall& operator[](CallSlot slot) const { return calls_[slot]; }
  std::size_t size() const { return by_key_.size(); }
  // Whether the slot still holds the call that it held at that generation.
  bool is_current(CallSlot slot, std::uint32_t generation) const {
    return calls_[slot].in_use && calls_[slot].generation == generation;
  }

  CallId id_of(CallSlot slot, std::uint32_t attempt) const;
  struct Reference {
    CallSlot slot = kNoSlot;
    std::uint32_t attempt = 0;
  };
  // The call and attempt number of an id; absent when that call has ended.
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
