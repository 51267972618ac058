// Brings a scenario's fault upon a fleet of processes, and ends it.
//
// Ownership: refers to the scenario and the fleet, which must outlive it. Threads: one.
#pragma once
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fleet/process_fleet.h"
#include "membership_scenario.h"

namespace granitegap::bench {

class MembershipFault {
 public:
  using Clock = std::chrono::steady_clock;
  // `began`, `end`: of the measurement. The seed decides which processes are hit.
  MembershipFault(const MembershipScenario& scenario, fleet::ProcessFleet& fleet, std::uint64_t seed,
                  Clock::time_point began, Clock::time_point end);
  // Begins or heals what is due; to be called again and again.
  void advance();

  bool begun() const { return begun_; }
  bool healed() const { return healed_; }
  Clock::time_point begun_at() const { return begun_at_; }
  Clock::time_point healed_at() const { return healed_at_; }
  // Whether the fault has begun and hits this process: killed, cut off, or of the first half.
  bool hits(const std::string& name) const { return begun_ && targets_.contains(name); }
  // Whether the fault, at this moment, is a reason for `observer` not to see `member` alive.
  bool explains(const std::string& observer, const std::string& member, Clock::time_point at) const;
  // The two ends of a partitioned pair: datagrams from the first to the second are blocked.
  const std::string& pair_sender() const { return order_[0]; }
  const std::string& pair_receiver() const { return order_[1]; }

 private:
  void begin();
  void advance_pauses(Clock::time_point now);

  const MembershipScenario& scenario_;
  fleet::ProcessFleet& fleet_;
  Clock::time_point began_, end_;
  std::mt19937_64 random_;
  std::vector<std::string> order_;  // all processes, shuffled
  fleet::ProcessFleet::Names targets_;
  fleet::ProcessFleet::RuleId rule_ = 0;
  bool begun_ = false, healed_ = false;
  Clock::time_point begun_at_{}, healed_at_{};
  std::map<std::string, Clock::time_point> paused_until_, resumed_at_;
  Clock::time_point next_pause_;
};

}  // namespace granitegap::bench
