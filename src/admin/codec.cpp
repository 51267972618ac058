#include "admin/codec.h"

#include <algorithm>

namespace granitegap::admin {

std::variant<Call, BadCall> parse(std::string_view line) {
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) return BadCall{"empty line: expected health, quiesce or resume"};
  if (!std::all_of(line.begin(), line.end(), [](char c) { return c >= ' ' && c < 127; }))
    return BadCall{"bytes that are no text"};
  const auto space = line.find(' ');
  const auto word = line.substr(0, space);
  const auto call = word == "health"    ? std::optional(Call::health)
                    : word == "quiesce" ? std::optional(Call::quiesce)
                    : word == "resume"  ? std::optional(Call::resume)
                                        : std::nullopt;
  if (!call) return BadCall{"unknown call: expected health, quiesce or resume"};
  if (space != std::string_view::npos) return BadCall{"extra words after the call"};
  return *call;
}

std::string encode(const Reply& reply) {
  auto line = std::string(reply.ok ? "OK" : "ERR");
  if (!reply.text.empty()) line.append(1, ' ').append(reply.text);
  return line.append(1, '\n');
}

std::optional<std::variant<Call, BadCall>> Reader::add(std::string_view bytes) {
  const auto end = bytes.find('\n');
  line_.append(bytes.substr(0, std::min(end, kMaxLine + 2)));
  if (line_.size() > kMaxLine + 1) return BadCall{"line too long"};
  if (end == std::string_view::npos) return std::nullopt;
  return parse(line_);
}

}  // namespace granitegap::admin
