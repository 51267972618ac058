// Conversion of durations to the whole milliseconds that datagrams carry.
#pragma once
#include <algorithm>
#include <chrono>
#include <cstdint>

#include "membership/types.h"

namespace granitegap::membership {

// Returns `duration` in milliseconds, rounded towards zero; may be negative.
inline std::int64_t to_milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Returns `duration` in milliseconds, clamped to 0 .. `max`, for 32-bit fields.
inline std::uint32_t to_clamped_milliseconds(Duration duration, std::uint32_t max) {
  return std::uint32_t(std::clamp<std::int64_t>(to_milliseconds(duration), 0, max));
}

}  // namespace granitegap::membership
