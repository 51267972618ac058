// Counts the members that may be using a share of a limit that is declared for the whole fleet.
//
// The shares of all processes must never add up to more than the limit, whatever each of them has seen. The
// count therefore rises at once, and falls only after the number of members was lower for settle_time():
//
//   after a start, a long pause, or long in a minority --> unsettled: there is no count
//   unsettled, or fewer members, for settle_time() ------> the maximum counted in that time
//   more members ----------------------------------------> their number, at once
//
// A member that was declared dead may be isolated and still run. It is counted for as long as it is in the
// quorum base. An isolated member gives up its share once the others may have had a quorum without it for
// isolation_timeout(). Where neither side can have a quorum, as with equal halves or in a fleet of two, no
// member is removed and all keep their shares.
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

  // Updates the count; to be called once per period. `members`: the number that may be running, this one
  // included. `in_minority`: the others may have a quorum without this member. Returns whether the count
  // changed.
  bool update(TimePoint now, std::size_t members, bool in_minority);
  // Resets the count after a long pause of this process: the others may have removed it from the quorum base.
  void on_pause(Duration pause);

  // Returns the number of members that may hold a share; absent while unsettled.
  std::optional<std::size_t> count() const { return count_; }

  // How long fewer members must be counted before the count falls.
  Duration settle_time() const { return kSettlePeriods * options_.period; }
  // How long a member may be isolated before it gives up its share: half of the time after which the others
  // no longer count it.
  Duration isolation_timeout() const { return options_.quorum_shrink_delay / 2; }

 private:
  // Gossip reaches every member of a fleet within a few periods, even if some datagrams are lost.
  static constexpr int kSettlePeriods = 10;

  // Starts a new window at `now`, with `members` as its maximum.
  void restart_window(TimePoint now, std::size_t members);

  const Options& options_;
  std::optional<std::size_t> count_;
  // Start of the window in which fewer members than count_ are counted, or in which there is no count yet.
  std::optional<TimePoint> window_began_at_;
  std::size_t window_max_ = 0;  // maximum number of members counted in the window
  std::optional<TimePoint> in_minority_since_;
};

}  // namespace granitegap::membership
