// What the process sends to a client proxy.
#pragma once
#include <cstdint>
#include <string>
#include <variant>

#include "edge/types.h"
#include "frames/frame_decoder.h"

namespace granitegap::net {

enum class ConnectionErrorCode : std::uint8_t {
  protocol_error,               // a frame that can't be read
  stream_reused,                // two requests under one stream identifier
  too_many_malformed_requests,  // in a row
  no_message,                   // none came in time
  unfinished_message,           // one began, and its end did not come in time
};

// An error that belongs to no request. The connection ends once it is sent and all open requests are
// answered.
struct ConnectionError {
  ConnectionErrorCode code{};
  frames::ProtocolError protocol_error;  // for that code

  // For people, in one line.
  std::string reason() const;
};

// Tells the client to send no new requests on this connection.
struct GoAway {};

using OutgoingMessage = std::variant<edge::Response, edge::HealthResponse, ConnectionError, GoAway>;

}  // namespace granitegap::net
