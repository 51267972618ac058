// A point in time by two clocks, from which a later process computes how long ago it was.
//
// The clock since the operating system's boot (CLOCK_BOOTTIME) can't jump, but its readings are comparable
// only within one boot of the machine. The Unix clock is comparable across boots, but may have been set in
// between.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "granitegap/policy.h"

namespace granitegap::snapshot {

struct ClockStamp {
  std::string kernel_boot_id;  // identifies the boot of `since_boot`; empty if it can't be read
  Duration since_boot{};
  std::int64_t unix_us = 0;  // microseconds since the Unix epoch
};

// Reads both clocks. Also reads a file in /proc: on the io thread call it only at start and shutdown.
[[nodiscard]] ClockStamp read_clock_stamp();

// Whether `now` is a later reading of the same boot's clock as `then`.
[[nodiscard]] bool same_boot(const ClockStamp& then, const ClockStamp& now);

// Returns the time from `then` to `now`: by the boot clock if both stamps are of the same boot, otherwise by
// the Unix clock. Returns nullopt if the Unix clock is used and is behind `then`.
[[nodiscard]] std::optional<Duration> age_of(const ClockStamp& then, const ClockStamp& now);

// Returns how far the Unix clock was set back between the two stamps, never negative. Exact within one boot;
// across boots the elapsed time is not known and a lower bound is returned.
[[nodiscard]] Duration unix_clock_setback(const ClockStamp& then, const ClockStamp& now);

}  // namespace granitegap::snapshot
