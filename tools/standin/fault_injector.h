// What becomes of each datagram between two named ends, by rules and a seed. No socket, no clock: the same
// for the UDP relay between real processes and for the simulated fleet.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "granitegap/policy.h"
#include "standin/script.h"
#include "typed_config/typed_config.h"

namespace granitegap::standin {

struct Rule {
  std::set<std::string> from, to;  // empty: all
  bool both = false, cut = false;
  Duration begins{}, ends{};  // zero: for ever
  double loss = 0, burst_loss = 0, spread = 0, reorder = 0, duplicate = 0, corrupt = 0;
  Duration good_for = std::chrono::seconds(10), bad_for = std::chrono::seconds(1), delay{};
  Duration hold = std::chrono::milliseconds(50);
  Shape shape = Shape::lognormal;
  std::size_t rate = 0;
};

std::variant<std::vector<Rule>, Errors> read_network(const typed_config::Document& document);

struct Delivery {
  std::vector<Duration> arrives;  // after so long, once each; empty: lost
  bool corrupt = false;
};

class FaultInjector {
 public:
  explicit FaultInjector(std::uint64_t seed) : random_(seed) {}
  using RuleId = std::uint32_t;
  RuleId add(Rule rule);
  void remove(RuleId id) { rules_.erase(id); }
  void clear() { rules_.clear(); }
  // `now` from the start of the play; never backward.
  Delivery fate(const std::string& from, const std::string& to, std::size_t bytes, Duration now);
  struct Seen {
    std::uint64_t datagrams = 0, bytes = 0, lost = 0, cut = 0, corrupted = 0, duplicated = 0, reordered = 0;
  };
  const Seen& seen() const { return seen_; }

 private:
  struct Pair {  // of one rule
    bool bad = false;
    Duration changes{};
    double room = 0;
    Duration filled{};
  };
  double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  bool holds(const Rule& rule, const std::string& from, const std::string& to, Duration now) const;
  Pair& pair(RuleId id, const std::string& from, const std::string& to);
  std::mt19937_64 random_;
  std::map<RuleId, Rule> rules_;
  std::map<RuleId, std::unordered_map<std::string, Pair>> pairs_;
  RuleId next_ = 1;
  Seen seen_;
};

}  // namespace granitegap::standin
