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
  std::uint32_t max_tries = 3;  // of one call, the first and hedges included
  double retry_share = 0.1;     // tries beyond the first, as a share of recent successes
  double retry_burst = 10;      // the most that share saves up
  Duration retry_pause = std::chrono::milliseconds(10), max_retry_pause = std::chrono::milliseconds(250);
  double hedge_after = 0.95;  // the quantile of recent answers after which a second try starts; 0: never

  std::uint32_t min_open = 2, max_open = 64;  // bounds of the concurrency limit
  // Of the whole fleet together, shared evenly over the members that are there; 0: no such bound.
  std::uint32_t fleet_open = 0;
  bool fleet_fill = false;          // one member of the fleet fills a key for all
  std::uint32_t max_waiting = 128;  // calls that wait for it

  double max_ejected = 0.5;  // of the endpoints, rounded down
  Duration eject_for = std::chrono::milliseconds(500), max_eject = std::chrono::seconds(30);
  Duration slow_start = std::chrono::seconds(2);
  Duration probe_every = std::chrono::milliseconds(100), max_probe = std::chrono::seconds(1);

  // For whoever carries the calls out. Bytes, and times without any byte.
  std::size_t max_answer = 65536, max_header = 8192;
  Duration max_quiet = std::chrono::seconds(1), max_idle_time = std::chrono::seconds(20);
  std::uint32_t max_idle_connections = 16;  // connections kept for the next call
};

struct PartSpec {
  std::string name;
  std::size_t dependency = 0;  // its place in Spec::dependencies
  // May hold {obj}, {body}, {class} and, with `needs`, {needed}: the request's and the needed part's own.
  std::string path;
  bool required = false;
  std::optional<std::size_t> needs;   // an earlier part of the same gather
  Duration within{};                  // of the gather's budget; zero: all of it
  Duration fresh_for{}, stale_for{};  // ages up to which a kept answer is as good as new, or better than none
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
  std::size_t cache_bytes = std::size_t(4) << 20;
  Duration remember_failures = std::chrono::milliseconds(200);
};

}  // namespace granitegap::deps
