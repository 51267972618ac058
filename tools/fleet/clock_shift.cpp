// A library for LD_PRELOAD that shifts the wall clock of one process of a test fleet by the environment
// variable CLOCK_SHIFT_MS (milliseconds, may be negative). The steady clock stays as it is.
#include <dlfcn.h>
#include <time.h>

#include <cstdlib>

namespace {

constexpr long long kNanosPerSecond = 1'000'000'000, kNanosPerMilli = 1'000'000;

using ClockGettime = int (*)(clockid_t, timespec*);

// Zero where the variable is not set.
long long shift_ms() {
  const char* text = std::getenv("CLOCK_SHIFT_MS");
  return text ? std::atoll(text) : 0;
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static const auto kSystemClockGettime = reinterpret_cast<ClockGettime>(::dlsym(RTLD_NEXT, "clock_gettime"));
  const int status = kSystemClockGettime(clock, time);
  if (status != 0 || clock != CLOCK_REALTIME) return status;
  const auto nanos = time->tv_sec * kNanosPerSecond + time->tv_nsec + shift_ms() * kNanosPerMilli;
  time->tv_sec = time_t(nanos / kNanosPerSecond);
  time->tv_nsec = long(nanos % kNanosPerSecond);
  return 0;
}
