// 64-bit little-endian integers in byte strings, as used in the stored files.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace granitegap::snapshot {

inline constexpr std::size_t kUint64Bytes = 8;

inline void append_uint64(std::string& bytes, std::uint64_t value) {
  for (std::size_t k = 0; k < kUint64Bytes; ++k) bytes += char(value >> (8 * k));
}

// Precondition: at least kUint64Bytes bytes from `offset` on.
[[nodiscard]] inline std::uint64_t uint64_at(std::string_view bytes, std::size_t offset) {
  std::uint64_t value = 0;
  for (std::size_t k = 0; k < kUint64Bytes; ++k)
    value |= std::uint64_t(std::uint8_t(bytes[offset + k])) << (8 * k);
  return value;
}

}  // namespace granitegap::snapshot
