// The script of a stand-in dependency: its latency and faults over time, and a benchmark scenario of two of
// them. It has neither socket nor clock.
//
// Errors: documents that break script.schema.cue are values with file and position.
#pragma once
#include <cstdint>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "granitegap/policy.h"
#include "typed_config/typed_config.h"

namespace granitegap::standin {

// How a response goes wrong; script.schema.cue explains each.
enum class FaultKind : std::uint8_t {
  none,
  error,
  no_data,
  busy,
  reset,
  hang,
  hang_body,
  trickle,
  too_long,
  garbage,
  close
};

// A fault that hits a share of the requests.
struct Fault {
  FaultKind kind{};
  double share = 1;
  Duration retry_after{};  // of `busy`; zero: none is sent
};

// The distribution of a latency around its median. The spread of a uniform one is its half-width as a share
// of the median, of a lognormal one its sigma.
enum class LatencyDistribution : std::uint8_t { fixed, uniform, exponential, lognormal };
// The distribution with this name in a document ("even": uniform), which the schema has checked.
LatencyDistribution distribution_of(const std::string& name);

// What a dependency does from some moment until its next phase.
struct Phase {
  Duration from{};
  int endpoint = -1;  // -1: all
  LatencyDistribution distribution = LatencyDistribution::lognormal;
  Duration latency{};  // median
  double spread = 0;
  Duration ramp{};  // the latency falls from `ramp_from` times itself to once during this time
  double ramp_from = 1;
  std::vector<Fault> faults;
  std::size_t body = 200;      // bytes
  std::uint32_t capacity = 0;  // requests served at once, others wait; 0: no limit
};

struct Script {
  std::vector<Phase> phases;
  Duration repeat{};  // the phases begin again after so long; zero: never
};

// What a dependency does with one request.
struct ResponsePlan {
  FaultKind fault = FaultKind::none;
  Duration after{};  // until the response begins
  std::size_t body = 0;
  Duration retry_after{};
  std::uint32_t capacity = 0;
};

// Draws what the script does with a request that arrives `elapsed` after its start.
ResponsePlan plan_response(const Script& script, int endpoint, Duration elapsed, std::mt19937_64& random);

// A benchmark of a tile server whose two dependencies fail; see bench/dependencies.cpp.
struct Scenario {
  std::string name;
  Duration length{}, fault_from{}, fault_to{};
  Duration budget{};                  // of gathering a request's parts
  Duration fresh_for{}, stale_for{};  // of the parts in the server's cache
  double rate = 150;                  // requests a second
  int cores = 4, endpoints = 2;
  std::uint64_t keys = 1000000;  // distinct request bodies
  Script elevation, names;
};

using Errors = std::vector<typed_config::Error>;
std::variant<Script, Errors> read_script(const typed_config::Document& document);
std::variant<Scenario, Errors> read_scenario(const typed_config::Document& document);

}  // namespace granitegap::standin
