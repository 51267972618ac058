// How many members may be using their share of a limit that is declared for the whole fleet.
//
// The shares of all processes must never add up to more than the limit, whatever each of them has seen. So
// the count goes up at once, and comes down only after it could have come down for settle_time():
//
//   started, stopped for long, or long in a minority ---> unsettled: nothing may be concluded
//   unsettled, or fewer members, for settle_time() -----> the most that were counted meanwhile
//   more members ---------------------------------------> those, at once
//
// A member that was declared dead may be cut off and still run. It is counted as long as it is in the quorum
// base, and gives its share up itself once the others may have had a quorum without it for half of that time.
// Where neither side can have one, as in halves or a fleet of two, nobody is removed and all keep their
// shares.
//
// Threads: one. No errors.
#pragma once
#include <cstddef>
#include <optional>

#include "membership/options.h"

namespace granitegap::membership {

class LimitHolders {
 public:
  // `options` must outlive it, and may change.
  explicit LimitHolders(const Options& options) : options_(options) {}

  // Brings the count up to date; to be called once a period. `members`: those that may be running, this one
  // included. `in_minority`: the others may have a quorum without this one. Returns whether the count has
  // changed.
  bool update(TimePoint now, std::size_t members, bool in_minority);
  // The process stood still for so long: others may have removed it from the quorum base meanwhile.
  void on_pause(Duration pause);

  // Absent while unsettled.
  std::optional<std::size_t> count() const { return count_; }

  Duration settle_time() const { return kSettlePeriods * options_.period; }
  // Half of the time after which the others no longer count a member that is gone.
  Duration trust_time() const { return options_.quorum_shrink_delay / 2; }

 private:
  // Gossip reaches every member of a fleet within a few periods, also where some datagrams are lost.
  static constexpr int kSettlePeriods = 10;

  void restart_window(TimePoint now, std::size_t members);

  const Options& options_;
  std::optional<std::size_t> count_;
  std::optional<TimePoint> window_began_at_;  // of fewer members than count_
  std::size_t window_max_ = 0;                // the most members counted in it
  std::optional<TimePoint> in_minority_since_;
};

}  // namespace granitegap::membership
