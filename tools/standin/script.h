// A stand-in dependency's script: what it does with a request that comes at some moment. No socket, no clock.
#pragma once
#include <cstdint>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "granitegap/policy.h"
#include "typed_config/typed_config.h"

namespace granitegap::standin {

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
struct Fault {
  FaultKind kind{};
  double share = 1;
  Duration retry_after{};
};
enum class Shape : std::uint8_t { fixed, even, exponential, lognormal };
struct Phase {
  Duration from{};
  int endpoint = -1;  // -1: all
  Shape shape = Shape::lognormal;
  Duration latency{}, ramp{};
  double spread = 0, ramp_from = 1;
  std::vector<Fault> faults;
  std::size_t body = 200;
  std::uint32_t capacity = 0;
};
struct Script {
  std::vector<Phase> phases;
  Duration repeat{};
};
struct Plan {
  FaultKind fault = FaultKind::none;
  Duration after{};  // until the answer begins
  std::size_t body = 0;
  Duration retry_after{};
  std::uint32_t capacity = 0;
};
Plan plan(const Script& script, int endpoint, Duration elapsed, std::mt19937_64& random);

struct Scenario {
  std::string name;
  Duration length{}, fault_from{}, fault_to{}, budget{}, fresh_for{}, stale_for{};
  double rate = 150;
  int cores = 4, endpoints = 2;
  std::uint64_t keys = 1000000;
  Script elevation, names;
};

using Errors = std::vector<typed_config::Error>;
std::variant<Script, Errors> read_script(const typed_config::Document& document);
std::variant<Scenario, Errors> read_scenario(const typed_config::Document& document);

}  // namespace granitegap::standin
