// Rate-limited logging to standard error, as plain text or as one JSON object per line. The rate limit bounds
// the number of lines when many errors occur.
//
// Lines are written synchronously by spdlog, without a thread of its own. A logger must not be used by
// several threads at the same time.
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

// Format of the log lines.
enum class LogFormat { text, json };

// Writes log lines that begin with the name of the tile server or contain it as a JSON field.
class Logger {
 public:
  using Clock = std::chrono::steady_clock;

  // `name` is the name of the tile server. It must outlive the logger.
  explicit Logger(std::string_view name, LogFormat format = LogFormat::text);
  ~Logger();

  // A named value of a log line. The name must remain valid until the line is written.
  struct Field {
    Field(std::string_view field_name, std::string_view text) : name(field_name), value(text) {}
    Field(std::string_view field_name, std::int64_t integer)
        : name(field_name), value(std::to_string(integer)), is_number(true) {}
    std::string_view name;
    std::string value;
    bool is_number = false;
  };

  // Writes a line, or drops and counts it if the rate limit is exceeded. The text format is `NAME: TEXT`; it
  // omits the fields, whose information the text contains. The JSON format has the time, the name, the text
  // and the fields.
  void line(std::string_view text, std::initializer_list<Field> fields = {});

 private:
  bool take_token();
  void write(std::string_view line);
  std::string format_text(const std::string& text, std::size_t dropped_lines) const;
  std::string format_json(const std::string& text, std::initializer_list<Field> fields,
                          std::size_t dropped_lines) const;

  // Parameters of the token bucket that limits the rate; each line takes one token.
  static constexpr double kMaxTokens = 40;
  static constexpr double kTokensPerSecond = 10;

  std::string_view name_;
  LogFormat format_;
  std::shared_ptr<spdlog::logger> out_;
  double tokens_ = kMaxTokens;
  Clock::time_point refilled_at_ = Clock::now();
  std::size_t dropped_lines_ = 0;  // since the last written line
};

}  // namespace granitegap
