// A simulated fleet for tests of membership: virtual clock, fixed seeds, the same verdict each run.
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

struct Fleet : SimulatedFleet {
  explicit Fleet(std::size_t n, std::uint64_t seed = 1, const Options& options = {})
      : SimulatedFleet(options, seed, n) {
    on_change = [this](Node who, const Change& c) {
      if (c.detected_locally && c.kind == ChangeKind::died) declared_dead_by[c.name].insert(who);
      check_incarnation(who, c);
    };
  }
  // In every test: the incarnation that one process knows of a member never falls until the member is
  // removed.
  void check_incarnation(Node who, const Change& c) {
    if (c.kind == ChangeKind::removed) {
      held.erase({who, member(who).self().boot_id, c.name});
      return;
    }
    const auto& roster = member(who).roster();
    const auto i = roster.find(c.name);
    if (i == kNoMember || !roster.at(i).known) return;
    auto& highest = held[{who, member(who).self().boot_id, c.name}];
    EXPECT_GE(roster.at(i).incarnation, highest) << name(who) << " of " << c.name;
    highest = roster.at(i).incarnation;
    ++checked_changes;
  }
  void form() {
    start_all(1s);
    ASSERT_TRUE(run_until([&] { return has_converged(); }, 30s));
    run_for(3s);
    reset_stats();
    declared_dead_by.clear();
  }
  std::set<std::string> names(Node from, Node to) {
    std::set<std::string> s;
    for (Node n = from; n < to; ++n) s.insert(name(n));
    return s;
  }
  standin::FaultInjector::RuleId cut(std::set<std::string> from, std::set<std::string> to, bool both = true) {
    Rule r;
    r.from = std::move(from);
    r.to = std::move(to);
    r.both = both;
    r.blocked = true;
    return fault_injector().add(r);
  }
  standin::FaultInjector::RuleId loss(double share) {
    Rule r;
    r.loss = share;
    return fault_injector().add(r);
  }
  std::map<std::string, std::set<Node>> declared_dead_by;
  std::map<std::tuple<Node, BootId, std::string>, Incarnation> held;
  std::size_t checked_changes = 0;
};

inline Datagram ping_of(Sender from, std::uint32_t nonce, std::string target) {
  Datagram d;
  d.from = std::move(from);
  d.body = Ping{nonce, std::move(target), {}};
  return d;
}

}  // namespace granitegap::membership
