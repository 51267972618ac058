// Log lines on standard error, limited in rate so that a flood of trouble can't become one of lines.
#pragma once
#include <chrono>
#include <cstddef>
#include <string_view>

namespace granitegap {

class Logger {
 public:
  using Clock = std::chrono::steady_clock;
  explicit Logger(std::string_view name) : name_(name) {}
  void line(std::string_view text);

 private:
  std::string_view name_;
  double room_ = kBurst;
  Clock::time_point filled_ = Clock::now();
  std::size_t left_out_ = 0;
  static constexpr double kBurst = 40, kPerSecond = 10;
};

}  // namespace granitegap
