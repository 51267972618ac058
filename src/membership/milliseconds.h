// Durations as the whole milliseconds that datagrams carry.
#pragma once
#include <algorithm>
#include <chrono>
#include <cstdint>

#include "membership/types.h"

namespace granitegap::membership {

// `duration` in milliseconds, rounded towards zero; may be negative.
inline std::int64_t to_milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// The same clamped to 0 .. `max`, for fields of 32 bits.
inline std::uint32_t to_clamped_milliseconds(Duration duration, std::uint32_t max) {
  return std::uint32_t(std::clamp<std::int64_t>(to_milliseconds(duration), 0, max));
}

}  // namespace granitegap::membership
