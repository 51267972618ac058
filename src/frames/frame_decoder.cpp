#include "frames/frame_decoder.h"

#include <algorithm>

#include "frames/field_reader.h"
#include "frames/request_parser.h"
#include "frames/wire_format.h"

namespace granitegap::frames {
namespace {

constexpr std::size_t kMaxFrameBytes = 262144;
// Larger frames are not buffered. A valid request with all its fields is well below this size.
constexpr std::size_t kMaxBufferedFrameBytes = 8192;
constexpr std::size_t kCompactFromBytes = 4096;

bool is_type(std::uint8_t type, FrameType expected) { return type == std::uint8_t(expected); }

}  // namespace

std::string MalformedRequest::reason() const {
  switch (code) {
    case RequestErrorCode::frame_too_large:
      return "request frame exceeds " + std::to_string(kMaxBufferedFrameBytes) + " bytes";
    case RequestErrorCode::malformed_fields:
      return "field list extends past the end of the frame";
    case RequestErrorCode::invalid_field:
      return "missing or invalid field " + field;
    case RequestErrorCode::body_too_large:
      return "body exceeds " + std::to_string(kMaxBodyBytes) + " bytes";
  }
  return {};
}

std::string ProtocolError::reason() const {
  switch (code) {
    case ProtocolErrorCode::invalid_length:
      return "frame of " + std::to_string(value) + " bytes";
    case ProtocolErrorCode::oversize_frame:
      return "oversize frame of type " + std::to_string(value);
    case ProtocolErrorCode::request_on_stream_zero:
      return "request on stream 0";
    case ProtocolErrorCode::unknown_type:
      return "frame of unknown type " + std::to_string(value);
    case ProtocolErrorCode::malformed_health_check:
      return "health check with broken fields";
  }
  return {};
}

void FrameDecoder::add(std::string_view bytes) {
  const auto skipped = std::min(skip_, bytes.size());
  skip_ -= skipped;
  bytes.remove_prefix(skipped);
  if (position_ >= kCompactFromBytes) {
    buffer_.erase(0, position_);
    position_ = 0;
  }
  buffer_ += bytes;
}

// Frees the buffer if all of it is decoded. Otherwise a connection that sends one request and then stays idle
// for hours would keep the memory of that request.
void FrameDecoder::release_buffer() {
  if (position_ < buffer_.size()) return;
  std::string().swap(buffer_);
  position_ = 0;
}

Message FrameDecoder::fail(ProtocolErrorCode code, std::size_t value) {
  failed_ = true;
  return ProtocolError{code, value};
}

std::optional<Message> FrameDecoder::next() {
  if (failed_) return std::nullopt;
  const auto pending = std::string_view(buffer_).substr(position_);
  if (pending.empty()) release_buffer();
  if (pending.size() < kLengthBytes) return std::nullopt;
  const std::size_t length = read_big_endian(pending.substr(0, kLengthBytes));
  if (length < kHeaderBytes || length > kMaxFrameBytes)
    return fail(ProtocolErrorCode::invalid_length, length);
  if (pending.size() < kLengthBytes + kHeaderBytes) return std::nullopt;
  const auto type = std::uint8_t(pending[kLengthBytes]);
  const auto stream = read_big_endian(pending.substr(kLengthBytes + kTypeBytes, kStreamBytes));
  const auto frame_bytes = kLengthBytes + length;
  if (frame_bytes > kMaxBufferedFrameBytes) return skip_oversize_frame(type, stream, frame_bytes);
  if (pending.size() < frame_bytes) return std::nullopt;
  position_ += frame_bytes;
  const auto payload = pending.substr(kLengthBytes + kHeaderBytes, length - kHeaderBytes);
  auto message = decode(type, stream, payload);
  failed_ = std::holds_alternative<ProtocolError>(message);
  return message;
}

Message FrameDecoder::skip_oversize_frame(std::uint8_t type, std::uint32_t stream, std::size_t frame_bytes) {
  const auto arrived = std::min(frame_bytes, buffer_.size() - position_);
  position_ += arrived;
  skip_ = frame_bytes - arrived;
  const bool is_request = is_type(type, FrameType::request) && stream != 0;
  if (is_request) return MalformedRequest{stream, RequestErrorCode::frame_too_large, ""};
  return fail(ProtocolErrorCode::oversize_frame, type);
}

Message FrameDecoder::decode(std::uint8_t type, std::uint32_t stream, std::string_view payload) const {
  if (is_type(type, FrameType::request)) {
    if (stream == 0) return ProtocolError{ProtocolErrorCode::request_on_stream_zero};
    return parse_request({peer_, stream}, payload, *names_);
  }
  if (is_type(type, FrameType::health_check)) return decode_health_check(stream, payload);
  return ProtocolError{ProtocolErrorCode::unknown_type, type};
}

Message FrameDecoder::decode_health_check(std::uint32_t stream, std::string_view payload) const {
  edge::HealthCheck check{{peer_, stream}, false};
  const bool complete = read_fields(payload, [&](std::string_view name, std::string_view value) {
    if (name == "full") check.deep = value == "1";
  });
  if (!complete) return ProtocolError{ProtocolErrorCode::malformed_health_check};
  return check;
}

}  // namespace granitegap::frames
