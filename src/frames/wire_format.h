// Constants and primitives of the binary framing that the decoder and the encoder share. Internal to this
// module.
//
// A frame is a length of four bytes, a type of one, a stream of four, and the payload; numbers are
// big-endian. The length counts all that follows it.
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
inline constexpr std::size_t kHeaderBytes = kTypeBytes + kStreamBytes;  // what follows the length

// Field names and values carry their lengths in so many bytes.
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
