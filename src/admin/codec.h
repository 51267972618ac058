// Codec of the admin protocol: parses a command line and encodes a reply as one line. See docs/operation.md.
//
// Uses no sockets. Not thread-safe. Errors are CommandError values, whose texts are sent to the operator.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace granitegap::admin {

enum class Command : std::uint8_t { health, quiesce, resume };

// Why a line is not a valid command.
enum class CommandError : std::uint8_t { empty_line, not_text, unknown_command, extra_words, line_too_long };
// Returns one line of text for the reply and the log.
const char* error_text(CommandError error);

using CommandResult = std::variant<Command, CommandError>;

struct Reply {
  bool ok = true;
  std::string text;  // one line; may be empty
};

// Maximum length of a command line without its line end.
inline constexpr std::size_t kMaxLineBytes = 256;

// Parses a line without its LF. A CR at the end is ignored.
[[nodiscard]] CommandResult parse_command(std::string_view line);
// Returns "OK TEXT" or "ERR TEXT" followed by LF; without the space if the text is empty.
[[nodiscard]] std::string encode(const Reply& reply);

// Assembles one line from the bytes of a connection.
class CommandReader {
 public:
  // Returns the result once the line is complete or too long, and nullopt while more bytes are needed. Bytes
  // after the line are ignored.
  [[nodiscard]] std::optional<CommandResult> add(std::string_view bytes);

 private:
  std::string line_;
};

}  // namespace granitegap::admin
