// Derives a membership benchmark's figures from the views that the processes of a fleet report, polled again
// and again while a fault lasts. Threads: one.
#pragma once
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership_fault.h"

namespace granitegap::bench {

// What each process reported in one poll; those that did not answer are missing.
using MembershipViews = std::map<std::string, membership_udp::StatusReply>;

// Times are milliseconds since the fault's begin or, for `rejoin_ms`, its end; -1: never.
struct MembershipFigures {
  std::uint64_t false_dead = 0;  // a process was held dead, or suspect, without a reason
  std::uint64_t flaps = 0;
  std::vector<double>
      detection_ms;             // of each observer, until it held any process that was hit other than alive
  double agree_ms = -1;         // until all observers held all processes that were hit dead
  double rejoin_ms = -1;        // until all processes held each other alive
  double majority_ms = -1;      // until no half claimed the quorum
  double knows_itself_ms = -1;  // until a process whose output is blocked reported that
  double edge_ms = -1;          // until both ends of a partitioned pair reported that
};

class MembershipFigureCollector {
 public:
  using Clock = std::chrono::steady_clock;
  // Refers to both, which must outlive it.
  MembershipFigureCollector(const MembershipScenario& scenario, const MembershipFault& fault)
      : scenario_(scenario), fault_(fault) {}
  // Takes in one poll. `running`: processes that should have answered.
  void add(const MembershipViews& views, std::size_t running, Clock::time_point at);
  MembershipFigures figures() const;

 private:
  struct Pair {
    std::string observer, member;
    auto operator<=>(const Pair&) const = default;
  };
  void count_transitions(const std::string& observer, const membership_udp::StatusReply& view,
                         Clock::time_point at);
  void note_detection(const std::string& observer, const membership_udp::StatusReply& view,
                      Clock::time_point at);
  void note_times(const MembershipViews& views, std::size_t running, Clock::time_point at);
  bool all_hits_dead(const MembershipViews& views) const;
  bool none_has_quorum(const MembershipViews& views) const;
  bool hit_process_knows(const MembershipViews& views) const;
  bool pair_reported(const MembershipViews& views) const;

  const MembershipScenario& scenario_;
  const MembershipFault& fault_;
  MembershipFigures figures_;
  std::map<Pair, membership::Status> last_status_;
  std::map<std::string, double> detection_ms_;  // by observer
};

}  // namespace granitegap::bench
