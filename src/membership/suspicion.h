// The suspicion timeout: how long a suspect has to refute before it is declared dead (Lifeguard, section
// IV-B).
//
// Without confirmation by others it is the maximum. Each independent confirmation shortens it
// logarithmically, down to the minimum. Both bounds grow with the logarithm of the fleet size, as does the
// time that gossip takes.
//
// Threads: one. No errors.
#pragma once
#include <array>
#include <cstddef>

#include "membership/options.h"

namespace granitegap::membership {

// The bounds of the suspicion timeout.
struct SuspicionTimeouts {
  Duration min{}, max{};
};
// Returns the bounds for a fleet of `fleet` members.
SuspicionTimeouts suspicion_timeouts(const Options& options, std::size_t fleet);
// Returns the timeout within `bounds` after `confirmed` of `required` confirmations.
Duration suspicion_timeout(const SuspicionTimeouts& bounds, unsigned confirmed, unsigned required);

// The distinct members that suspect one member, by name_hash().
class SuspicionConfirmations {
 public:
  static constexpr std::size_t kMax = 6;  // maximum number of members recorded
  // Adds a member that suspects. Returns true where it is new and there is room: only then is it gossiped.
  bool add(std::uint64_t suspected_by);
  void clear() { count_ = 0; }
  // Returns the number of confirmations: members beyond the first.
  unsigned confirmed() const { return count_ ? unsigned(count_ - 1) : 0; }
  // Returns the member that suspected first; 0: none.
  std::uint64_t first() const { return count_ ? suspected_by_[0] : 0; }
  // Whether `suspected_by` is recorded.
  bool has(std::uint64_t suspected_by) const;

 private:
  std::array<std::uint64_t, kMax> suspected_by_{};
  std::uint8_t count_ = 0;
};

}  // namespace granitegap::membership
