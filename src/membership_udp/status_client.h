// The client of `granitegap members` and `granitegap recovery`: queries a process for its view of the fleet
// or its recovery, and prints the reply. Blocking; owns its socket for the time of the call.
#pragma once
#include <chrono>
#include <optional>
#include <string>

#include "membership_udp/codec.h"

namespace granitegap::membership_udp {

// All members in one reply; absent where no complete reply came within `timeout`.
std::optional<StatusReply> query_status(const membership::Address& address, std::chrono::milliseconds timeout,
                                        bool recovery_report = false);
// The view as one JSON object, and as a table.
std::string to_json(const StatusReply& reply);
std::string to_text(const StatusReply& reply);
// The recovery report as one JSON object, and as text.
std::string recovery_json(const StatusReply& reply);
std::string recovery_text(const StatusReply& reply);

}  // namespace granitegap::membership_udp
