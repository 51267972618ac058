// The admin protocol: one command line to a typed command, a reply to one line; docs/operation.md.
//
// Pure functions and a buffer; no sockets. Not thread-safe. Errors are CommandError values, whose texts are
// sent to the operator.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace granitegap::admin {

enum class Command : std::uint8_t { health, quiesce, resume };

// Why a line is no command.
enum class CommandError : std::uint8_t { empty_line, not_text, unknown_command, extra_words, line_too_long };
// One line of plain text that says what was expected.
const char* text_of(CommandError error);

using CommandResult = std::variant<Command, CommandError>;

struct Reply {
  bool ok = true;
  std::string text;  // may be empty; one line
};

inline constexpr std::size_t kMaxLineBytes = 256;  // without the line end

// `line`: without its LF; a CR at the end is ignored.
[[nodiscard]] CommandResult parse_command(std::string_view line);
// "OK text" or "ERR text", and LF.
[[nodiscard]] std::string encode(const Reply& reply);

// Assembles one line from the bytes of a connection.
class CommandReader {
 public:
  // The result once the line is complete or too long; absent while more bytes are needed. What follows the
  // line is ignored.
  [[nodiscard]] std::optional<CommandResult> add(std::string_view bytes);

 private:
  std::string line_;
};

}  // namespace granitegap::admin
