// Computes from one membership view how much of the fleet is in service. A pure function of the view.
#pragma once
#include <cstddef>

#include "membership/views.h"

namespace granitegap::recovery {

// The state of the other members. This process itself is not counted.
struct FleetStatus {
  // Share of the peers that are missing or not in service, 0 to 1: the larger of the share of all peers and
  // the mean of the zones' shares. The mean weighs all zones the same, so that the complete loss of a zone
  // counts in full however few members it has.
  double recovering_share = 0;
  double missing_share = 0;          // share of the peers that are not alive in the view, 0 to 1
  std::size_t peers = 0;             // agreed fleet size without this process
  std::size_t peers_in_service = 0;  // peers that may be requested to share their warm state
  bool certain = false;              // the view has a quorum, is not uncertain, and local connectivity is ok
};

// Returns the fleet status of a view. Members that left in order are not counted as missing. Members that
// have not advertised any metadata yet count neither as in service nor as recovering.
FleetStatus summarize_fleet(const membership::View& view);

}  // namespace granitegap::recovery
