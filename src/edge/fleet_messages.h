// What the edge learns from the fleet and from its own previous incarnation: membership views, warm state
// and the end of the state transfer. Plain values.
#pragma once
#include <cstddef>
#include <memory>

#include "membership/views.h"
#include "recovery/restart_quarantine.h"
#include "warm_state/warm_state.h"

namespace granitegap::edge {

// The newest view of the membership.
struct MembershipUpdate {
  std::shared_ptr<const membership::View> view;
};

// What the disk has kept of the previous incarnation of this process.
struct PreviousIncarnationFound {
  recovery::PreviousIncarnation previous;
};

// Warm state of an earlier incarnation or of other members, already aged by its age.
struct WarmStateReceived {
  warm_state::WarmState state;
  std::size_t donors = 0;  // members it came from; 0: an earlier incarnation
};

// No donor is left to ask, or there was none.
struct StateTransferFinished {
  std::size_t donors = 0;  // members that warm state came from
};

// Asks for a new state transfer: the memory of this process is empty or out of date.
struct StateTransferRequested {};

}  // namespace granitegap::edge
