// Constants and primitives of the binary framing, shared by the decoder and the encoder. Internal to this
// module.
//
// A frame consists of a length (4 bytes), a type (1 byte), a stream identifier (4 bytes) and the payload.
// Numbers are big-endian. The length counts all bytes after the length itself.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace granitegap::frames {

enum class FrameType : std::uint8_t {
  request = 0,
  response = 1,
  health_check = 6,
  health_response = 7,
  goaway = 9,
};

inline constexpr std::size_t kLengthBytes = 4;
inline constexpr std::size_t kTypeBytes = 1;
inline constexpr std::size_t kStreamBytes = 4;
inline constexpr std::size_t kHeaderBytes = kTypeBytes + kStreamBytes;  // between the length and the payload

// Sizes of the length prefixes of field names and values.
inline constexpr std::size_t kNameLengthBytes = 1;
inline constexpr std::size_t kValueLengthBytes = 2;

inline std::uint32_t read_big_endian(std::string_view bytes) {
  std::uint32_t value = 0;
  for (const char byte : bytes) value = value << 8 | std::uint8_t(byte);
  return value;
}

inline void append_big_endian(std::string& out, std::uint32_t value, std::size_t bytes) {
  for (std::size_t i = bytes; i-- > 0;) out.push_back(char(value >> (8 * i) & 0xff));
}

}  // namespace granitegap::frames
