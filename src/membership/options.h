// What an operator may set of membership, with bounds in deploy/operator.schema.cue.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "membership/types.h"

namespace granitegap::membership {

struct Options {
  // The protocol period (SWIM section 3.1): one probe of the round each.
  Duration period = std::chrono::milliseconds(500);
  Duration min_probe_timeout = std::chrono::milliseconds(20);
  // Members asked to probe one that did not answer ("k" in SWIM section 3.1).
  unsigned indirect_probes = 3;
  // The minimal suspicion timeout, in periods times the decimal logarithm of the fleet's size (Lifeguard's
  // alpha).
  double suspicion_multiplier = 2;
  // The maximal timeout, without confirmation, in minimal ones (Lifeguard's beta).
  double max_suspicion_multiplier = 5;
  // Confirmations by others that shorten it to the minimum (Lifeguard's K).
  unsigned confirmations = 3;
  // Bound of the local health score (Lifeguard section IV-A).
  unsigned max_health_multiplier = 8;
  // How often one update is sent, times the logarithm of the fleet's size (lambda in SWIM section 4.1).
  unsigned retransmit_multiplier = 4;
  // Share of the quorum base silent within mass_failure_window() that makes the view uncertain.
  double mass_failure_fraction = 0.3;
  // After how long a dead member leaves the quorum base, while there is a quorum.
  Duration quorum_shrink_delay = std::chrono::seconds(30);
  // How long a dead member or one that left is remembered.
  Duration tombstone_ttl = std::chrono::seconds(120);
  // Older datagrams and updates are rejected.
  Duration max_message_age = std::chrono::seconds(20);
  std::size_t max_members = 10000, max_tombstones = 2000;
  // The least size of the fleet, where the operator knows it; 0: unknown.
  std::size_t min_fleet_size = 0;
  std::vector<Address> seeds;
  // Fixed timeouts, direct probes, no refutation: only to measure what the rest achieves.
  bool baseline_mode = false;

  Duration mass_failure_window() const { return 8 * period; }
  Duration min_uncertain_duration() const { return 3 * period; }
  Duration inbound_silence_timeout() const { return 7 * period; }
  bool operator==(const Options&) const = default;
};

}  // namespace granitegap::membership
