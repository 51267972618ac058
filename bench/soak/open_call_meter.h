// Counts the calls that are open at a dependency against the limit that the whole fleet declared.
//
// A call is open from its request until its answer, or until its caller closed the connection. Threads: any;
// a mutex guards the counts, as the dependency reports from its own thread.
#pragma once
#include <chrono>
#include <cstddef>
#include <mutex>

namespace granitegap::soak {

class OpenCallMeter {
 public:
  using Clock = std::chrono::steady_clock;
  struct Figures {
    std::size_t max_open = 0;
    std::size_t times_over = 0;        // how often the limit was crossed
    std::chrono::microseconds over{};  // how long it was exceeded, in all
  };

  explicit OpenCallMeter(std::size_t limit) : limit_(limit) {}

  void report(std::size_t open);
  Figures figures() const;
  std::size_t limit() const { return limit_; }

 private:
  const std::size_t limit_;
  mutable std::mutex mutex_;
  Figures figures_;
  std::size_t open_ = 0;
  Clock::time_point over_since_{};
};

}  // namespace granitegap::soak
