#include "log/logger.h"

#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace granitegap {
namespace {

// Replaces every byte outside printable ASCII by '?'. Texts may contain external input, in which control
// characters could end the line or hide part of it.
std::string to_printable(std::string_view text) {
  std::string printable;
  for (const char c : text) printable += c >= ' ' && c < 127 ? c : '?';
  return printable;
}

std::int64_t unix_milliseconds() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

}  // namespace

Logger::Logger(std::string_view name, LogFormat format) : name_(name), format_(format) {
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
  out_ = std::make_shared<spdlog::logger>("granitegap", std::move(sink));
  out_->set_formatter(std::make_unique<spdlog::pattern_formatter>("%v"));
  out_->flush_on(spdlog::level::trace);
}

Logger::~Logger() = default;

void Logger::line(std::string_view text, std::initializer_list<Field> fields) {
  if (!take_token()) {
    ++dropped_lines_;
    return;
  }
  const auto dropped_lines = std::exchange(dropped_lines_, 0);
  const auto printable = to_printable(text);
  write(format_ == LogFormat::text ? format_text(printable, dropped_lines)
                                   : format_json(printable, fields, dropped_lines));
}

bool Logger::take_token() {
  const auto now = Clock::now();
  const auto elapsed = std::chrono::duration<double>(now - refilled_at_);
  tokens_ = std::min(kMaxTokens, tokens_ + elapsed.count() * kTokensPerSecond);
  refilled_at_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

void Logger::write(std::string_view line) {
  out_->log(spdlog::level::info, spdlog::string_view_t(line.data(), line.size()));
}

std::string Logger::format_text(const std::string& text, std::size_t dropped_lines) const {
  std::string out(name_);
  out += ": " + text;
  if (dropped_lines)
    out += " (" + std::to_string(dropped_lines) + " earlier lines dropped by the rate limit)";
  return out;
}

std::string Logger::format_json(const std::string& text, std::initializer_list<Field> fields,
                                std::size_t dropped_lines) const {
  nlohmann::ordered_json json;
  json["t_ms"] = unix_milliseconds();
  json["name"] = name_;
  json["text"] = text;
  for (const auto& field : fields) {
    if (field.is_number)
      json[std::string(field.name)] = std::stoll(field.value);
    else
      json[std::string(field.name)] = field.value;
  }
  if (dropped_lines) json["left_out"] = dropped_lines;
  constexpr int kOneLine = -1;
  constexpr bool kEscapeNonAscii = true;
  return json.dump(kOneLine, ' ', kEscapeNonAscii, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace granitegap
