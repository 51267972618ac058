// Typed messages to the binary frames that client proxies read. Each function appends one frame to `out`.
//
// Pure functions without I/O.
#pragma once
#include <string>
#include <string_view>

#include "edge/types.h"

namespace granitegap::frames {

// The response to a request, on the request's stream.
void encode(const edge::Response& answer, std::string& out);

// The response to a health check, on the check's stream.
void encode(const edge::HealthResponse& answer, std::string& out);

// An error of the connection as a whole, on stream 0. `reason`: for people.
void encode_error(std::string_view reason, std::string& out);

// Tells the client to send no new requests on this connection.
void encode_goaway(std::string& out);

}  // namespace granitegap::frames
