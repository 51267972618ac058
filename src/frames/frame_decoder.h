// The binary frames of client proxies to typed messages. No I/O.
//
// The form of the frames is the platform's; what a peer sends that breaks it comes out as a typed error: one
// of a request, after which the connection goes on, or one of the connection, which ends it.
#pragma once
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "edge/types.h"

namespace granitegap::frames {

inline constexpr std::size_t kMaxBodyBytes = 2048;
inline constexpr std::size_t kMaxOpenRequests = 32;  // on one connection

enum class RequestErrorCode : std::uint8_t {
  frame_too_large,
  malformed_fields,  // the field list runs past the frame's end
  invalid_field,     // missing, or with a value that is not accepted
  body_too_large,
};

// A frame broken in a way that leaves its stream known: only that request is rejected.
struct MalformedRequest {
  std::uint32_t stream = 0;
  RequestErrorCode code{};
  std::string field;  // the field's name, for invalid_field

  // For people, in one line.
  std::string reason() const;
};

enum class ProtocolErrorCode : std::uint8_t {
  invalid_length,
  oversize_frame,  // larger than any frame of its type may be
  request_on_stream_zero,
  unknown_type,
  malformed_health_check,
};

// A violation after which nothing on the connection can be trusted: it ends once its open requests are
// answered.
struct ProtocolError {
  ProtocolErrorCode code{};
  std::size_t value =
      0;  // invalid_length: the length in bytes; oversize_frame, unknown_type: the frame's type

  // For people, in one line.
  std::string reason() const;
};

using Message = std::variant<edge::Request, edge::HealthCheck, MalformedRequest, ProtocolError>;

// Takes bytes as they come and gives whole messages. A frame too large to be a request is skipped as its
// bytes arrive, so that a connection's buffer stays small whatever is sent.
class FrameDecoder {
 public:
  // `names` must outlive the decoder. `peer`: stamped on the messages.
  FrameDecoder(const edge::NameRegistry& names, edge::PeerId peer) : names_(&names), peer_(peer) {}

  void add(std::string_view bytes);
  // The next complete message; absent until more bytes are added, and for good after a ProtocolError.
  [[nodiscard]] std::optional<Message> next();

  // In bytes, allocated or not.
  std::size_t buffer_capacity() const { return buffer_.capacity(); }
  // Whether part of a frame has come that is not complete.
  bool in_frame() const { return skip_ > 0 || position_ < buffer_.size(); }

 private:
  void release_buffer();
  Message fail(ProtocolErrorCode code, std::size_t value);
  Message skip_oversize_frame(std::uint8_t type, std::uint32_t stream, std::size_t frame_bytes);
  Message decode(std::uint8_t type, std::uint32_t stream, std::string_view payload) const;
  Message decode_health_check(std::uint32_t stream, std::string_view payload) const;

  const edge::NameRegistry* names_;
  edge::PeerId peer_;
  std::string buffer_;
  std::size_t position_ = 0;  // in the buffer: what lies before it is decoded
  std::size_t skip_ = 0;      // bytes of an oversize frame that are still to come
  bool failed_ = false;       // a protocol error has been reported
};

}  // namespace granitegap::frames
