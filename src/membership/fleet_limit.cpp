#include "membership/fleet_limit.h"

#include <algorithm>

#include "membership/views.h"

namespace granitegap::membership {

const char* text_of(LimitDivisorReason reason) {
  switch (reason) {
    case LimitDivisorReason::no_view:
      return "no view of the fleet yet";
    case LimitDivisorReason::not_admitted:
      return "this process is not yet known to all other members";
    case LimitDivisorReason::unsettled:
      return "the number of members is not settled yet";
    case LimitDivisorReason::members_alive:
      return "members alive";
    case LimitDivisorReason::members_possibly_running:
      return "members alive and unreachable members that may still run";
    case LimitDivisorReason::view_uncertain:
      return "at least the agreed fleet size, as the view is uncertain or has no quorum";
  }
  return "unknown";
}

LimitDivisor limit_divisor(const View* view) {
  if (!view) return {};
  if (!view->limit_admitted) return {0, 0, LimitDivisorReason::not_admitted};
  if (!view->limit_holders) return {0, 0, LimitDivisorReason::unsettled};
  const auto alive = std::count_if(view->peers.begin(), view->peers.end(),
                                   [](const View::Peer& peer) { return peer.status == Status::alive; });
  LimitDivisor divisor{1 + std::size_t(alive), view->limit_reserved, LimitDivisorReason::members_alive};
  if (*view->limit_holders > divisor.members) {
    divisor.members = *view->limit_holders;
    divisor.reason = LimitDivisorReason::members_possibly_running;
  }
  const bool is_certain = view->has_quorum && !view->uncertain;
  if (!is_certain) {
    divisor.members = std::max(divisor.members, view->fleet_size);
    divisor.reason = LimitDivisorReason::view_uncertain;
  }
  return divisor;
}

std::uint32_t share_of_limit(std::uint32_t limit, const LimitDivisor& divisor) {
  if (divisor.reason == LimitDivisorReason::not_admitted) return 0;
  if (divisor.members == 0) return 1;
  const auto shared = limit - std::min(limit, std::uint32_t(divisor.reserved));
  return std::max(shared / std::uint32_t(divisor.members), 1u);
}

}  // namespace granitegap::membership
