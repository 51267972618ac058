// Network faults for datagrams between named endpoints: loss, delay, reordering, duplication, corruption and
// partitions, by rules and a seed. It has neither socket nor clock, so that the UDP relay between real
// processes and the simulated fleet share it.
//
// Threads: one at a time. Errors: rules that break the schema or each other are values with file and
// position.
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

// What happens to datagrams between two sets of endpoints during a time; see network.schema.cue. Chances are
// shares of datagrams.
struct Rule {
  std::set<std::string> from, to;  // empty: all
  bool both = false;               // in the other direction too
  bool blocked = false;            // nothing passes
  Duration begins{};               // from the start of the run
  Duration ends{};                 // zero: never
  double loss = 0;                 // independent of each other
  double burst_loss = 0;           // in the bad state of a Gilbert model
  Duration good_for = std::chrono::seconds(10),
           bad_for = std::chrono::seconds(1);  // mean times in its states
  Duration delay{};                            // median
  LatencyDistribution distribution = LatencyDistribution::lognormal;
  double spread = 0;  // of the delay, see network.schema.cue
  double reorder = 0;
  Duration reorder_delay = std::chrono::milliseconds(50);  // added to a reordered datagram
  double duplicate = 0;
  double corrupt = 0;
  std::size_t max_bytes_per_s = 0;  // of each pair; 0: no limit
};

// Reads the rules of a scenario document.
std::variant<std::vector<Rule>, Errors> read_network(const typed_config::Document& document);

// What becomes of one datagram.
struct Delivery {
  std::vector<Duration> delays;  // it arrives once for each; empty: lost
  bool corrupt = false;
};

// Decides what becomes of each datagram under the rules in force.
class FaultInjector {
 public:
  using RuleId = std::uint32_t;
  explicit FaultInjector(std::uint64_t seed) : random_(seed) {}
  RuleId add(Rule rule);
  void remove(RuleId id) { rules_.erase(id); }
  void clear() { rules_.clear(); }
  // Decides for one datagram of so many bytes. `now` counts from the start of the run and never goes
  // backward.
  Delivery decide(const std::string& from, const std::string& to, std::size_t bytes, Duration now);
  // Datagrams and bytes that came in, and what became of them.
  struct Counters {
    std::uint64_t datagrams = 0, bytes = 0, lost = 0, blocked = 0, corrupted = 0, duplicated = 0,
                  reordered = 0;
  };
  const Counters& counters() const { return counters_; }

 private:
  // What a rule remembers of one pair of endpoints.
  struct PairState {
    bool bad = false;            // the state of the Gilbert model
    Duration next_transition{};  // zero: not drawn yet
    double tokens = 0;           // bytes that may pass now
    Duration refilled_at{};
  };
  // What all rules together do to one datagram.
  struct Effects {
    Duration delay{};
    bool lost = false, blocked = false, duplicated = false, reordered = false, corrupted = false;
  };
  double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  bool applies(const Rule& rule, const std::string& from, const std::string& to, Duration now) const;
  PairState& pair(RuleId id, const std::string& from, const std::string& to);
  void apply(RuleId id, const Rule& rule, const std::string& from, const std::string& to, std::size_t bytes,
             Duration now, Effects& effects);
  bool lost_in_burst(const Rule& rule, PairState& pair, Duration now);
  static bool over_rate(const Rule& rule, PairState& pair, std::size_t bytes, Duration now);
  Duration draw_delay(const Rule& rule);

  std::mt19937_64 random_;
  std::map<RuleId, Rule> rules_;
  std::map<RuleId, std::unordered_map<std::string, PairState>> pairs_;
  RuleId next_id_ = 1;
  Counters counters_;
};

}  // namespace granitegap::standin
