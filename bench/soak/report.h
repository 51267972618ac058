// What a soak found: the faults of one play, by the rule that was broken, and its figures.
//
// Plain values. Threads: any, one at a time.
#pragma once
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace granitegap::soak {

// A broken rule. Each is judged by what callers, kernels and dependencies counted, not by what the program
// says of itself; `member_held_dead` and `not_converged` are the members' views of each other.
enum class Rule : std::uint8_t {
  fleet_limit_exceeded,  // more calls open at a dependency than the fleet may have
  request_unanswered,    // no final answer, though the process lived
  member_held_dead,      // a member that lived all the time was declared dead
  not_converged,         // views differ long after the last disturbance
  member_serves_nobody,  // a member that answers no request after the play
};

// The rule as it is printed.
const char* text_of(Rule rule);

struct Violation {
  Rule rule{};
  std::string detail;
};

// What was counted in one play.
struct PlayFigures {
  std::size_t max_open = 0, limit = 0;  // calls at the dependency
  std::size_t times_over = 0;           // crossings of the limit
  double over_ms = 0;                   // time over it, in all
  std::uint64_t answered = 0, served = 0;
  std::uint64_t whole = 0;                        // served with all parts
  std::uint64_t unanswered = 0, interrupted = 0;  // interrupted: the member was ended meanwhile
};

// The outcome of one seed of one scenario.
struct SeedReport {
  std::string scenario;
  std::uint64_t seed = 0;
  std::string play;  // what the seed drew, in words
  std::vector<Violation> violations;
  PlayFigures figures;
  std::string logs;  // folder of the processes' logs; empty where nothing was violated
};

nlohmann::ordered_json to_json(const PlayFigures& figures);
nlohmann::ordered_json to_json(const SeedReport& report);
// One line, or one and a line for each violation.
std::string to_text(const SeedReport& report);

}  // namespace granitegap::soak
