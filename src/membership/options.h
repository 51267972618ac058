// What an operator may set of membership, with bounds in deploy/operator.schema.cue.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "membership/types.h"

namespace granitegap::membership {

struct Options {
  Duration period = std::chrono::milliseconds(500);  // one probe of the round each
  Duration min_probe_timeout = std::chrono::milliseconds(20);
  unsigned indirect_probes = 3;     // members asked to probe for one that did not answer
  double suspicion_multiplier = 2;  // periods times the decimal logarithm of the fleet's size: the least time
  double max_suspicion_multiplier = 5;  // times that, while nobody confirms
  unsigned confirmations = 3;           // from others, which bring the time down to the least
  unsigned max_health_multiplier = 8;   // bound of the local health multiplier
  unsigned retransmit_multiplier = 4;   // times the logarithm: how often one update is sent on
  double mass_failure_fraction =
      0.3;  // of the agreed fleet silent within mass_within(): the fault may be mine
  Duration quorum_shrink_delay = std::chrono::seconds(30);  // a majority's dead leave the agreed fleet
  Duration tombstone_ttl = std::chrono::seconds(120);
  Duration max_message_age = std::chrono::seconds(20);  // older datagrams and updates change nothing
  std::size_t max_members = 10000, max_tombstones = 2000;
  std::size_t min_fleet_size = 0;  // the fleet's least size, where the operator knows it
  std::vector<Address> seeds;
  // Fixed timeouts, direct probes, no refutation: only to measure what the rest is worth.
  bool baseline_mode = false;

  Duration mass_failure_window() const { return 8 * period; }
  Duration min_uncertain_duration() const { return 3 * period; }
  Duration inbound_silence_timeout() const { return 7 * period; }
  bool operator==(const Options&) const = default;
};

}  // namespace granitegap::membership
