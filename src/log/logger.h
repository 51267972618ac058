// Log lines on standard error, as text or as one JSON object a line, limited in rate so that a flood of
// errors does not become a flood of lines.
//
// Written by spdlog, synchronously; no thread of its own. A logger may be used by one thread at a time.
#pragma once
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
}

namespace granitegap {

enum class LogFormat { text, json };

class Logger {
 public:
  using Clock = std::chrono::steady_clock;

  // `name`: of the tile server; it must outlive the logger.
  explicit Logger(std::string_view name, LogFormat format = LogFormat::text);
  ~Logger();

  // One named value of a line. The name must live until the line is written.
  struct Field {
    Field(std::string_view field_name, std::string_view text) : name(field_name), value(text) {}
    Field(std::string_view field_name, std::int64_t integer)
        : name(field_name), value(std::to_string(integer)), is_number(true) {}
    std::string_view name;
    std::string value;
    bool is_number = false;
  };

  // Writes a line, or counts it as left out where there are too many. As text: `NAME: TEXT`, without the
  // fields, as the text has what they say. As JSON: time, name, text and the fields.
  void line(std::string_view text, std::initializer_list<Field> fields = {});

 private:
  bool take_token();
  void write(std::string_view line);
  std::string format_text(const std::string& text, std::size_t left_out) const;
  std::string format_json(const std::string& text, std::initializer_list<Field> fields,
                          std::size_t left_out) const;

  // The token bucket of the rate limit.
  static constexpr double kMaxTokens = 40;
  static constexpr double kTokensPerSecond = 10;

  std::string_view name_;
  LogFormat format_;
  std::shared_ptr<spdlog::logger> out_;
  double tokens_ = kMaxTokens;
  Clock::time_point refilled_at_ = Clock::now();
  std::size_t left_out_ = 0;  // lines since the last one written
};

}  // namespace granitegap
