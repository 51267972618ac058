// A simulated fleet for membership tests, with a virtual clock and fixed seeds: results are reproducible.
#pragma once
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <tuple>

#include "fleet/simulated_fleet.h"

namespace granitegap::membership {

using fleet::SimulatedFleet;
using standin::Rule;
using namespace std::chrono_literals;

// A simulated fleet that records declared deaths and checks incarnations on every change.
struct Fleet : SimulatedFleet {
  explicit Fleet(std::size_t n, std::uint64_t seed = 1, const Options& options = {})
      : SimulatedFleet(options, seed, n) {
    on_change = [this](Node who, const Change& change) {
      if (change.detected_locally && change.kind == ChangeKind::died)
        declared_dead_by[change.name].insert(who);
      check_incarnation(who, change);
    };
  }
  // Checks, in every test, that the incarnation that a process knows of a member does not fall until the
  // member is removed.
  void check_incarnation(Node who, const Change& change) {
    if (change.kind == ChangeKind::removed) {
      highest_incarnations.erase({who, member(who).self().boot_id, change.name});
      return;
    }
    const auto& roster = member(who).roster();
    const auto i = roster.find(change.name);
    if (i == kNoMember || !roster.at(i).known) return;
    auto& highest = highest_incarnations[{who, member(who).self().boot_id, change.name}];
    EXPECT_GE(roster.at(i).incarnation, highest) << name(who) << " of " << change.name;
    highest = roster.at(i).incarnation;
    ++checked_changes;
  }
  // Starts all members, waits until their views have converged and resets the statistics.
  void form() {
    start_all(1s);
    ASSERT_TRUE(run_until([&] { return has_converged(); }, 30s));
    run_for(3s);
    reset_stats();
    declared_dead_by.clear();
  }
  // Returns the names of the nodes from `from` up to, but not including, `to`.
  std::set<std::string> names(Node from, Node to) {
    std::set<std::string> result;
    for (Node n = from; n < to; ++n) result.insert(name(n));
    return result;
  }
  // Blocks datagrams between two sets of members; an empty set stands for all members.
  standin::FaultInjector::RuleId cut(std::set<std::string> from, std::set<std::string> to, bool both = true) {
    Rule rule;
    rule.from = std::move(from);
    rule.to = std::move(to);
    rule.both = both;
    rule.blocked = true;
    return fault_injector().add(rule);
  }
  // Makes all paths lose this share of datagrams.
  standin::FaultInjector::RuleId loss(double share) {
    Rule rule;
    rule.loss = share;
    return fault_injector().add(rule);
  }
  std::map<std::string, std::set<Node>> declared_dead_by;  // observers by member declared dead
  std::map<std::tuple<Node, BootId, std::string>, Incarnation>
      highest_incarnations;         // by observer, its boot ID and member
  std::size_t checked_changes = 0;  // number of incarnations compared by check_incarnation()
};

// Returns a ping from any sender, for injection into the fleet.
inline Datagram ping_of(Sender from, std::uint32_t nonce, std::string target) {
  Datagram datagram;
  datagram.from = std::move(from);
  datagram.body = Ping{nonce, std::move(target), {}};
  return datagram;
}

}  // namespace granitegap::membership
