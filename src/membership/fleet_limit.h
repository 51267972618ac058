// Division of a limit that is declared for the whole fleet into shares of its members.
//
// Values and pure functions. Threads: any. No errors.
#pragma once
#include <cstddef>
#include <cstdint>

namespace granitegap::membership {

struct View;

// How the divisor of a limit was determined.
enum class LimitDivisorReason : std::uint8_t {
  no_view,                   // there is no view of the fleet yet
  not_admitted,              // not all other members know this process yet: it takes no share
  unsettled,                 // started, isolated or paused recently: there may be members not yet known
  members_alive,             // the number of members alive
  members_possibly_running,  // members alive, and others that may still run
  view_uncertain,            // at least the agreed fleet size: the view is uncertain or has no quorum
};
// Returns the reason as printed in logs.
const char* text_of(LimitDivisorReason reason);

// The divisor of a fleet-wide limit.
struct LimitDivisor {
  // Members that share the limit, this one included; 0: unknown.
  std::size_t members = 0;
  // Attempts reserved for removed members that may still run, one for each.
  std::size_t reserved = 0;
  LimitDivisorReason reason = LimitDivisorReason::no_view;
  bool operator==(const LimitDivisor&) const = default;
};

// Returns the divisor that follows from `view`; null means that there is no view yet.
LimitDivisor limit_divisor(const View* view);
// Returns this member's share of `limit`: at least 1, but 0 where this member is not admitted.
std::uint32_t share_of_limit(std::uint32_t limit, const LimitDivisor& divisor);

}  // namespace granitegap::membership
