// The operators' calls: one line to a typed call, and the answer to one line. No sockets.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace granitegap::admin {

enum class Call : std::uint8_t { health, quiesce, resume };
struct BadCall {
  std::string why;  // plain text on one line
};
struct Reply {
  bool ok = true;
  std::string text;
};

constexpr std::size_t kMaxLine = 256;  // bytes before its end

// `line`: without its LF; a CR before that is left out here.
std::variant<Call, BadCall> parse(std::string_view line);
// "OK text" or "ERR text", and LF.
std::string encode(const Reply& reply);

// Takes bytes as they come. A call, or why there will be none; absent while the line goes on.
class Reader {
 public:
  std::optional<std::variant<Call, BadCall>> add(std::string_view bytes);

 private:
  std::string line_;
};

}  // namespace granitegap::admin
