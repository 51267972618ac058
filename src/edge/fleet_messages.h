// Messages to the edge about the fleet and about the previous incarnation of this process: membership views,
// warm state and the end of the state transfer. Plain values.
#pragma once
#include <cstddef>
#include <memory>

#include "membership/views.h"
#include "recovery/restart_quarantine.h"
#include "warm_state/warm_state.h"

namespace granitegap::edge {

// The latest membership view.
struct MembershipUpdate {
  std::shared_ptr<const membership::View> view;
};

// What was read from disk about the previous incarnation of this process.
struct PreviousIncarnationFound {
  recovery::PreviousIncarnation previous;
};

// Warm state of a previous incarnation or of other members. The ages in it include the age of the state
// itself.
struct WarmStateReceived {
  warm_state::WarmState state;
  std::size_t donors = 0;  // number of members that sent it; 0: restored from a previous incarnation
};

// The state transfer has ended: no donor is left to query, or there was none.
struct StateTransferFinished {
  std::size_t donors = 0;  // number of members that sent warm state
};

// Requests a new state transfer, because the warm state of this process is empty or out of date.
struct StateTransferRequested {};

}  // namespace granitegap::edge
