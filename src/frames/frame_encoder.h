// Encodes typed messages as the binary frames that client proxies read. Each function appends one frame to
// `out`. No I/O.
#pragma once
#include <string>
#include <string_view>

#include "edge/types.h"

namespace granitegap::frames {

// Encodes the response to a request, on the request's stream.
void encode(const edge::Response& answer, std::string& out);

// Encodes the response to a health check, on the check's stream.
void encode(const edge::HealthResponse& answer, std::string& out);

// Encodes an error of the connection as a whole, on stream 0. `reason` is a human-readable message.
void encode_error(std::string_view reason, std::string& out);

// Encodes a GOAWAY, which requires the client to send no new requests on this connection.
void encode_goaway(std::string& out);

}  // namespace granitegap::frames
