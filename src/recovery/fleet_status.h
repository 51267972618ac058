// How much of the fleet is in service, as one membership view shows it. A pure function of the view.
#pragma once
#include <cstddef>

#include "membership/views.h"

namespace granitegap::recovery {

// The state of the other members; this process itself is not counted.
struct FleetStatus {
  // Share of the peers that is missing or not in service, 0 to 1. Zones weigh the same: one that is lost
  // completely counts as a zone, however few members it has. The larger of this and the plain share of
  // members.
  double recovering_share = 0;
  double missing_share = 0;          // of the peers, those not present at all; 0 to 1
  std::size_t peers = 0;             // the members agreed on, without this one
  std::size_t peers_in_service = 0;  // those that may be asked for their warm state
  bool certain = false;              // a majority is present and nothing is in doubt
};

// Members that left in order are not missed; members that have not advertised any metadata yet count neither
// as in service nor as recovering.
FleetStatus summarize_fleet(const membership::View& view);

}  // namespace granitegap::recovery
