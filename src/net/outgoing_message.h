// Messages that the process sends to a client proxy.
#pragma once
#include <cstdint>
#include <string>
#include <variant>

#include "edge/types.h"
#include "frames/frame_decoder.h"

namespace granitegap::net {

enum class ConnectionErrorCode : std::uint8_t {
  protocol_error,               // a frame that cannot be decoded
  stream_reused,                // two requests with the same stream identifier
  too_many_malformed_requests,  // consecutive malformed requests
  no_message,                   // no first message arrived in time
  unfinished_message,           // a message began but was not completed in time
};

// An error of the connection as a whole. The connection ends once the error is sent and all open requests are
// answered.
struct ConnectionError {
  ConnectionErrorCode code{};
  frames::ProtocolError protocol_error;  // details, if the code is protocol_error

  // Returns a one-line message. It is sent to the client.
  std::string reason() const;
};

// Requires the client to send no new requests on this connection.
struct GoAway {};

using OutgoingMessage = std::variant<edge::Response, edge::HealthResponse, ConnectionError, GoAway>;

}  // namespace granitegap::net
