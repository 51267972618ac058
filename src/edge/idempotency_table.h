// The table of idempotency keys: which attempts are one request, which of them ran, and with what payload.
//
// A key is unique within its class. All attempts with the same key are one request; of these at most one runs
// within the class's window, counted from the arrival of the attempt that ran. The others get its payload.
//
// Threads: not safe for concurrent calls. Ownership: payloads are shared with the responses that carry them.
// Errors: calls about a request without a key, or about an unknown one, change nothing.
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

class IdempotencyTable {
 public:
  enum class RunState : std::uint8_t { running, succeeded, failed };
  // The run that counts for a key.
  struct Run {
    RequestId attempt{};  // the one that ran
    UnixTime arrived_at;  // of that attempt; the window counts from here
    RunState state = RunState::running;
    PayloadPtr payload;  // null unless succeeded
  };
  // Of one class.
  struct Rules {
    Duration window{};          // no second run of a key within it
    Duration max_read_delay{};  // how long after its arrival an attempt may still be read
  };
  // One entry by class id; every request handed in must be of one of these classes.
  explicit IdempotencyTable(std::vector<Rules> by_class) : rules_(std::move(by_class)) {}

  // Whether the key is in use with another body: the request is then no attempt at what the key stands for.
  [[nodiscard]] bool has_different_body(const Request& request) const;
  // Takes in an attempt, which counts as queued from here on. Returns the attempt that it repeats, if any:
  // the one remembered, the one that ran, or one that came in the same `batch`.
  std::optional<RequestId> add_attempt(const Request& request, RequestId id, std::uint64_t batch);
  // Has later attempts that arrive by `until` be repeats of this one.
  void remember(const Request& request, RequestId id, UnixTime until);
  // Undoes remember(), if it was for this attempt.
  void forget(const Request& request, RequestId id);
  // The attempt has left the queue: it runs now, or it is over.
  void remove_queued(const Request& request, RequestId id);
  void record_start(const Request& request, RequestId id);
  void record_end(const Request& request, RequestId id, RunState state, PayloadPtr payload);
  // The kernel never ran the attempt recorded as started: the key may run again.
  void discard_run(const Request& request, RequestId id);

  // The run in whose window this attempt arrived, with a margin: the attempt must not run. Null: none. The
  // pointer is valid until the next call that changes the table.
  [[nodiscard]] const Run* run_within_window(const Request& request) const;
  // The latest run of the key, however long ago; null: none. Valid as above.
  [[nodiscard]] const Run* find_run(const Request& request) const;
  // The window of the class, as set by its rules.
  [[nodiscard]] Duration window(ClassId cls) const { return rules(cls).window; }
  // How long after the arrival of the attempt that ran no other one runs: the window and a margin.
  [[nodiscard]] Duration retention(ClassId cls) const;
  // Drops what no attempt can refer to any more.
  void expire(UnixTime now);
  [[nodiscard]] std::size_t size() const { return keys_.size(); }

 private:
  struct Remembered {
    RequestId attempt{};
    UnixTime until;
  };
  struct Queued {
    RequestId id{};
    std::uint64_t batch = 0;
  };
  struct Entry {
    std::optional<Remembered> remembered;
    std::optional<Run> run;
    std::vector<Queued> queued;  // in order of arrival
    std::size_t body_hash = 0;   // the same for all attempts
  };
  using Key = std::pair<ClassId, std::string>;

  static bool is_empty(const Entry& entry);
  const Rules& rules(ClassId cls) const { return rules_.at(std::size_t(cls)); }
  Entry* find(const Request& request);
  const Entry* find(const Request& request) const;

  std::vector<Rules> rules_;
  std::map<Key, Entry> keys_;
};

}  // namespace granitegap::edge
