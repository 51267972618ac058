// The client proxies' binary frames: bytes to typed messages and back. No sockets.
#pragma once
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "edge/types.h"

namespace granitegap::frames {

inline constexpr std::size_t kMaxBodyBytes = 2048;
inline constexpr std::size_t kMaxOpenRequests = 32;  // requests on one connection

// A frame broken in a way that leaves its stream known: that request alone is turned away.
struct MalformedRequest {
  std::uint32_t stream = 0;
  std::string why;
};
// Nothing after it can be trusted: the connection ends once its open requests are answered.
struct ProtocolError {
  std::string why;
};
using Message = std::variant<edge::Request, edge::HealthCheck, MalformedRequest, ProtocolError>;

// The streams a connection has carried: each is new there, open or long answered. Those taken a little out of
// order are told apart; guards against a set that grows with the connection's life.
class StreamIdTracker {
 public:
  bool take(std::uint32_t stream);  // false: it was used before, or lies too far behind

 private:
  static constexpr std::size_t kMaxApart = 64;
  std::uint32_t all_up_to_ = 0;
  std::set<std::uint32_t> later_;
};

// Takes bytes as they come and gives whole messages. A frame too large to be a request is skipped as its
// bytes arrive, so that a connection's buffer stays small whatever is sent.
class FrameDecoder {
 public:
  FrameDecoder(const edge::NameRegistry& catalog, edge::PeerId peer) : catalog_(&catalog), peer_(peer) {}
  void add(std::string_view bytes);
  std::optional<Message> next();
  // Bytes of an unfinished frame stand here when the connection ends.
  std::size_t buffer_capacity() const { return buffer_.capacity(); }
  bool in_frame() const { return skip_ > 0 || at_ < buffer_.size(); }

 private:
  void release();
  Message decode(std::uint8_t type, std::uint32_t stream, std::string_view payload) const;
  Message decode_request(std::uint32_t stream, std::string_view payload) const;
  const edge::NameRegistry* catalog_;
  edge::PeerId peer_;
  std::string buffer_;
  std::size_t at_ = 0, skip_ = 0;
  bool broken_ = false;
};

void encode(const edge::Answer& answer, std::string& to);
void encode(const edge::HealthAnswer& answer, std::string& to);
void encode_error(std::string_view why, std::string& to);  // on stream 0
void encode_goaway(std::string& to);

}  // namespace granitegap::frames
