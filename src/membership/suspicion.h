// How long a suspect has to refute before it is declared dead (Lifeguard, section IV-B).
//
// Without confirmation by others: the maximum. Each independent confirmation shortens it logarithmically,
// down to the minimum. Both grow with the logarithm of the fleet's size, as gossip takes that long.
//
// Threads: one. No errors.
#pragma once
#include <array>
#include <cstddef>

#include "membership/options.h"

namespace granitegap::membership {

struct SuspicionTimeouts {
  Duration min{}, max{};
};
// The bounds for a fleet of that many members.
SuspicionTimeouts suspicion_timeouts(const Options& options, std::size_t fleet);
// The timeout within `times` after `confirmed` of `required` confirmations.
Duration suspicion_timeout(const SuspicionTimeouts& times, unsigned confirmed, unsigned required);

// The members that suspect one member, each once, by name_hash().
class SuspicionConfirmations {
 public:
  static constexpr std::size_t kMax = 6;
  // True where it is a new one and there is room: worth being gossiped.
  bool add(std::uint64_t suspected_by);
  void clear() { count_ = 0; }
  // The number beyond the first.
  unsigned confirmed() const { return count_ ? unsigned(count_ - 1) : 0; }
  // The first one; 0: nobody.
  std::uint64_t first() const { return count_ ? suspected_by_[0] : 0; }
  bool has(std::uint64_t suspected_by) const;

 private:
  std::array<std::uint64_t, kMax> suspected_by_{};
  std::uint8_t count_ = 0;
};

}  // namespace granitegap::membership
