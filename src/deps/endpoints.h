// The addresses of one dependency: which one a call goes to, and which are out for a while.
//
//            failures in a row                 its time is over
//   in  ----------------------->  ejected  ----------------------> half open (one call through)
//    ^                                ^                               |            |
//    |  slow start: its share grows   |            it fails           |            | it succeeds
//    +--------------------------------|-------------------------------|------------+
//                                     +-------------------------------+
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "deps/spec.h"

namespace granitegap::deps {

// What is known of one endpoint, as handed to another process.
struct EndpointStats {
  Duration ejected_for{}, latency{}, sample_age{};
  std::uint32_t ejections = 0;
};

class EndpointSet {
 public:
  using Index = std::uint32_t;
  explicit EndpointSet(const DependencySpec& spec);

  // Two candidates by chance, the one with the less decayed peak latency times open calls. An ejected
  // endpoint whose time is over goes first, with one call. `avoid`: where another try of the same call is;
  // heeded while there is any other. `random`: two numbers in [0, 1). Absent where no endpoint is left.
  std::optional<Index> pick(TimePoint now, double random1, double random2,
                            std::optional<Index> avoid = std::nullopt);
  void on_call_started(Index i);
  void on_success(Index i, Duration took, TimePoint now);
  void on_failure(Index i, TimePoint now);
  void on_cancelled(Index i);                      // its end is nobody's fault and tells nothing
  void set_retry_after(Index i, TimePoint until);  // it asked to be left alone
  // The dependency is back from an outage: all get their chance, none at full share.
  void begin_slow_start(TimePoint now);
  // Keeps what is known of those that stay. One that goes is picked no more, and its place is freed once its
  // calls have ended.
  void update(const DependencySpec& spec);

  const EndpointSpec& address(Index i) const { return endpoints_[i].address; }
  bool is_ejected(Index i) const { return endpoints_[i].state != State::healthy; }
  std::size_t ejected_count() const;
  // Absent where nothing is known.
  std::optional<EndpointStats> stats(Index i, TimePoint now) const;
  // Only where nothing of one's own is known yet: own evidence overrules what was learned, whichever came
  // first.
  bool restore(Index i, const EndpointStats& known, TimePoint now);
  std::size_t slot_count() const { return endpoints_.size(); }  // those that went among them
  bool is_removed(Index i) const { return endpoints_[i].state == State::removed; }

 private:
  enum class State : std::uint8_t { healthy, ejected, half_open, removed };
  struct Endpoint {
    EndpointSpec address;
    State state = State::healthy;
    std::uint32_t in_flight = 0, consecutive_failures = 0, ejections = 0;
    double peak_us = 0;  // decays towards the newest answers, jumps up at once
    TimePoint last_sample{}, ejected_until{}, slow_start_began{}, retry_after{};
    bool slow_start = false;
  };
  double load_score(const Endpoint& e, TimePoint now) const;
  void eject(Endpoint& e, TimePoint now);
  bool may_eject_another() const;  // one more
  std::vector<Endpoint> endpoints_;
  bool all_available_ = true;  // none out, held or gone: a candidate is found without a search
  double max_ejected_ = 0.5;
  Duration eject_for_{}, max_eject_{}, slow_start_{};
};

}  // namespace granitegap::deps
