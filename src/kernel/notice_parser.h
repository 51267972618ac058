// One line of the kernel's protocol to a notice. Internal to this module.
#pragma once
#include <cstddef>
#include <optional>
#include <string_view>

#include "kernel/line_codec.h"

namespace granitegap::kernel {

struct ParsedLine {
  Notice notice;
  std::optional<std::size_t> payload_bytes;  // that follow the line; absent: none do, not even an empty one
};

// Absent if the line is no notice.
std::optional<ParsedLine> parse_line(std::string_view line);

}  // namespace granitegap::kernel
