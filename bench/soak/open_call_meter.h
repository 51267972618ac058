// Compares the number of calls that are open at a dependency with the limit for the complete fleet.
//
// A call is open from its request until its answer, or until its caller closes the connection. Threads: any;
// a mutex protects the counts, as the dependency reports from its own thread.
#pragma once
#include <chrono>
#include <cstddef>
#include <mutex>

namespace granitegap::soak {

// Measures how often, how long and by how much the limit is exceeded.
class OpenCallMeter {
 public:
  using Clock = std::chrono::steady_clock;
  struct Figures {
    std::size_t max_open = 0;
    std::size_t times_over = 0;        // number of times the count rose above the limit
    std::chrono::microseconds over{};  // total time above the limit
  };

  explicit OpenCallMeter(std::size_t limit) : limit_(limit) {}

  // Records the number of calls that are open now.
  void report(std::size_t open);
  // Returns the figures up to now, including an excess that lasts.
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
