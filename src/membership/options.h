// Membership settings of the operator file. Their bounds are in deploy/operator.schema.cue.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "membership/types.h"

namespace granitegap::membership {

struct Options {
  // The protocol period (SWIM section 3.1). Each period probes one member, in turn.
  Duration period = std::chrono::milliseconds(500);
  // Minimum time after which a probe counts as late.
  Duration min_probe_timeout = std::chrono::milliseconds(20);
  // Number of members that are requested to probe a member that did not answer ("k" in SWIM section 3.1).
  unsigned indirect_probes = 3;
  // Minimum suspicion timeout, in periods times the decimal logarithm of the fleet size (Lifeguard's alpha).
  double suspicion_multiplier = 2;
  // Maximum suspicion timeout, which applies without confirmations, in minimum timeouts (Lifeguard's beta).
  double max_suspicion_multiplier = 5;
  // Number of confirmations by others that shorten the suspicion timeout to the minimum (Lifeguard's K).
  unsigned confirmations = 3;
  // Maximum of the local health score (Lifeguard section IV-A).
  unsigned max_health_multiplier = 8;
  // How often one update is sent, in units of the decimal logarithm of the fleet size (lambda in SWIM section
  // 4.1).
  unsigned retransmit_multiplier = 4;
  // Share of the quorum base that makes the view uncertain if it falls silent within mass_failure_window().
  double mass_failure_fraction = 0.3;
  // How long a dead member stays in the quorum base while there is a quorum.
  Duration quorum_shrink_delay = std::chrono::seconds(30);
  // How long the tombstone of a dead member, or of one that left, is kept.
  Duration tombstone_ttl = std::chrono::seconds(120);
  // Maximum age of datagrams and updates; older ones are rejected.
  Duration max_message_age = std::chrono::seconds(20);
  std::size_t max_members = 10000, max_tombstones = 2000;
  // Minimum size of the fleet, where the operator knows it; 0: unknown.
  std::size_t min_fleet_size = 0;
  // Addresses through which a joiner finds the fleet.
  std::vector<Address> seeds;
  // Fixed timeouts, direct probes only, no refutation: a baseline to compare the full protocol with.
  bool baseline_mode = false;

  // Time within which members that fall silent count as one mass failure.
  Duration mass_failure_window() const { return 8 * period; }
  // Minimum time for which the view stays uncertain.
  Duration min_uncertain_duration() const { return 3 * period; }
  // Time without any datagram after which this member's inbound path counts as broken.
  Duration inbound_silence_timeout() const { return 7 * period; }
  bool operator==(const Options&) const = default;
};

}  // namespace granitegap::membership
