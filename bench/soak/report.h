// Results of a soak: the violated rules and the figures of one run of a scenario.
//
// Plain values. Threads: any, but one at a time.
#pragma once
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace granitegap::soak {

// A rule that a run can violate. Rules are checked against the counts of callers, kernels and dependencies
// and not against what the program reports of itself. Exceptions are `member_held_dead` and `not_converged`,
// which are checked against the members' views of each other.
enum class Rule : std::uint8_t {
  fleet_limit_exceeded,  // more calls open at a dependency than the limit for the fleet
  request_unanswered,    // no final answer, though the process was running
  member_held_dead,      // a member was declared dead though it ran all the time
  not_converged,         // views still differ long after the last fault
  member_serves_nobody,  // a member serves no request after the run
};

// Returns the name of the rule in reports.
const char* rule_name(Rule rule);

// A violated rule and its circumstances.
struct Violation {
  Rule rule{};
  std::string detail;
};

// Counts and times of one run.
struct RunFigures {
  std::size_t max_open = 0, limit = 0;  // calls open at the dependency, and their limit
  std::size_t times_over = 0;           // number of times the count rose above the limit
  double over_ms = 0;                   // total time above the limit
  std::uint64_t answered = 0, served = 0;
  std::uint64_t complete = 0;                     // served without missing parts; "whole" in JSON
  std::uint64_t unanswered = 0, interrupted = 0;  // interrupted: no answer, as the member was being ended
};

// The outcome of one seed of one scenario.
struct SeedReport {
  std::string scenario;
  std::uint64_t seed = 0;
  std::string description;  // the choices of the seed in words; "play" in JSON
  std::vector<Violation> violations;
  RunFigures figures;
  std::string logs;  // folder with the processes' logs; empty if no rule was violated
};

// Return the JSON objects that --json prints.
nlohmann::ordered_json to_json(const RunFigures& figures);
nlohmann::ordered_json to_json(const SeedReport& report);
// Returns one line for the seed, one for each violation and one for the folder of logs if there is one.
std::string to_text(const SeedReport& report);

}  // namespace granitegap::soak
