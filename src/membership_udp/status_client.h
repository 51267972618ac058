// `granitegap members` and `granitegap recovery`: ask a process for its view of the fleet, and for how it
// comes back.
#pragma once
#include <chrono>
#include <optional>
#include <string>

#include "membership_udp/codec.h"

namespace granitegap::membership_udp {

// All lines in one Reply; absent where no whole answer came in time.
std::optional<StatusReply> query_status(const membership::Address& address, std::chrono::milliseconds within,
                                        bool recovery_report = false);
// One object, or a table for a reader.
std::string to_json(const StatusReply& reply);
std::string to_text(const StatusReply& reply);
// The same of how it comes back.
std::string recovery_json(const StatusReply& reply);
std::string recovery_text(const StatusReply& reply);

}  // namespace granitegap::membership_udp
