// The deadlines of ScatterGather: a binary heap ordered by time, then by insertion.
//
// Timers are not removed when they become obsolete: each names the generation of the slot that it was set
// for, and the owner skips those that no longer apply. Used by one thread; push() allocates only when the
// heap grows.
#pragma once
#include <algorithm>
#include <cstdint>
#include <vector>

#include "deps/slot_index.h"
#include "granitegap/policy.h"

namespace granitegap::deps {

enum class TimerKind : std::uint8_t {
  part_deadline,    // of a gather's part
  attempt_timeout,  // of one attempt of a call
  hedge,            // an attempt has taken long enough for a hedged one
  retry,            // a call's backoff is over
  owner_timeout,    // of a call's request to the key's owner
};

struct Timer {
  TimePoint at;
  std::uint64_t order = 0;  // of insertion; decides between equal times
  TimerKind kind{};
  SlotIndex::Slot slot = 0;  // of the gather (part_deadline) or of the call
  std::uint32_t generation = 0;
  std::uint32_t number = 0;  // of the part or of the attempt
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
  // The earliest; the queue must not be empty.
  const Timer& front() const { return heap_.front(); }
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
