// The table of keyed requests: which tries are one request, which of them ran and with what result.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "edge/types.h"

namespace granitegap::edge {

class IdempotencyTable {
 public:
  enum class RunState : std::uint8_t { going, good, bad };
  struct Run {
    RequestId by{};
    UnixTime reached;  // the machine; the window counts from here
    RunState state = RunState::going;
    Result result;
  };
  struct Rules {
    Duration window{};  // no second run within it
    Duration linger{};  // how late a repeat that came in time may still be read
  };
  explicit IdempotencyTable(std::vector<Rules> by_class) : rules_(std::move(by_class)) {}

  // The try that this one repeats, and from here on this one counts as held. `batch` links two tries that
  // are handled together even where neither is kept.
  // Another body under a token in use: no try of that request, whatever its token says.
  bool other_body(const Request& request) const;
  std::optional<RequestId> arrive(const Request& request, RequestId id, std::uint64_t batch);
  void keep(const Request& request, RequestId id, UnixTime until);
  void forget(const Request& request, RequestId id);
  void leave_hold(const Request& request, RequestId id);  // it runs now, or it is over
  void started(const Request& request, RequestId id);
  void ended(const Request& request, RequestId id, RunState state, Result result);
  void never_ran(const Request& request, RequestId id);  // the kernel did not carry its start out

  // The run whose window covers this try: it must not run again.
  const Run* covering_run(const Request& request) const;
  const Run* any_run(const Request& request) const;
  // From a run's stamp on, how long no other try runs.
  Duration span(ClassId cls) const;
  void sweep(UnixTime now);
  std::size_t size() const { return keys_.size(); }

 private:
  struct Entry {
    RequestId holder{};
    UnixTime until;
  };
  struct Held {
    RequestId id{};
    std::uint64_t batch = 0;
  };
  struct Key {
    std::optional<Entry> entry;
    std::optional<Run> run;
    std::vector<Held> held;  // in order of arrival
    std::size_t body = 0;    // its hash, the same for all tries
  };
  using Name = std::pair<ClassId, std::string>;
  const Rules& rules(ClassId cls) const { return rules_.at(std::size_t(cls)); }
  Key* find(const Request& request);
  const Key* find(const Request& request) const;
  std::vector<Rules> rules_;
  std::map<Name, Key> keys_;
};

}  // namespace granitegap::edge
