// Reads the list of named fields at the front of a frame's payload. Internal to this module.
#pragma once
#include <optional>
#include <string_view>

#include "frames/wire_format.h"

namespace granitegap::frames {

// Removes a length-prefixed string from the front of `payload` and returns it. The prefix has `length_bytes`
// bytes. Absent, with `payload` unchanged, if the string extends past the end of the payload.
inline std::optional<std::string_view> take_text(std::string_view& payload, std::size_t length_bytes) {
  if (payload.size() < length_bytes) return std::nullopt;
  const std::size_t length = read_big_endian(payload.substr(0, length_bytes));
  if (payload.size() - length_bytes < length) return std::nullopt;
  const auto text = payload.substr(length_bytes, length);
  payload.remove_prefix(length_bytes + length);
  return text;
}

// Calls `handle_field(name, value)` for each field and leaves the body, which follows the fields, in
// `payload`. Returns false if the fields extend past the end of the payload.
template <class FieldHandler>
[[nodiscard]] bool read_fields(std::string_view& payload, FieldHandler handle_field) {
  if (payload.empty()) return false;
  const auto count = std::uint8_t(payload.front());
  payload.remove_prefix(1);
  for (int i = 0; i < count; ++i) {
    const auto name = take_text(payload, kNameLengthBytes);
    if (!name) return false;
    const auto value = take_text(payload, kValueLengthBytes);
    if (!value) return false;
    handle_field(*name, *value);
  }
  return true;
}

}  // namespace granitegap::frames
