// The types that ScatterGather and its caller exchange: actions to carry out, completions of calls, results
// of the parts of a gather, and counters.
//
// Plain values. Durations are in microseconds (granitegap/policy.h). Errors are values: CallOutcome for a
// call, PartStatus for a part.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "deps/cache_fill.h"
#include "deps/response_cache.h"
#include "granitegap/policy.h"
#include "membership/fleet_limit.h"

namespace granitegap::deps {

// Identifies one attempt of one call. Unique while the attempt is in flight. A completion for a previous call
// in the same slot is detected and ignored.
enum class CallId : std::uint64_t {};

// How one call to a dependency ended.
enum class CallOutcome : std::uint8_t {
  ok,               // a complete response with a body
  not_found,        // 204 or 4xx: the dependency is healthy and has no data for this path
  error,            // 5xx, or a response that is not valid HTTP
  overloaded,       // 429 or 503, with Retry-After if the dependency sent it
  unreachable,      // the connection could not be established
  connection_lost,  // the connection closed before the response was complete
  limit_exceeded,   // exceeded the limit of header bytes, body bytes, or time without progress
};

// Reported to ScatterGather::on_call_completed() when a started call has ended.
struct CallCompletion {
  CallId id{};
  CallOutcome outcome{};
  Duration took{};                      // duration of the call, measured by the caller
  std::optional<Duration> retry_after;  // set only with `overloaded`
  SharedBody body;                      // set only with `ok`; null means an empty body
};

// Requests the caller to send a GET of `path` to the endpoint, or to another member of the fleet.
struct StartCall {
  CallId id{};
  std::uint32_t dependency = 0, endpoint = 0;  // arguments for ScatterGather::address()
  const std::string* path = nullptr;           // valid until any ScatterGather member function is called
  const KeyOwner* owner = nullptr;             // if set, the call goes to this member instead of `endpoint`
};

// Requests the caller to close the connection of the call. No completion is expected; a late one is ignored.
struct CancelCall {
  CallId id{};
};

// Reports the end of a gather. Its results are available from parts() until release().
struct GatherEnded {
  RequestId id{};
  bool required_parts_present = false;  // whether every part declared as required has a value
};

// Reports, for the log, that the circuit breaker of a dependency has opened or closed.
struct CircuitBreakerChanged {
  std::uint32_t dependency = 0;
  bool is_open = false;
  Duration was_open_for{};  // set only when the circuit breaker has closed
};

// Reports, for the log, that the share of this process in the fleet-wide limit of a dependency has changed.
struct FleetShareChanged {
  std::uint32_t dependency = 0;
  std::uint32_t share = 0, limit = 0;  // maximum attempts in flight of this process and of the whole fleet
  membership::LimitDivisor divisor;
};

using Action = std::variant<StartCall, CancelCall, GatherEnded, CircuitBreakerChanged, FleetShareChanged>;

// How a part of a gather was resolved.
enum class PartStatus : std::uint8_t {
  pending,   // not yet resolved
  fresh,     // from the dependency for this request, or cached within PartSpec::max_fresh_age
  stale,     // cached within PartSpec::max_stale_age
  fallback,  // the declared default
  absent,    // no value
};

// The result of one part of a gather.
struct PartResult {
  std::string_view name;  // points into the Spec that applied when the gather began
  PartStatus status = PartStatus::pending;
  Duration age{};   // since the dependency answered; zero for fallback and absent
  SharedBody body;  // null for absent
};

// Totals since construction.
struct Counters {
  std::uint64_t parts_needing_call = 0;  // parts that may call and have no fresh cached response
  std::uint64_t calls = 0;               // attempts sent to endpoints, retries, hedges and probes included
  std::uint64_t retries = 0, hedges = 0, probes = 0;
  std::uint64_t coalesced = 0;  // parts that joined a call already in flight
  std::uint64_t shed = 0;       // calls not queued: the queue was full or the call would have ended too late
  std::uint64_t late_completions = 0;  // completions of calls that had been cancelled
  std::uint64_t fresh = 0, stale = 0, fallback = 0, absent = 0;  // parts by status
  std::uint64_t circuits_opened = 0;
  std::uint64_t owner_requests = 0;  // cache fills requested from other members
  std::uint64_t owner_hits = 0;      // cache fills that other members answered with a response
  std::uint64_t cache_fills = 0;     // cache fills begun for other members
  std::uint32_t max_in_flight = 0;   // maximum number of concurrent attempts to one dependency
};

}  // namespace granitegap::deps
