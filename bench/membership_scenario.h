// The scenarios of the membership benchmark: which fault hits a fleet, when, and on what network. Documents
// follow membership.schema.cue.
//
// Errors: what breaks the schema is a list of values with file and position.
#pragma once
#include <string>
#include <variant>
#include <vector>

#include "standin/fault_injector.h"

namespace granitegap::bench {

// The fault of a scenario, the field `deed`.
enum class FaultType { none, kill, pause, partition_halves, partition_pair, block_output };

struct MembershipScenario {
  std::string name;
  Duration length{};
  FaultType fault = FaultType::none;
  Duration fault_at{};
  Duration fault_duration{};         // zero: until the end
  std::size_t targets = 1;           // processes that the fault hits
  std::vector<standin::Rule> rules;  // on every pair, all the time
};

std::variant<MembershipScenario, std::vector<typed_config::Error>> read_membership_scenario(
    const std::string& path);

}  // namespace granitegap::bench
