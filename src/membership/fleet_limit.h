// How a limit that is declared for the whole fleet is divided among its members.
//
// Values and pure functions. Threads: any. No errors.
#pragma once
#include <cstddef>
#include <cstdint>

namespace granitegap::membership {

struct View;

// Why a limit is divided by so many.
enum class LimitDivisorReason : std::uint8_t {
  no_view,         // nothing is known of the fleet yet
  not_admitted,    // the others have not all heard of this process: it takes nothing
  unsettled,       // started, cut off or stopped not long ago: others may be there
  members_alive,   // the members that are alive
  members_gone,    // and such that are not, but may still run
  view_uncertain,  // the agreed fleet, as the view is uncertain or has no quorum
};
// The reason as it is printed.
const char* text_of(LimitDivisorReason reason);

// What a limit is divided by.
struct LimitDivisor {
  std::size_t members = 0;   // this one included; 0: unknown
  std::size_t reserved = 0;  // attempts kept back for members that were removed and may still run
  LimitDivisorReason reason = LimitDivisorReason::no_view;
  bool operator==(const LimitDivisor&) const = default;
};

// Null: no view yet.
LimitDivisor limit_divisor(const View* view);
// This member's part of the limit: never less than 1, but 0 for one that is not admitted.
std::uint32_t share_of_limit(std::uint32_t limit, const LimitDivisor& divisor);

}  // namespace granitegap::membership
