// The declaration that ScatterGather works from: the dependencies of a tile server, and which parts of them
// the requests of a class gather.
//
// Plain values; src/operators reads them from the operator file and checks them. Durations are microseconds.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::deps {

// Where one instance of a dependency listens.
struct EndpointSpec {
  std::string host;  // a numeric IPv4 or IPv6 address: no name is resolved
  std::uint16_t port = 0;
  bool operator==(const EndpointSpec&) const = default;
};

// A service that requests need data from, and the limits under which it is called.
struct DependencySpec {
  std::string name;  // unique; also sent as the Host header
  std::vector<EndpointSpec> endpoints;

  // An attempt's timeout is `timeout_factor` times the 99th percentile of recent latencies, between the two.
  Duration min_timeout = std::chrono::milliseconds(10), max_timeout = std::chrono::seconds(1);
  double timeout_factor = 3;

  std::uint32_t max_attempts = 3;   // per call, the first attempt and hedges included
  double retry_budget_ratio = 0.1;  // retries and hedges earned by each success
  double max_retry_budget = 10;     // most retries and hedges that can be saved up
  // Exponential backoff with full jitter: the bound doubles from `base` with each attempt, up to `max`.
  Duration base_retry_backoff = std::chrono::milliseconds(10),
           max_retry_backoff = std::chrono::milliseconds(250);
  double hedge_quantile = 0.95;  // of recent latencies, after which a hedged attempt starts; 0: no hedging

  std::uint32_t min_in_flight = 2, max_in_flight = 64;  // bounds of the adaptive concurrency limit
  // Most attempts in flight from the whole fleet, divided evenly among its live members; 0: unbounded.
  std::uint32_t fleet_max_in_flight = 0;
  bool fleet_cache_fill =
      false;  // one member of the fleet calls the dependency for a key and serves the others
  std::uint32_t max_queued = 128;  // calls waiting for the concurrency limit; more are shed

  double max_ejection_ratio = 0.5;  // share of the endpoints that may be ejected at once, rounded down
  // The first ejection's duration; it doubles with each ejection in a row, up to the bound.
  Duration base_ejection_time = std::chrono::milliseconds(500), max_ejection_time = std::chrono::seconds(30);
  Duration slow_start_window =
      std::chrono::seconds(2);  // in which a returning endpoint regains its full share
  // Between probes while the circuit breaker is open; the interval grows from the first to the second.
  Duration probe_interval = std::chrono::milliseconds(100), max_probe_interval = std::chrono::seconds(1);

  // Limits that the HTTP client applies to one call.
  std::size_t max_response_bytes = 65536, max_header_bytes = 8192;
  Duration io_timeout = std::chrono::seconds(1);  // longest time without progress in connect, write or read
  Duration idle_connection_timeout = std::chrono::seconds(20);
  std::uint32_t max_idle_connections = 16;  // keep-alive connections per endpoint
};

// One part of a gather: a resource of a dependency.
struct PartSpec {
  std::string name;
  std::size_t dependency = 0;  // index into Spec::dependencies
  // A path template (path_template.h) with {obj}, {body}, {class} and, with `depends_on`, {needed}.
  std::string path;
  bool required = false;                  // without it the gather fails
  std::optional<std::size_t> depends_on;  // index of an earlier part whose value fills {needed}
  Duration timeout{};                     // upper bound within the gather's budget; zero: the budget alone
  Duration max_fresh_age{};               // a cached response up to this age is served as fresh
  Duration max_stale_age{};               // one up to this age is served when the dependency has no answer
  std::optional<std::string> fallback;    // the value when there is none at all
};

// The parts that each request of one class gathers.
struct GatherSpec {
  ClassId cls{};
  Duration budget = std::chrono::milliseconds(400);  // from begin() to GatherEnded at the latest
  std::vector<PartSpec> parts;
};

// Everything declared.
struct Spec {
  std::vector<DependencySpec> dependencies;
  std::vector<GatherSpec> gathers;  // at most one per class
  std::size_t max_cache_bytes = std::size_t(4) << 20;
  Duration negative_cache_ttl =
      std::chrono::milliseconds(200);  // a failed path is not called again for so long
};

}  // namespace granitegap::deps
