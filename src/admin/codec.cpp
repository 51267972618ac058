#include "admin/codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace granitegap::admin {
namespace {

constexpr std::array<std::pair<std::string_view, Command>, 3> kCommands{
    {{"health", Command::health}, {"quiesce", Command::quiesce}, {"resume", Command::resume}}};

bool is_printable_ascii(char c) { return c >= ' ' && c < 127; }

std::optional<Command> find_command(std::string_view word) {
  for (const auto& [name, command] : kCommands)
    if (name == word) return command;
  return std::nullopt;
}

}  // namespace

const char* error_text(CommandError error) {
  switch (error) {
    case CommandError::empty_line:
      return "empty line: expected health, quiesce or resume";
    case CommandError::not_text:
      return "bytes that are no text";
    case CommandError::unknown_command:
      return "unknown call: expected health, quiesce or resume";
    case CommandError::extra_words:
      return "extra words after the call";
    case CommandError::line_too_long:
      return "line too long";
  }
  return "unknown error";
}

CommandResult parse_command(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) return CommandError::empty_line;
  if (!std::all_of(line.begin(), line.end(), is_printable_ascii)) return CommandError::not_text;
  const auto space = line.find(' ');
  const auto command = find_command(line.substr(0, space));
  if (!command) return CommandError::unknown_command;
  if (space != std::string_view::npos) return CommandError::extra_words;
  return *command;
}

std::string encode(const Reply& reply) {
  std::string line = reply.ok ? "OK" : "ERR";
  if (!reply.text.empty()) line.append(1, ' ').append(reply.text);
  return line.append(1, '\n');
}

std::optional<CommandResult> CommandReader::add(std::string_view bytes) {
  const auto line_end = bytes.find('\n');
  // Two bytes more than the limit: one for a CR, one to detect that the line is too long.
  line_.append(bytes.substr(0, std::min(line_end, kMaxLineBytes + 2)));
  if (line_.size() > kMaxLineBytes + 1) return CommandError::line_too_long;
  if (line_end == std::string_view::npos) return std::nullopt;
  return parse_command(line_);
}

}  // namespace granitegap::admin
