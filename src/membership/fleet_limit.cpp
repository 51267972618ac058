#include "membership/fleet_limit.h"

#include <algorithm>

#include "membership/views.h"

namespace granitegap::membership {

const char* text_of(LimitDivisorReason reason) {
  switch (reason) {
    case LimitDivisorReason::no_view:
      return "no view of the fleet yet";
    case LimitDivisorReason::members_alive:
      return "members alive";
    case LimitDivisorReason::view_uncertain:
      return "view uncertain";
  }
  return "unknown";
}

LimitDivisor limit_divisor(const View* view) {
  if (!view) return {};
  const auto alive = std::count_if(view->peers.begin(), view->peers.end(),
                                   [](const View::Peer& peer) { return peer.status == Status::alive; });
  const auto members = 1 + std::size_t(alive);
  const bool is_certain = view->has_quorum && !view->uncertain;
  if (is_certain) return {members, LimitDivisorReason::members_alive};
  return {std::max(members, view->fleet_size), LimitDivisorReason::view_uncertain};
}

std::uint32_t share_of_limit(std::uint32_t limit, const LimitDivisor& divisor) {
  if (divisor.members == 0) return 1;
  return std::max(limit / std::uint32_t(divisor.members), 1u);
}

}  // namespace granitegap::membership
