// Tells the failure of many members from a partition or a fault of this member's own network, and counts
// the quorum.
//
//           mass_failure_fraction of the quorum base silent within mass_failure_window()
//   certain ----------------------------------------------------------------------------> uncertain: nobody
//   is
//      ^                                                                                  declared dead
//      |                                                                                  |
//      +---- a quorum is alive, and no further member has fallen silent for a while ------+
//      +---- they are heard again --------------------------------------------------------+
//
// Without a quorum it stays uncertain: from one side of a partition, death of the others and their being cut
// off look the same.
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

  // `member` (name_hash()) became a suspect.
  void report_silent(std::uint64_t member, TimePoint now);
  // `member` is alive, or has left.
  void report_not_silent(std::uint64_t member) { silent_.erase(member); }
  // The fault was this member's own: silences reported so far don't count.
  void discard_silences() { silent_.clear(); }
  // Members that the quorum is counted of, and those of them alive, this one included.
  struct Counts {
    std::size_t quorum_base = 1, alive = 1;
  };
  // Brings the view's certainty and the quorum up to date. `cut_off`: this member is cut off from the others.
  // `settle_time`: how long no further member may have fallen silent before those that have may be declared
  // dead.
  void update(TimePoint now, Counts counts, bool cut_off, Duration settle_time);

  bool uncertain() const { return uncertain_; }
  TimePoint uncertain_since() const { return uncertain_since_; }
  // Whether more than half of the fleet is alive.
  bool has_quorum() const { return has_quorum_; }
  // When it last became certain.
  TimePoint certain_since() const { return certain_since_; }
  bool recently_silent(std::uint64_t member) const { return silent_.contains(member); }

 private:
  const Options& options_;
  std::unordered_map<std::uint64_t, TimePoint> silent_;
  TimePoint uncertain_since_{}, last_silence_at_{}, certain_since_{};
  bool uncertain_ = false, has_quorum_ = true;
};

}  // namespace granitegap::membership
