// Requests, health checks and their responses, as exchanged between a listener and the edge. The types are
// protocol-neutral: a listener decodes and encodes them, the edge decides on them.
//
// All types here are plain values without behavior. They are moved through a mailbox, so that the sender
// keeps no reference. Only Payload is shared, and it is immutable.
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

// One reading of the steady clock and the wall clock.
struct Now {
  TimePoint steady;  // time base of the admission controller
  UnixTime unix;     // time base of the arrival stamps of requests
};

// Identifies one accepted connection of a client proxy. Ids are not reused within a process.
enum class PeerId : std::uint64_t {};

// The destination of a response: a connection and a stream on it.
struct ReplyAddress {
  PeerId peer{};
  std::uint32_t stream = 0;
};

// One attempt at a request, as decoded from a client proxy.
struct Request {
  ReplyAddress reply_to;
  std::string rid;  // unique to this attempt; identifies the run to the kernel
  ClassId cls{};
  TenantId tenant{};
  CallerId caller{};
  UnixTime arrived_at;                // arrival at this machine, by the machine's clock
  std::optional<Duration> cost_hint;  // expected core time
  MemorySize memory{};                // reserved while the request is open
  std::string idempotency_key;        // shared by all attempts of one request; empty: none
  std::uint64_t read_key = 0;         // identifies the object that a read requests; 0: not given
  std::string body;
};

// A request of which only the reply address could be decoded. It is rejected.
struct MalformedRequest {
  ReplyAddress reply_to;
};

// The outcome of a request. The numeric values are those on the wire.
enum class Outcome : std::uint8_t {
  served,    // with a payload
  rejected,  // never ran: safe to retry elsewhere
  failed,    // may have run
};

// The body of a served response: the kernel's result, or for a class that calls dependencies a message with
// the result and the parts.
struct Payload {
  std::string bytes;
  std::string present_parts;  // names of the parts that are present, comma-separated
  std::string missing_parts;  // names of the parts that are absent, comma-separated
};
using PayloadPtr = std::shared_ptr<const Payload>;

// The response to a request; every request gets exactly one.
struct Response {
  ReplyAddress to;
  Outcome outcome = Outcome::failed;
  PayloadPtr payload;                 // null unless served
  std::optional<double> credit_hint;  // credit advertised to callers; none before the controller starts
  Duration retry_after{};             // for rejections; 0: no Retry-After
  bool do_not_retry_elsewhere = false;
};

// A caller's health check. A deep check includes the kernel, if the settings enable deep checks.
struct HealthCheck {
  ReplyAddress reply_to;
  bool deep = false;
};

struct HealthResponse {
  ReplyAddress to;
  bool healthy = true;
  std::optional<double> credit_hint;
};

// The connection is closed. Responses to it can no longer be delivered.
struct PeerDisconnected {
  PeerId peer{};
};

// The client reused the number of an open stream, so that a response on it could be matched to the wrong
// request. The request that is still open on the stream fails at once.
struct RequestCancelled {
  ReplyAddress reply_to;
};

}  // namespace granitegap::edge
