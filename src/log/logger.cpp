#include "log/logger.h"

#include <algorithm>
#include <cstdio>
#include <string>

namespace granitegap {

void Logger::line(std::string_view text) {
  const auto now = Clock::now();
  room_ = std::min(kBurst, room_ + std::chrono::duration<double>(now - filled_).count() * kPerSecond);
  filled_ = now;
  if (room_ < 1) {
    ++left_out_;
    return;
  }
  room_ -= 1;
  std::string out(name_);
  out += ": ";
  for (const char c : text) out += c >= ' ' && c < 127 ? c : '?';  // what came from outside stays one line
  if (left_out_) out += " (" + std::to_string(left_out_) + " lines left out before)";
  left_out_ = 0;
  out += '\n';
  std::fwrite(out.data(), 1, out.size(), stderr);
}

}  // namespace granitegap
