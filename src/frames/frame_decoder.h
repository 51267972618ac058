// Decodes the binary frames of client proxies into typed messages. No I/O.
//
// The platform defines the frame format. Violations by a peer are reported as typed errors: a
// MalformedRequest concerns a single request and the connection continues; a ProtocolError ends the
// connection.
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
inline constexpr std::size_t kMaxOpenRequests = 32;  // per connection

// Why a request was rejected while it was decoded.
enum class RequestErrorCode : std::uint8_t {
  frame_too_large,
  malformed_fields,  // the field list extends past the end of the frame
  invalid_field,     // a required field is missing or a value is not accepted
  body_too_large,
};

// An invalid request frame whose stream is known, so that only this request is rejected.
struct MalformedRequest {
  std::uint32_t stream = 0;
  RequestErrorCode code{};
  std::string field;  // for invalid_field: the name of the field

  // Returns a one-line message for the log.
  std::string reason() const;
};

// Why decoding of a connection stopped.
enum class ProtocolErrorCode : std::uint8_t {
  invalid_length,
  oversize_frame,  // larger than the limit for its type
  request_on_stream_zero,
  unknown_type,
  malformed_health_check,
};

// A violation after which no further bytes of the connection are decoded. The connection ends once its open
// requests are answered.
struct ProtocolError {
  ProtocolErrorCode code{};
  // For invalid_length: the length in bytes. For oversize_frame and unknown_type: the frame's type.
  std::size_t value = 0;

  // Returns a one-line message. It is sent to the client.
  std::string reason() const;
};

// A decoded frame, or the reason why it could not be decoded.
using Message = std::variant<edge::Request, edge::HealthCheck, MalformedRequest, ProtocolError>;

// Decodes the byte stream of one connection into messages. A request frame that exceeds the size limit is
// skipped as its bytes arrive, so that the buffer stays small whatever the peer sends.
class FrameDecoder {
 public:
  // `peer` becomes part of the reply address of each message. `names` must outlive the decoder.
  FrameDecoder(const edge::NameRegistry& names, edge::PeerId peer) : names_(&names), peer_(peer) {}

  // Appends received bytes, in pieces of any size.
  void add(std::string_view bytes);
  // Returns the next complete message. Absent until more bytes are added, and always after a ProtocolError.
  [[nodiscard]] std::optional<Message> next();

  // Returns the capacity of the buffer in bytes.
  std::size_t buffer_capacity() const { return buffer_.capacity(); }
  // Whether part of a frame has been received, but not its end.
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
  std::size_t position_ = 0;  // offset in the buffer of the first byte not yet decoded
  std::size_t skip_ = 0;      // bytes of an oversize frame that have not arrived yet
  bool failed_ = false;       // a ProtocolError was returned
};

}  // namespace granitegap::frames
