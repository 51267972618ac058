// Client of `granitegap members` and `granitegap recovery`: queries a process for its view of the fleet or
// its recovery report, and formats the reply. Calls block, and each uses a socket of its own.
#pragma once
#include <chrono>
#include <optional>
#include <string>

#include "membership_udp/codec.h"

namespace granitegap::membership_udp {

// Queries the process at `address`, and returns its complete view, or only its recovery report. Retries lost
// datagrams. Returns std::nullopt if no complete reply arrived within `timeout`.
std::optional<StatusReply> query_status(const membership::Address& address, std::chrono::milliseconds timeout,
                                        bool recovery_report = false);
// Returns the view as one JSON object, or as a table.
std::string to_json(const StatusReply& reply);
std::string to_text(const StatusReply& reply);
// Returns the recovery report as one JSON object, or as text.
std::string recovery_json(const StatusReply& reply);
std::string recovery_text(const StatusReply& reply);

}  // namespace granitegap::membership_udp
