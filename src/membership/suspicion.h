// How long a silent member may stay a suspect before it is held dead (Lifeguard, section IV-B).
//
// Nobody else has found it silent: most. Each independent confirmation brings the time down, by a logarithm,
// to least once there are enough. Both grow with the logarithm of the fleet's size, as news needs that long.
#pragma once
#include <array>
#include <cstddef>

#include "membership/options.h"

namespace granitegap::membership {

struct SuspicionTimes {
  Duration least{}, most{};
};
SuspicionTimes suspicion_times(const Options& options, std::size_t fleet);
Duration suspicion_time(const SuspicionTimes& times, unsigned confirmed, unsigned wanted);

// Those who found one member silent, each once.
class SuspicionConfirmations {
 public:
  static constexpr std::size_t kMax = 6;
  // True where it is a new one and there is room: worth being passed on.
  bool add(std::uint64_t suspected_by);
  void clear() { count_ = 0; }
  // Beyond the first.
  unsigned confirmed() const { return count_ ? unsigned(count_ - 1) : 0; }
  std::uint64_t first() const { return count_ ? by_[0] : 0; }
  bool has(std::uint64_t suspected_by) const;

 private:
  std::array<std::uint64_t, kMax> by_{};
  std::uint8_t count_ = 0;
};

}  // namespace granitegap::membership
