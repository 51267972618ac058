// What an operator declares of the services below a tile server, and which parts of them a class gathers.
// Plain values; who reads them from a file is no matter here.
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::deps {

struct EndpointSpec {
  std::string host;  // a numeric address: nothing is looked up
  std::uint16_t port = 0;
  bool operator==(const EndpointSpec&) const = default;
};

struct DependencySpec {
  std::string name;  // also what stands in `Host`
  std::vector<EndpointSpec> endpoints;

  // A try's time: `timeout_factor` times the 99th centile of recent answers, between these two.
  Duration min_timeout = std::chrono::milliseconds(10), max_timeout = std::chrono::seconds(1);
  double timeout_factor = 3;
  std::uint32_t max_attempts = 3;   // of one call, the first and hedges included
  double retry_budget_ratio = 0.1;  // tries beyond the first, as a share of recent successes
  double max_retry_budget = 10;     // the most that share saves up
  Duration base_retry_backoff = std::chrono::milliseconds(10),
           max_retry_backoff = std::chrono::milliseconds(250);
  double hedge_quantile = 0.95;  // the quantile of recent answers after which a second try starts; 0: never

  std::uint32_t min_in_flight = 2, max_in_flight = 64;  // bounds of the concurrency limit
  // Of the whole fleet together, shared evenly over the members that are there; 0: no such bound.
  std::uint32_t fleet_max_in_flight = 0;
  bool fleet_cache_fill = false;   // one member of the fleet fills a key for all
  std::uint32_t max_queued = 128;  // calls that wait for it

  double max_ejection_ratio = 0.5;  // of the endpoints, rounded down
  Duration base_ejection_time = std::chrono::milliseconds(500), max_ejection_time = std::chrono::seconds(30);
  Duration slow_start_window = std::chrono::seconds(2);
  Duration probe_interval = std::chrono::milliseconds(100), max_probe_interval = std::chrono::seconds(1);

  // For whoever carries the calls out. Bytes, and times without any byte.
  std::size_t max_response_bytes = 65536, max_header_bytes = 8192;
  Duration io_timeout = std::chrono::seconds(1), idle_connection_timeout = std::chrono::seconds(20);
  std::uint32_t max_idle_connections = 16;  // connections kept for the next call
};

struct PartSpec {
  std::string name;
  std::size_t dependency = 0;  // its place in Spec::dependencies
  // May hold {obj}, {body}, {class} and, with `needs`, {needed}: the request's and the needed part's own.
  std::string path;
  bool required = false;
  std::optional<std::size_t> depends_on;  // an earlier part of the same gather
  Duration timeout{};                     // of the gather's budget; zero: all of it
  Duration max_fresh_age{},
      max_stale_age{};  // ages up to which a kept answer is as good as new, or better than none
  std::optional<std::string> fallback;
};

struct GatherSpec {
  ClassId cls{};
  Duration budget = std::chrono::milliseconds(400);
  std::vector<PartSpec> parts;
};

struct Spec {
  std::vector<DependencySpec> dependencies;
  std::vector<GatherSpec> gathers;  // at most one a class
  std::size_t max_cache_bytes = std::size_t(4) << 20;
  Duration negative_cache_ttl = std::chrono::milliseconds(200);
};

}  // namespace granitegap::deps
