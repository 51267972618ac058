// Whether a silence of many is theirs or mine, and whether this process is on the side of most.
//
//               a declared share of the agreed fleet silent within a short time
//   certain ---------------------------------------------------------------------> uncertain: nobody is
//   removed
//      ^                                                                              |
//      +---- most of the agreed fleet is seen, and nobody else has fallen silent -----+
//      +---- they are heard again ----------------------------------------------------+
//
// Without a majority it never ends by itself: from one side of a cut, the others' death and their being cut
// off look the same.
#pragma once
#include <unordered_map>

#include "membership/options.h"

namespace granitegap::membership {

class PartitionDetector {
 public:
  // `options` must outlive it, and may change.
  explicit PartitionDetector(const Options& options) : options_(options) {}

  void silent(std::uint64_t member, TimePoint now);
  void heard(std::uint64_t member) { silent_.erase(member); }
  // The fault was mine: nothing that fell silent meanwhile counts.
  void excuse() { silent_.clear(); }
  struct Counts {
    std::size_t fleet_size = 1,
                seen = 1;  // members of the agreed fleet; those of them alive, this one included
  };
  // `cut_off`: this process knows itself unheard or deaf. `patience`: how long nobody more may have fallen
  // silent before those that have are judged.
  void judge(TimePoint now, Counts counts, bool cut_off, Duration patience);

  bool uncertain() const { return uncertain_; }
  TimePoint uncertain_since() const { return uncertain_since_; }
  bool has_quorum() const { return has_quorum_; }
  // The moment it last became certain.
  TimePoint certain_since() const { return certain_since_; }
  bool recently_silent(std::uint64_t member) const { return silent_.contains(member); }

 private:
  const Options& options_;
  std::unordered_map<std::uint64_t, TimePoint> silent_;
  TimePoint uncertain_since_{}, newest_{}, certain_since_{};
  bool uncertain_ = false, has_quorum_ = true;
};

}  // namespace granitegap::membership
