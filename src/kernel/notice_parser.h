// Parser for a single line of the kernel's protocol. Internal to this module.
#pragma once
#include <cstddef>
#include <optional>
#include <string_view>

#include "kernel/line_codec.h"

namespace granitegap::kernel {

// A notice, complete except for its payload.
struct ParsedLine {
  Notice notice;
  // Size of the payload after the line; absent if none follows, not even an empty one.
  std::optional<std::size_t> payload_bytes;
};

// Parses a line without its CR LF. Absent if the line is not a valid notice.
std::optional<ParsedLine> parse_line(std::string_view line);

}  // namespace granitegap::kernel
