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

class EndpointSet {
 public:
  using Index = std::uint32_t;
  explicit EndpointSet(const DependencySpec& spec);

  // Two candidates by chance, the one with the less decayed peak latency times open calls. An ejected
  // endpoint whose time is over goes first, with one call. `not_this`: where another try of the same call is;
  // heeded while there is any other. `random`: two numbers in [0, 1). Absent where no endpoint is left.
  std::optional<Index> pick(TimePoint now, double random1, double random2,
                            std::optional<Index> not_this = std::nullopt);
  void started(Index i);
  void succeeded(Index i, Duration took, TimePoint now);
  void failed(Index i, TimePoint now);
  void abandoned(Index i);              // its end is nobody's fault and tells nothing
  void hold(Index i, TimePoint until);  // it asked to be left alone
  // The dependency is back from an outage: all get their chance, none at full share.
  void all_back(TimePoint now);
  // Keeps what is known of those that stay. One that goes is picked no more, and its place is freed once its
  // calls have ended.
  void change(const DependencySpec& spec);

  const EndpointSpec& address(Index i) const { return all_[i].address; }
  bool ejected(Index i) const { return all_[i].state != State::in; }
  std::size_t count_out() const;
  // What is known of one, for another life or process; absent where nothing is.
  struct Known {
    Duration out_for{}, latency{}, heard_ago{};
    std::uint32_t times_out = 0;
  };
  std::optional<Known> known(Index i, TimePoint now) const;
  // Only where nothing of one's own is known yet: own evidence overrules what was learned, whichever came
  // first.
  bool learn(Index i, const Known& known, TimePoint now);
  std::size_t places() const { return all_.size(); }  // those that went among them
  bool gone(Index i) const { return all_[i].state == State::gone; }

 private:
  enum class State : std::uint8_t { in, ejected, half_open, gone };
  struct Endpoint {
    EndpointSpec address;
    State state = State::in;
    std::uint32_t open = 0, in_a_row = 0, times_out = 0;
    double peak_us = 0;  // decays towards the newest answers, jumps up at once
    TimePoint heard{}, until{}, back_at{}, held_until{};
    bool slow_start = false;
  };
  double cost(const Endpoint& e, TimePoint now) const;
  void eject(Endpoint& e, TimePoint now);
  bool may_eject() const;  // one more
  std::vector<Endpoint> all_;
  bool all_in_ = true;  // none out, held or gone: a candidate is found without a search
  double max_ejected_ = 0.5;
  Duration eject_for_{}, max_eject_{}, slow_start_{};
};

}  // namespace granitegap::deps
