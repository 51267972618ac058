#include "snapshot/clock_stamp.h"

#include <time.h>

#include <algorithm>
#include <fstream>

namespace granitegap::snapshot {
namespace {

constexpr char kBootIdFile[] = "/proc/sys/kernel/random/boot_id";

// Returns a system clock's time in microseconds, or nullopt if it can't be read.
std::optional<std::int64_t> read_clock_us(clockid_t clock) {
  timespec time{};
  if (::clock_gettime(clock, &time) != 0) return std::nullopt;
  return time.tv_sec * 1'000'000LL + time.tv_nsec / 1000;
}

}  // namespace

ClockStamp read_clock_stamp() {
  ClockStamp stamp;
  std::ifstream boot_id_file(kBootIdFile);
  const bool has_boot_id = bool(boot_id_file >> stamp.kernel_boot_id);
  const auto since_boot_us = has_boot_id ? read_clock_us(CLOCK_BOOTTIME) : std::nullopt;
  if (since_boot_us)
    stamp.since_boot = Duration(*since_boot_us);
  else
    stamp.kernel_boot_id.clear();
  stamp.unix_us = read_clock_us(CLOCK_REALTIME).value_or(0);
  return stamp;
}

bool same_boot(const ClockStamp& then, const ClockStamp& now) {
  return !now.kernel_boot_id.empty() && then.kernel_boot_id == now.kernel_boot_id &&
         now.since_boot >= then.since_boot;
}

std::optional<Duration> age_of(const ClockStamp& then, const ClockStamp& now) {
  if (same_boot(then, now)) return now.since_boot - then.since_boot;
  if (now.unix_us < then.unix_us) return std::nullopt;
  return Duration(now.unix_us - then.unix_us);
}

Duration unix_clock_setback(const ClockStamp& then, const ClockStamp& now) {
  const auto elapsed = same_boot(then, now) ? now.since_boot - then.since_boot : Duration{};
  return std::max(Duration(then.unix_us + elapsed.count() - now.unix_us), Duration{});
}

}  // namespace granitegap::snapshot
