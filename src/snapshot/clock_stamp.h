// A point in time by two clocks, so that a later process can tell how long ago it was.
//
// The clock since the kernel's boot (CLOCK_BOOTTIME) can't jump, but is comparable only within one boot of
// the machine. The Unix clock spans boots, but may have been set in between.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "granitegap/policy.h"

namespace granitegap::snapshot {

struct ClockStamp {
  std::string kernel_boot_id;  // which boot `since_boot` counts from; empty where it can't be read
  Duration since_boot{};
  std::int64_t unix_us = 0;  // microseconds since the Unix epoch
};

// Reads both clocks now. Reads /proc: call it off the io thread, or at the start and the end only.
[[nodiscard]] ClockStamp read_clock_stamp();

// Whether `now` is a later reading of the same boot's clock as `then`.
[[nodiscard]] bool same_boot(const ClockStamp& then, const ClockStamp& now);

// The time from `then` to `now`: by the boot clock where both are of one boot, else by the Unix clock; absent
// where that stands behind `then`.
[[nodiscard]] std::optional<Duration> age_of(const ClockStamp& then, const ClockStamp& now);

// How far the Unix clock was set back between the two: exact within one boot, else as far as it shows. Never
// negative.
[[nodiscard]] Duration clock_behind(const ClockStamp& then, const ClockStamp& now);

}  // namespace granitegap::snapshot
