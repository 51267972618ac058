// The timers of ScatterGather: a binary heap ordered by time, then by insertion.
//
// Obsolete timers are not removed. Each timer carries the generation of the slot for which it was set, and
// ScatterGather skips timers that no longer apply. Used by one thread; push() allocates only when the heap
// grows.
#pragma once
#include <algorithm>
#include <cstdint>
#include <vector>

#include "deps/slot_index.h"
#include "granitegap/policy.h"

namespace granitegap::deps {

enum class TimerKind : std::uint8_t {
  part_deadline,    // a part of a gather reaches its deadline
  attempt_timeout,  // an attempt times out
  hedge,            // a hedged request is due
  retry,            // the backoff of a call ends
  owner_timeout,    // the request to the key owner times out
};

// A timer of one part or one call.
struct Timer {
  TimePoint at;
  std::uint64_t order = 0;  // order of insertion; decides between equal times
  TimerKind kind{};
  SlotIndex::Slot slot = 0;      // slot of the gather (part_deadline) or of the call
  std::uint32_t generation = 0;  // generation of the slot
  std::uint32_t number = 0;      // number of the part or of the attempt
};

class TimerQueue {
 public:
  void push(TimePoint at, TimerKind kind, SlotIndex::Slot slot, std::uint32_t generation,
            std::uint32_t number) {
    heap_.push_back({at, next_order_, kind, slot, generation, number});
    ++next_order_;
    std::push_heap(heap_.begin(), heap_.end(), IsLater{});
  }
  bool empty() const { return heap_.empty(); }
  // Returns the earliest timer. The queue must not be empty.
  const Timer& front() const { return heap_.front(); }
  // Removes the earliest timer. The queue must not be empty.
  void pop() {
    std::pop_heap(heap_.begin(), heap_.end(), IsLater{});
    heap_.pop_back();
  }

 private:
  struct IsLater {
    bool operator()(const Timer& a, const Timer& b) const {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };
  std::vector<Timer> heap_;
  std::uint64_t next_order_ = 0;
};

}  // namespace granitegap::deps
