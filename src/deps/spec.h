// The declaration for ScatterGather: the dependencies of a tile server, and the parts that the requests of
// each class gather from them.
//
// Plain values. src/operators reads them from the operator file and validates them. Durations are in
// microseconds.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::deps {

// The address on which one instance of a dependency listens.
struct EndpointSpec {
  std::string host;  // a numeric IPv4 or IPv6 address: names are not resolved
  std::uint16_t port = 0;
  bool operator==(const EndpointSpec&) const = default;
};

// A service that provides data for requests, and the limits that apply to calls to it.
struct DependencySpec {
  std::string name;  // unique; also sent as the Host header
  std::vector<EndpointSpec> endpoints;

  // An attempt's timeout is `timeout_factor` times the 99th percentile of recent latencies, clamped to
  // [`min_timeout`, `max_timeout`].
  Duration min_timeout = std::chrono::milliseconds(10), max_timeout = std::chrono::seconds(1);
  double timeout_factor = 3;

  std::uint32_t max_attempts = 3;   // maximum attempts per call, including the first and hedges
  double retry_budget_ratio = 0.1;  // retries and hedges credited for each success
  double max_retry_budget = 10;     // maximum number of retries and hedges that can be saved up
  // Exponential backoff with full jitter: the bound starts at `base_retry_backoff` and doubles with each
  // attempt, up to `max_retry_backoff`.
  Duration base_retry_backoff = std::chrono::milliseconds(10),
           max_retry_backoff = std::chrono::milliseconds(250);
  // Quantile of recent latencies after which a hedged attempt starts; 0: no hedging.
  double hedge_quantile = 0.95;

  std::uint32_t min_in_flight = 2, max_in_flight = 64;  // bounds of the adaptive concurrency limit
  // Maximum attempts in flight of the whole fleet, divided evenly among its live members; 0: unbounded.
  std::uint32_t fleet_max_in_flight = 0;
  // For each key, one member of the fleet calls the dependency and serves the response to the others.
  bool fleet_cache_fill = false;
  std::uint32_t max_queued = 128;  // calls that may wait for the concurrency limit; more are shed

  double max_ejection_ratio = 0.5;  // share of the endpoints that may be ejected at once, rounded down
  // Duration of the first ejection; it doubles with each consecutive ejection, up to `max_ejection_time`.
  Duration base_ejection_time = std::chrono::milliseconds(500), max_ejection_time = std::chrono::seconds(30);
  // Time in which an endpoint regains its full share after an ejection or an outage.
  Duration slow_start_window = std::chrono::seconds(2);
  // Interval between probes while the circuit breaker is open; it grows from `probe_interval` to
  // `max_probe_interval`.
  Duration probe_interval = std::chrono::milliseconds(100), max_probe_interval = std::chrono::seconds(1);

  // Limits that the HTTP client applies to one call.
  std::size_t max_response_bytes = 65536, max_header_bytes = 8192;
  Duration io_timeout = std::chrono::seconds(1);  // maximum time without progress in connect, write or read
  Duration idle_connection_timeout = std::chrono::seconds(20);
  std::uint32_t max_idle_connections = 16;  // idle keep-alive connections per endpoint
};

// One part of a gather: a resource of a dependency.
struct PartSpec {
  std::string name;
  std::size_t dependency = 0;  // index into Spec::dependencies
  // A path template (path_template.h) with {obj}, {body}, {class} and, with `depends_on`, {needed}.
  std::string path;
  bool required = false;                  // the gather fails without this part
  std::optional<std::size_t> depends_on;  // index of an earlier part whose value fills {needed}
  Duration timeout{};        // upper bound within the gather's budget; zero: only the budget applies
  Duration max_fresh_age{};  // a cached response up to this age is served as fresh
  Duration max_stale_age{};  // a cached response up to this age is served if the call fails
  std::optional<std::string> fallback;  // value if there is no response and no cached one
};

// The parts that each request of one class gathers.
struct GatherSpec {
  ClassId cls{};
  Duration budget = std::chrono::milliseconds(400);  // maximum time from begin() to GatherEnded
  std::vector<PartSpec> parts;
};

// All declared dependencies and gathers.
struct Spec {
  std::vector<DependencySpec> dependencies;
  std::vector<GatherSpec> gathers;  // at most one per class
  std::size_t max_cache_bytes = std::size_t(4) << 20;
  // Time for which a path is not called again after a failure.
  Duration negative_cache_ttl = std::chrono::milliseconds(200);
};

}  // namespace granitegap::deps
