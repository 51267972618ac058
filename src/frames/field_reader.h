// The list of named fields at the front of a frame's payload. Internal to this module.
#pragma once
#include <optional>
#include <string_view>

#include "frames/wire_format.h"

namespace granitegap::frames {

// Takes a text that is preceded by its length, in `length_bytes` bytes, off the front of `payload`. Absent,
// and nothing taken, if it runs past the end.
inline std::optional<std::string_view> take_text(std::string_view& payload, std::size_t length_bytes) {
  if (payload.size() < length_bytes) return std::nullopt;
  const std::size_t length = read_big_endian(payload.substr(0, length_bytes));
  if (payload.size() - length_bytes < length) return std::nullopt;
  const auto text = payload.substr(length_bytes, length);
  payload.remove_prefix(length_bytes + length);
  return text;
}

// Calls `use(name, value)` for each field and leaves what follows the fields, the body, in `payload`. False
// if the fields run past its end.
template <class Use>
[[nodiscard]] bool read_fields(std::string_view& payload, Use use) {
  if (payload.empty()) return false;
  const auto count = std::uint8_t(payload.front());
  payload.remove_prefix(1);
  for (int i = 0; i < count; ++i) {
    const auto name = take_text(payload, kNameLengthBytes);
    if (!name) return false;
    const auto value = take_text(payload, kValueLengthBytes);
    if (!value) return false;
    use(*name, *value);
  }
  return true;
}

}  // namespace granitegap::frames
