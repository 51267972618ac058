// Table of idempotency keys: which attempts belong to one request, which of them ran, and with what payload.
//
// A key is unique within its class. All attempts with the same key belong to one request. At most one of them
// runs within the class's idempotency window, which starts at the arrival of the attempt that ran; the others
// are answered with its payload.
//
// Threads: not safe for concurrent calls. Ownership: payloads are shared with the responses that carry them.
// Errors: calls for a request without a key, or for an unknown request, change nothing.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "edge/request.h"

namespace granitegap::edge {

// Tracks the attempts and the latest run of every idempotency key in use.
class IdempotencyTable {
 public:
  enum class RunState : std::uint8_t { running, succeeded, failed };
  // The latest run of a key.
  struct Run {
    RequestId attempt{};  // the attempt that ran
    UnixTime arrived_at;  // arrival of that attempt; the window starts here
    RunState state = RunState::running;
    PayloadPtr payload;  // null unless succeeded
  };
  // The rules of one class.
  struct Rules {
    Duration window{};          // idempotency window: a key runs at most once within it
    Duration max_read_delay{};  // maximum time between an attempt's arrival and its being read
  };
  // `by_class` is indexed by class id. Every request passed to the table must be of one of these classes.
  explicit IdempotencyTable(std::vector<Rules> by_class) : rules_(std::move(by_class)) {}

  // Returns whether the request's key is in use with a different body. The request is then not an attempt at
  // the same work and must not share its payload.
  [[nodiscard]] bool has_different_body(const Request& request) const;
  // Adds an attempt to the queue of its key. Returns the attempt that it duplicates, if any: the one whose
  // result is cached, the one that ran, or one that arrived in the same `batch`.
  std::optional<RequestId> add_attempt(const Request& request, RequestId id, std::uint64_t batch);
  // Links attempts that arrive by `until` to this attempt as duplicates.
  void cache_result(const Request& request, RequestId id, UnixTime until);
  // Undoes cache_result() if the cached result is that of this attempt.
  void evict_result(const Request& request, RequestId id);
  // Removes the attempt from the queue of its key, because it has started or its request is closed.
  void remove_queued(const Request& request, RequestId id);
  // Records the attempt as the key's run and removes it from the queue.
  void record_start(const Request& request, RequestId id);
  // Records the result if the attempt is the key's latest run.
  void record_end(const Request& request, RequestId id, RunState state, PayloadPtr payload);
  // Deletes the recorded run of the attempt, because the kernel never ran it. The key may then run again.
  void discard_run(const Request& request, RequestId id);

  // Returns the run within whose retention() this attempt arrived, so that the attempt must not run; null if
  // there is none. The pointer is valid until the next call that changes the table.
  [[nodiscard]] const Run* run_within_window(const Request& request) const;
  // Returns the latest run of the key that the table still holds, whatever its age; null if there is none.
  // The pointer is valid until the next call that changes the table.
  [[nodiscard]] const Run* find_run(const Request& request) const;
  // Returns the idempotency window of the class.
  [[nodiscard]] Duration window(ClassId cls) const { return rules(cls).window; }
  // Returns how long after the arrival of the attempt that ran no other attempt may run: the window plus a
  // margin.
  [[nodiscard]] Duration retention(ClassId cls) const;
  // Removes entries that no attempt read after `now` can refer to.
  void expire(UnixTime now);
  [[nodiscard]] std::size_t size() const { return keys_.size(); }

 private:
  struct CachedResult {
    RequestId attempt{};
    UnixTime until;  // latest arrival of an attempt that is linked as a duplicate
  };
  struct QueuedAttempt {
    RequestId id{};
    std::uint64_t batch = 0;
  };
  struct Entry {
    std::optional<CachedResult> cached_result;
    std::optional<Run> run;
    std::vector<QueuedAttempt> queued;  // in order of arrival
    std::size_t body_hash = 0;          // the same for all attempts
  };
  using Key = std::pair<ClassId, std::string>;

  static bool is_unused(const Entry& entry);
  const Rules& rules(ClassId cls) const { return rules_.at(std::size_t(cls)); }
  Entry* find(const Request& request);
  const Entry* find(const Request& request) const;

  std::vector<Rules> rules_;
  std::map<Key, Entry> keys_;
};

}  // namespace granitegap::edge
