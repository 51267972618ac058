#include "log/logger.h"

#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace granitegap {

Logger::Logger(std::string_view name, LogFormat form)
    : name_(name),
      form_(form),
      out_(
          std::make_shared<spdlog::logger>("granitegap", std::make_shared<spdlog::sinks::stderr_sink_st>())) {
  out_->set_formatter(std::make_unique<spdlog::pattern_formatter>("%v"));
  out_->flush_on(spdlog::level::trace);
}

Logger::~Logger() = default;

void Logger::line(std::string_view text, std::initializer_list<Field> fields) {
  const auto now = Clock::now();
  room_ = std::min(kBurst, room_ + std::chrono::duration<double>(now - filled_).count() * kPerSecond);
  filled_ = now;
  if (room_ < 1) {
    ++left_out_;
    return;
  }
  room_ -= 1;
  std::string plain;
  for (const char c : text) plain += c >= ' ' && c < 127 ? c : '?';  // what came from outside stays one line
  const auto left_out = std::exchange(left_out_, 0);
  if (form_ == LogFormat::text) {
    std::string out(name_);
    out += ": " + plain;
    if (left_out) out += " (" + std::to_string(left_out) + " lines left out before)";
    out_->log(spdlog::level::info, spdlog::string_view_t(out.data(), out.size()));
    return;
  }
  nlohmann::ordered_json json;
  using namespace std::chrono;
  json["t_ms"] = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
  json["name"] = name_;
  json["text"] = plain;
  for (const auto& f : fields) {
    if (f.number)
      json[std::string(f.name)] = std::stoll(f.value);
    else
      json[std::string(f.name)] = f.value;
  }
  if (left_out) json["left_out"] = left_out;
  const auto out = json.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
  out_->log(spdlog::level::info, spdlog::string_view_t(out.data(), out.size()));
}

}  // namespace granitegap
