// Log lines on standard error, as text or as one JSON object a line, limited in rate so that a flood of
// trouble can't become one of lines. On spdlog, which writes them; no thread of its own.
#pragma once
#include <chrono>
#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace spdlog {
class logger;
}

namespace granitegap {

enum class LogFormat { text, json };

class Logger {
 public:
  using Clock = std::chrono::steady_clock;
  // `name`: of the tile server; it must outlive the logger.
  explicit Logger(std::string_view name, LogFormat form = LogFormat::text);
  ~Logger();
  struct Field {
    Field(std::string_view n, std::string_view v) : name(n), value(v) {}
    Field(std::string_view n, std::int64_t v) : name(n), value(std::to_string(v)), number(true) {}
    std::string_view name;
    std::string value;
    bool number = false;
  };
  // As text: `NAME: TEXT`, the fields left out, as the text tells them already. As JSON: time, name, text and
  // the fields.
  void line(std::string_view text, std::initializer_list<Field> fields = {});

 private:
  std::string_view name_;
  LogFormat form_;
  std::shared_ptr<spdlog::logger> out_;
  double room_ = kBurst;
  Clock::time_point filled_ = Clock::now();
  std::size_t left_out_ = 0;
  static constexpr double kBurst = 40, kPerSecond = 10;
};

}  // namespace granitegap
