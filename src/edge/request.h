// Requests, health checks and their responses, as a listener exchanges them with the edge. Protocol-neutral
// values: a listener decodes and encodes them, the edge decides on them.
//
// All types here are plain values without behavior. They are handed over by move through a mailbox, so that
// the sender keeps no reference; a Payload alone is shared, and immutable.
#pragma once
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "granitegap/policy.h"

namespace granitegap::edge {

// Wall-clock time, in microseconds since the Unix epoch.
using UnixTime = std::chrono::sys_time<Duration>;

// One reading of both clocks.
struct Now {
  TimePoint steady;  // the admission controller decides by this one
  UnixTime unix;     // requests are stamped with this one
};

// One accepted connection of a client proxy; never reused within a process.
enum class PeerId : std::uint64_t {};

// Where a response goes: a connection and the stream on it.
struct ReplyAddress {
  PeerId peer{};
  std::uint32_t stream = 0;
};

// One attempt at a request, as decoded from a client proxy.
struct Request {
  ReplyAddress reply_to;
  std::string rid;  // unique to this attempt; the kernel knows the run by it
  ClassId cls{};
  TenantId tenant{};
  CallerId caller{};
  UnixTime arrived_at;                // when it reached this machine, by the machine's clock
  std::optional<Duration> cost_hint;  // expected core time
  MemorySize memory{};                // reserved while the request is open
  std::string idempotency_key;        // shared by all attempts of one request; empty: none
  std::uint64_t read_key = 0;         // the object that a read is about; 0: not given
  std::string body;
};

// A request of which nothing but its reply address can be relied on. It is rejected.
struct MalformedRequest {
  ReplyAddress reply_to;
};

// The values are those of the wire.
enum class Outcome : std::uint8_t {
  served,    // with a payload
  rejected,  // never ran: safe to retry elsewhere
  failed,    // may have run
};

// What a served request gets: the kernel's result, or for a class that calls dependencies a message that
// holds the result and the parts.
struct Payload {
  std::string bytes;
  std::string present_parts;  // names of the parts, comma-separated
  std::string missing_parts;  // the same, of those that could not be had
};
using PayloadPtr = std::shared_ptr<const Payload>;

// The one response to a request.
struct Response {
  ReplyAddress to;
  Outcome outcome = Outcome::failed;
  PayloadPtr payload;                 // null unless served
  std::optional<double> credit_hint;  // the credit advertised to callers; none before the controller starts
  Duration retry_after{};             // for rejections; 0: no advice
  bool do_not_retry_elsewhere = false;
};

// A caller's health check. A deep one asks the kernel too, where the settings allow it.
struct HealthCheck {
  ReplyAddress reply_to;
  bool deep = false;
};

struct HealthResponse {
  ReplyAddress to;
  bool healthy = true;
  std::optional<double> credit_hint;
};

// The connection has ended: no response can be delivered to it any more.
struct PeerDisconnected {
  PeerId peer{};
};

// The stream number was used twice, so that a response to it could be taken for another request's. The
// request still open under it fails at once.
struct RequestCancelled {
  ReplyAddress reply_to;
};

}  // namespace granitegap::edge
