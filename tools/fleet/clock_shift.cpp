// Loaded into a process of a test fleet (LD_PRELOAD): its calendar clock is off by CLOCK_SHIFT_MS. Its steady
// clock is as it is.
#include <dlfcn.h>
#include <time.h>

#include <cstdlib>

namespace {

long long shift_ms() {
  const char* text = std::getenv("CLOCK_SHIFT_MS");
  return text ? std::atoll(text) : 0;
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* to) noexcept {
  using Real = int (*)(clockid_t, timespec*);
  static const auto real = reinterpret_cast<Real>(::dlsym(RTLD_NEXT, "clock_gettime"));
  const int failed = real(clock, to);
  if (failed || clock != CLOCK_REALTIME) return failed;
  const auto ns = to->tv_sec * 1'000'000'000LL + to->tv_nsec + shift_ms() * 1'000'000LL;
  to->tv_sec = time_t(ns / 1'000'000'000LL);
  to->tv_nsec = long(ns % 1'000'000'000LL);
  return 0;
}
