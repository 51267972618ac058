// What ScatterGather and its caller exchange: the actions to carry out, the completions of calls that come
// back, the results of a gather's parts, and the counters.
//
// Plain values. Durations are microseconds (granitegap/policy.h). Errors are values: CallOutcome for one
// call, PartStatus for one part.
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

// Identifies one attempt of one call. Unique while it is in flight; a completion of an earlier holder of the
// same slot is recognized and ignored.
enum class CallId : std::uint64_t {};

// How one call to a dependency ended.
enum class CallOutcome : std::uint8_t {
  ok,               // a complete response with a body
  not_found,        // 204 or 4xx: the dependency is healthy and has no data for this path
  error,            // 5xx, or a response that is not HTTP
  overloaded,       // 429 or 503, with a Retry-After where the dependency sent one
  unreachable,      // no connection could be made
  connection_lost,  // the connection ended in the middle of the exchange
  limit_exceeded,   // over a limit: header bytes, body bytes, or time without progress
};

// Reported to ScatterGather::on_call_completed() when a started call has ended.
struct CallCompletion {
  CallId id{};
  CallOutcome outcome{};
  Duration took{};                      // from start to end, as the caller measured it
  std::optional<Duration> retry_after;  // only with `overloaded`
  SharedBody body;                      // only with `ok`; null stands for an empty body
};

// Send a GET of `path` to the endpoint, or to another member of the fleet.
struct StartCall {
  CallId id{};
  std::uint32_t dependency = 0, endpoint = 0;  // numbers as ScatterGather::address() takes them
  const std::string* path = nullptr;           // valid until the next call of any ScatterGather member
  const KeyOwner* owner = nullptr;             // when set, the call goes to that member, not to `endpoint`
};

// Close the call's connection; no completion is expected any more, and one that comes is ignored.
struct CancelCall {
  CallId id{};
};

// A gather is complete; parts() has its results until release().
struct GatherEnded {
  RequestId id{};
  bool required_parts_present = false;  // every part declared as required has a value
};

// A dependency's circuit breaker has opened or closed, for the log.
struct CircuitBreakerChanged {
  std::uint32_t dependency = 0;
  bool is_open = false;
  Duration was_open_for{};  // only when it has closed
};

// This process's share of a dependency's fleet-wide limit has changed, for the log.
struct FleetShareChanged {
  std::uint32_t dependency = 0;
  std::uint32_t share = 0, limit = 0;  // attempts in flight: of this process, of the whole fleet
  membership::LimitDivisor divisor;
};

using Action = std::variant<StartCall, CancelCall, GatherEnded, CircuitBreakerChanged, FleetShareChanged>;

// How a part of a gather was resolved.
enum class PartStatus : std::uint8_t {
  pending,   // not resolved yet
  fresh,     // from the dependency for this request, or cached within PartSpec::max_fresh_age
  stale,     // cached within PartSpec::max_stale_age
  fallback,  // the declared default
  absent,    // no value
};

// One part of a gather, in the order of its declaration.
struct PartResult {
  std::string_view name;  // points into the Spec in force when the gather began
  PartStatus status = PartStatus::pending;
  Duration age{};   // since the dependency answered; zero for fallback and absent
  SharedBody body;  // null for absent
};

// Totals since construction.
struct Counters {
  std::uint64_t parts_needing_call = 0;  // parts that no cached response could serve
  std::uint64_t calls = 0;               // attempts sent to endpoints, retries, hedges and probes included
  std::uint64_t retries = 0, hedges = 0, probes = 0;
  std::uint64_t coalesced = 0;         // parts that joined a call already in flight
  std::uint64_t shed = 0;              // calls not queued: the queue was full or the wait hopeless
  std::uint64_t late_completions = 0;  // completions of calls that had been cancelled
  std::uint64_t fresh = 0, stale = 0, fallback = 0, absent = 0;  // parts by status
  std::uint64_t circuits_opened = 0;
  std::uint64_t owner_requests = 0,
                owner_hits = 0;     // cache fills asked of other members, and answered by them
  std::uint64_t cache_fills = 0;    // cache fills begun for other members
  std::uint32_t max_in_flight = 0;  // most attempts in flight to one dependency at once
};

}  // namespace granitegap::deps
