// Distinguishes the failure of many members from a partition or a fault of this member's own network, and
// determines whether there is a quorum.
//
//           mass_failure_fraction of the quorum base silent within mass_failure_window()
//   certain ----------------------------------------------------------------------------> uncertain
//      ^                                                                                      |
//      +---- a quorum is alive, and no further member fell silent for the settle time --------+
//      +---- the silent members are alive again ----------------------------------------------+
//
// While the view is uncertain no member is declared dead. Without a quorum it stays uncertain: from one side
// of a partition, dead members and isolated members look the same.
//
// Threads: one. No errors.
#pragma once
#include <unordered_map>

#include "membership/options.h"

namespace granitegap::membership {

class PartitionDetector {
 public:
  // `options` must outlive it, and may change.
  explicit PartitionDetector(const Options& options) : options_(options) {}

  // Records that `member` (name_hash()) became a suspect.
  void report_silent(std::uint64_t member, TimePoint now);
  // Records that `member` is alive, or has left.
  void report_not_silent(std::uint64_t member) { silent_.erase(member); }
  // Discards the silent members recorded so far, because the fault was this member's own.
  void discard_silences() { silent_.clear(); }
  // Number of members in the quorum base, and of those alive among them; both include this member.
  struct Counts {
    std::size_t quorum_base = 1, alive = 1;
  };
  // Updates uncertain() and has_quorum(). `isolated`: this member is isolated from the others. `settle_time`:
  // how long no further member may have fallen silent before the silent ones may be declared dead.
  void update(TimePoint now, Counts counts, bool isolated, Duration settle_time);

  // Whether the view is uncertain, so that no member may be declared dead.
  bool uncertain() const { return uncertain_; }
  TimePoint uncertain_since() const { return uncertain_since_; }
  // Whether more than half of the quorum base is alive.
  bool has_quorum() const { return has_quorum_; }
  // When the view last became certain.
  TimePoint certain_since() const { return certain_since_; }
  // Whether `member` fell silent recently.
  bool recently_silent(std::uint64_t member) const { return silent_.contains(member); }

 private:
  const Options& options_;
  std::unordered_map<std::uint64_t, TimePoint> silent_;  // by name_hash(): when it fell silent
  TimePoint uncertain_since_{}, last_silence_at_{}, certain_since_{};
  bool uncertain_ = false, has_quorum_ = true;
};

}  // namespace granitegap::membership
