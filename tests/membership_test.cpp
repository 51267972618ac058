// Membership's hard cases in a simulated fleet: virtual clock, fixed seeds, the same verdict each run.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <tuple>

#include "fleet/simulated_fleet.h"

namespace granitegap::membership {
namespace {

using fleet::SimulatedFleet;
using standin::Rule;
using namespace std::chrono_literals;

struct Fleet : SimulatedFleet {
  explicit Fleet(std::size_t n, std::uint64_t seed = 1, Options options = {})
      : SimulatedFleet(options, seed, n) {
    on_change = [this](Node who, const Change& c) {
      if (c.detected_locally && c.kind == ChangeKind::died) dead_by[c.name].insert(who);
      never_back(who, c);
    };
  }
  // In every test here: what one life of a member holds of another never goes back, until it has forgotten
  // it.
  void never_back(Node who, const Change& c) {
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
    ++changes_held;
  }
  void form() {
    start_all(1s);
    ASSERT_TRUE(run_until([&] { return has_converged(); }, 30s));
    run_for(3s);
    reset_stats();
    dead_by.clear();
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
  std::map<std::string, std::set<Node>> dead_by;
  std::map<std::tuple<Node, BootId, std::string>, Incarnation> held;
  std::size_t changes_held = 0;
};

Datagram ping_of(Sender from, std::uint32_t nonce, std::string target) {
  Datagram d;
  d.from = std::move(from);
  d.body = Ping{nonce, std::move(target), {}};
  return d;
}

TEST(Membership, AFleetAgreesAndStaysCalm) {
  Fleet f(24);
  f.form();
  EXPECT_GE(f.changes_held, 24u * 23u);  // the fixture's own check has seen every join
  f.run_for(60s);
  EXPECT_TRUE(f.has_converged());
  EXPECT_EQ(f.stats().false_dead, 0u);
  EXPECT_EQ(f.stats().flaps, 0u);
  EXPECT_LE(f.stats().largest, kMaxDatagram);
  for (std::size_t n = 0; n < f.size(); ++n) {
    EXPECT_TRUE(f.member(n).has_quorum());
    EXPECT_FALSE(f.member(n).uncertain());
    EXPECT_EQ(f.member(n).fleet_size(), 24u);
  }
  const double a_second = double(f.stats().datagrams) * 2 / 60 / 24;
  EXPECT_LT(a_second, 20);
}

TEST(Membership, AKilledOneIsFoundByAll) {
  Fleet f(48);
  f.form();
  f.kill(7);
  EXPECT_TRUE(f.run_until([&] { return f.all_report(7, Status::dead); }, 4s));
  EXPECT_EQ(f.stats().false_dead, 0u);
}

TEST(Membership, AThirdKilledAtOnceIsFoundAndNobodyElse) {
  Fleet f(48);
  f.form();
  for (std::size_t n = 0; n < 16; ++n) f.kill(n);
  EXPECT_TRUE(f.run_until(
      [&] {
        for (std::size_t n = 0; n < 16; ++n)
          if (!f.all_report(n, Status::dead)) return false;
        return true;
      },
      8s));
  EXPECT_EQ(f.stats().false_dead, 0u);
}

// Without the stretched times and refutations that `plain` lacks, the same loss kills: else it proves
// nothing.
TEST(Membership, LossKillsNobody) {
  for (const bool plain : {false, true}) {
    Options options;
    options.baseline_mode = plain;
    Fleet f(32, 3, options);
    f.form();
    f.loss(0.3);
    f.run_for(60s);
    if (plain) {
      EXPECT_GT(f.stats().false_dead, 0u);
    } else {
      EXPECT_EQ(f.stats().false_dead, 0u);
    }
  }
}

TEST(Membership, BurstsOfTotalLossKillNobody) {
  Fleet f(24, 5);
  f.form();
  Rule r;
  r.burst_loss = 1;
  r.good_for = 10s;
  r.bad_for = 2s;
  f.fault_injector().add(r);
  f.run_for(60s);
  EXPECT_EQ(f.stats().false_dead, 0u);
}

TEST(Membership, APauseShorterThanSuspicionIsForgiven) {
  Fleet f(16);
  f.form();
  f.pause(3);
  f.run_for(1200ms);
  f.resume(3);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 10s));
  EXPECT_TRUE(f.dead_by.empty());
}

TEST(Membership, ALongPauseIsADeathAndWhoWakesBlamesNobody) {
  Fleet f(16);
  f.form();
  f.pause(3);
  EXPECT_TRUE(f.run_until([&] { return f.all_report(3, Status::dead); }, 10s));
  f.run_for(20s);
  f.dead_by.clear();
  f.reset_stats();
  f.resume(3);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 5s));
  EXPECT_EQ(f.stats().false_dead, 0u);
  EXPECT_EQ(f.stats().flaps, 0u);
  EXPECT_GE(f.member(3).counters().pauses, 1u);
}

TEST(Membership, HalfPausedTogetherAndWokenKeepsEverybody) {
  Fleet f(16);
  f.form();
  for (std::size_t n = 0; n < 8; ++n) f.pause(n);
  f.run_for(15s);
  for (std::size_t n = 8; n < 16; ++n) EXPECT_FALSE(f.member(n).has_quorum());
  for (std::size_t n = 0; n < 8; ++n) f.resume(n);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 5s));
  EXPECT_TRUE(f.dead_by.empty());
}

TEST(Membership, AStarvedOneBlamesNobody) {
  Fleet f(16);
  f.form();
  f.starve(2, 4500ms);
  f.run_for(60s);
  for (const auto& [name, by] : f.dead_by) EXPECT_FALSE(by.contains(2)) << name;
  for (std::size_t n = 0; n < 16; ++n)
    if (n != 2) {
      EXPECT_FALSE(f.dead_by.contains(f.name(n)));
    }
}

TEST(Membership, AOneSidedCutIsAnEdgeAndNobodyDies) {
  Fleet f(16);
  f.form();
  const auto rule = f.cut({"n1"}, {"n2"}, false);
  const auto edge = [&](std::size_t at, std::size_t other) {
    const auto i = f.member(at).roster().find(f.name(other));
    return f.member(at).roster().at(i).link_broken;
  };
  EXPECT_TRUE(f.run_until([&] { return edge(1, 2) && edge(2, 1); }, 10s));
  const auto& at2 = f.member(2).roster();
  EXPECT_TRUE(at2.at(at2.find("n1")).link_inbound);  // what n1 sends does not arrive
  const auto& at1 = f.member(1).roster();
  EXPECT_FALSE(at1.at(at1.find("n2")).link_inbound);
  f.run_for(30s);
  EXPECT_TRUE(f.has_converged());
  EXPECT_TRUE(f.dead_by.empty());
  f.fault_injector().remove(rule);
  EXPECT_TRUE(f.run_until([&] { return !edge(1, 2) && !edge(2, 1); }, 30s));
}

TEST(Membership, WhoIsHeardByNobodyKnowsIt) {
  Fleet f(16);
  f.form();
  const auto rule = f.cut({"n5"}, {}, false);
  EXPECT_TRUE(f.run_until(
      [&] { return f.member(5).local_connectivity() == LocalConnectivity::outbound_broken; }, 5s));
  EXPECT_TRUE(f.run_until([&] { return f.all_report(5, Status::dead); }, 5s));
  f.run_for(20s);
  EXPECT_EQ(f.dead_by.size(), 1u);
  EXPECT_FALSE(f.member(5).has_quorum());
  f.fault_injector().remove(rule);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 5s));
  EXPECT_EQ(f.member(5).local_connectivity(), LocalConnectivity::ok);
}

TEST(Membership, WhoHearsNobodyKnowsItAndBlamesNobody) {
  Fleet f(16);
  f.form();
  const auto rule = f.cut({}, {"n5"}, false);
  EXPECT_TRUE(
      f.run_until([&] { return f.member(5).local_connectivity() == LocalConnectivity::inbound_broken; }, 5s));
  f.run_for(20s);
  for (const auto& [name, by] : f.dead_by) EXPECT_EQ(name, "n5");
  f.fault_injector().remove(rule);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 5s));
}

TEST(Membership, HalvesKnowTheyAreNoMajorityAndFindTogether) {
  Fleet f(48);
  f.form();
  const auto rule = f.cut(f.names(0, 24), f.names(24, 48));
  EXPECT_TRUE(f.run_until(
      [&] {
        for (std::size_t n = 0; n < 48; ++n)
          if (f.member(n).has_quorum()) return false;
        return true;
      },
      5s));
  f.run_for(15s);
  EXPECT_TRUE(f.dead_by.empty());
  f.fault_injector().remove(rule);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 5s));
}

TEST(Membership, TheSmallerPartKeepsItsLastCertainView) {
  Fleet f(15);
  f.form();
  const auto rule = f.cut(f.names(0, 5), f.names(5, 15));
  f.run_for(20s);
  for (std::size_t n = 0; n < 5; ++n) {
    EXPECT_FALSE(f.member(n).has_quorum());
    EXPECT_TRUE(f.member(n).uncertain());
    const auto& r = f.member(n).roster();
    for (Index i = 0; i < r.slot_count(); ++i) EXPECT_EQ(r.at(i).certain_status, Status::alive);
  }
  for (std::size_t n = 5; n < 15; ++n) {
    EXPECT_TRUE(f.member(n).has_quorum());
    EXPECT_EQ(f.status_of(n, 0), Status::dead);
  }
  f.fault_injector().remove(rule);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 10s));
}

TEST(Membership, ThirdsRemoveNobodyAndFindTogether) {
  Fleet f(18);
  f.form();
  f.cut(f.names(0, 6), f.names(6, 18));
  f.cut(f.names(6, 12), f.names(12, 18));
  f.run_for(30s);
  EXPECT_TRUE(f.dead_by.empty());
  f.fault_injector().clear();
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 5s));
}

TEST(Membership, WhoRestartsElsewhereDuringAPartitionIsFoundAgain) {
  Fleet f(15);
  f.form();
  f.cut(f.names(0, 5), f.names(5, 15));
  f.run_for(8s);
  for (std::size_t n = 10; n < 13; ++n) {
    f.kill(n);
    f.change_port(n, 9500);
    f.start(n);
  }
  f.run_for(10s);
  f.fault_injector().clear();
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 15s));
  const auto& r = f.member(0).roster();
  EXPECT_EQ(r.at(r.find("n11")).address.port, 9500);
}

TEST(Membership, AnImmediateRestartWithItsClockBackSupersedesTheOldLife) {
  Fleet f(12);
  f.form();
  f.run_for(5s);
  const auto before = f.member(4).incarnation();
  f.kill(4);
  f.start(4, 5);  // far below
  EXPECT_TRUE(f.run_until([&] { return f.has_converged() && f.member(4).incarnation() > before; }, 5s));
  f.run_for(10s);
  EXPECT_TRUE(f.dead_by.empty());
  EXPECT_FALSE(f.member(4).conflicting_address());
  for (std::size_t n = 0; n < 12; ++n)
    if (n != 4) {
      const auto& r = f.member(n).roster();
      EXPECT_EQ(r.at(r.find("n4")).boot_id, f.identity(4).boot_id);
    }
}

TEST(Membership, TwoUnderOneNameBothSaySoAndTheViewStands) {
  Fleet f(10);
  f.form();
  const auto duplicate = f.clone(4);
  f.start(duplicate);
  EXPECT_TRUE(f.run_until(
      [&] { return f.member(4).conflicting_address() && f.member(duplicate).conflicting_address(); }, 10s));
  EXPECT_EQ(*f.member(4).conflicting_address(), f.identity(duplicate).address);
  EXPECT_EQ(*f.member(duplicate).conflicting_address(), f.identity(4).address);
  f.run_for(5s);
  std::size_t changes = 0;
  f.on_change = [&](auto who, const Change& c) {
    changes += who != 4 && who != duplicate && c.name == "n4" && c.kind != ChangeKind::metadata_updated;
  };
  f.run_for(20s);
  EXPECT_EQ(changes, 0u);
  f.kill(duplicate);
  EXPECT_TRUE(f.run_until([&] { return !f.member(4).conflicting_address(); }, 20s));
  EXPECT_TRUE(f.run_until(
      [&] {
        for (std::size_t n = 0; n < 10; ++n)
          if (n != 4 && f.status_of(n, 4) != Status::alive) return false;
        return true;
      },
      20s));
}

// One life alone with what a neighbour tells it of a twin that has superseded it.
struct Superseded {
  TimePoint now{1h};
  Member member{{}, Identity{"n1", "z", address(1), {}, BootId(1), 10}, 1, now};
  Superseded() {
    member.add_known_members({{"n0", address(0), BootId(9), 1, Status::alive, 0, 0, std::nullopt}}, now);
  }
  static Address address(std::uint16_t n) {
    Address a;
    a.port = std::uint16_t(4000 + n);
    return a;
  }
  void metadata(Incarnation duplicate, Status status) {
    MemberMetadata t;
    t.version = 1;
    t.superseded_boot_id = BootId(1);
    Datagram d;
    d.from.name = "n0";
    d.from.address = address(0);
    d.from.boot_id = BootId(9);
    d.from.incarnation = d.from.sent_ms = 1;
    d.body = GossipOnly{};
    d.updates.push_back({"n1", address(2), BootId(2), duplicate, status, 0, 0, t});
    member.receive(d, 500, now);
  }
  void pass(Duration time) {
    for (const auto end = now + time; now < end;) {
      now = std::min(std::max(member.next_wake(), now), end);
      member.wake(now);
    }
  }
};

// Guards against a tie that nobody answers: the dead twin's number is this life's own.
TEST(Membership, WhoOutlivedItsTwinGoesBeyondItEvenFromTheSameIncarnation) {
  Superseded s;
  s.metadata(10, Status::dead);
  EXPECT_EQ(s.member.incarnation(), 11u);
  s.metadata(10, Status::dead);  // late
  EXPECT_EQ(s.member.incarnation(), 11u);
}

TEST(Membership, WhoTakesItsNameBackGoesBeyondAllThatItsTwinWas) {
  Superseded s;
  s.metadata(10, Status::alive);
  ASSERT_TRUE(s.member.conflicting_address());
  s.metadata(17, Status::alive);
  EXPECT_EQ(s.member.incarnation(), 10u);
  s.pass(10s);
  EXPECT_FALSE(s.member.conflicting_address());
  EXPECT_GT(s.member.incarnation(), 17u);
}

TEST(Membership, AnAddressTakenOverDoesNotKeepTheOldOwnerAlive) {
  Fleet f(10);
  f.form();
  f.kill(3);
  // n3's address answers again, under another name.
  const auto counted = f.member(9).counters().misaddressed;
  f.inject(9, ping_of({"n0", f.identity(0).address, f.identity(0).boot_id, f.member(0).incarnation(), 5000},
                      1, "n3"));
  f.run_for(1s);
  EXPECT_EQ(f.member(9).counters().misaddressed, counted + 1);
  EXPECT_TRUE(f.run_until([&] { return f.all_report(3, Status::dead); }, 6s));
}

TEST(Membership, AReplayOfAnEarlierLifeChangesNothing) {
  Fleet f(10);
  f.form();
  const auto old =
      ping_of({"n3", f.identity(3).address, f.identity(3).boot_id, f.member(3).incarnation(), 4000}, 7, "n0");
  f.kill(3);
  f.start(3);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 5s));
  const auto boot_id = f.identity(3).boot_id;
  const auto stale = f.member(0).counters().stale_boot_id;
  for (int k = 0; k < 20; ++k) f.inject(0, old);
  f.run_for(5s);
  EXPECT_EQ(f.member(0).counters().stale_boot_id, stale + 20);
  const auto& r = f.member(0).roster();
  EXPECT_EQ(r.at(r.find("n3")).boot_id, boot_id);
  EXPECT_TRUE(f.has_converged());
}

TEST(Membership, AReplayAfterTheSubjectWasForgottenRaisesNobody) {
  Options options;
  options.quorum_shrink_delay = 5s;
  options.tombstone_ttl = 10s;
  Fleet f(8, 1, options);
  f.form();
  const Record late{
      "n3",   f.identity(3).address, f.identity(3).boot_id, f.member(3).incarnation(), Status::alive, 0,
      30'000, std::nullopt};
  const Sender speaker{"n3", f.identity(3).address, f.identity(3).boot_id, f.member(3).incarnation(), 4000};
  f.kill(3);
  EXPECT_TRUE(f.run_until([&] { return f.member(0).roster().find("n3") == kNoMember; }, 60s));
  f.inject(0, {speaker, Ping{7, "n0", {}}, {}, 0});
  f.inject(0, {{"n1", f.identity(1).address, f.identity(1).boot_id, f.member(1).incarnation(),
                std::uint32_t(f.elapsed().count() / 1000)},
               GossipOnly{},
               {late},
               0});
  f.run_for(3s);
  EXPECT_EQ(f.member(0).roster().find("n3"), kNoMember);
  EXPECT_GE(f.member(0).counters().late, 1u);
}

TEST(Membership, ADeadOneThatComesBackAfterItWasForgottenIsNew) {
  Options options;
  options.quorum_shrink_delay = 5s;
  options.tombstone_ttl = 10s;
  Fleet f(8, 1, options);
  f.form();
  f.kill(3);
  EXPECT_TRUE(f.run_until([&] { return f.member(0).roster().find("n3") == kNoMember; }, 60s));
  EXPECT_EQ(f.member(0).fleet_size(), 7u);
  f.start(3);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 10s));
  EXPECT_TRUE(f.run_until([&] { return f.member(0).fleet_size() == 8; }, 5s));
}

// All parts of a member go by the fresh times, not only those that look at them first.
TEST(Membership, FreshTimesAreTakenOverWhileItRuns) {
  Fleet f(8);
  f.form();
  Options fresh;
  fresh.quorum_shrink_delay = 2s;
  fresh.tombstone_ttl = 4s;
  fresh.max_message_age = 2s;
  for (std::size_t n = 0; n < 8; ++n) {
    fresh.seeds = {f.identity(0).address};
    f.member(n).update_options(fresh);
  }
  f.kill(7);
  EXPECT_TRUE(f.run_until([&] { return f.member(3).roster().find("n7") == kNoMember; }, 20s));
  EXPECT_EQ(f.member(3).fleet_size(), 7u);
}

TEST(Membership, AFloodOfJoinsIsTakenInBounds) {
  Fleet f(64);
  for (std::size_t n = 0; n < 4; ++n) f.start(n);
  f.run_for(3s);
  for (std::size_t n = 4; n < 64; ++n) f.start(n);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 20s));
  for (std::size_t n = 0; n < 64; ++n) EXPECT_LT(f.member(n).pending_items(), 700u);
}

TEST(Membership, AllSeedsDeadNobodyElseMindsAndTheyComeBack) {
  Fleet f(12);
  f.form();
  for (std::size_t n = 0; n < 3; ++n) f.kill(n);
  f.run_for(20s);
  for (std::size_t n = 3; n < 12; ++n) EXPECT_EQ(f.member(n).roster().alive(), 8u);
  for (std::size_t n = 0; n < 3; ++n) f.start(n);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 10s));
}

TEST(Membership, AnOrderlyLeaveIsNoDeath) {
  Fleet f(12);
  f.form();
  f.leave(5);
  EXPECT_TRUE(f.run_until([&] { return f.member(5).has_left(); }, 2s));
  f.kill(5);
  EXPECT_TRUE(f.run_until([&] { return f.all_report(5, Status::left); }, 3s));
  EXPECT_EQ(f.member(0).fleet_size(), 11u);
}

TEST(Membership, ALeaveWhoseDatagramsAreLostEndsAsADeath) {
  Fleet f(12);
  f.form();
  f.cut({"n5"}, {}, false);
  f.leave(5);
  EXPECT_TRUE(f.run_until([&] { return f.member(5).has_left(); }, 2s));
  f.kill(5);
  EXPECT_TRUE(f.run_until([&] { return f.all_report(5, Status::dead); }, 10s));
}

TEST(Membership, ManyLeavesAtOnceKeepTheMajority) {
  Fleet f(20);
  f.form();
  for (std::size_t n = 0; n < 8; ++n) f.leave(n);
  f.run_for(1s);
  for (std::size_t n = 0; n < 8; ++n) f.kill(n);
  f.run_for(10s);
  for (std::size_t n = 8; n < 20; ++n) {
    EXPECT_TRUE(f.member(n).has_quorum());
    EXPECT_EQ(f.member(n).roster().alive(), 11u);
  }
  EXPECT_TRUE(f.dead_by.empty());
}

TEST(Membership, DelaysLongerThanSuspicionKillNobody) {
  Fleet f(12);
  f.form();
  Rule r;
  r.delay = 3s;
  r.distribution = standin::LatencyDistribution::uniform;
  r.spread = 0.3;
  const auto id = f.fault_injector().add(r);
  f.run_for(30s);
  EXPECT_TRUE(f.dead_by.empty());
  f.fault_injector().remove(id);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 20s));
}

// Whoever has lost its first path is reached by its second one: an edge for those at both ends, and no death.
TEST(Membership, ASecondPathKeepsWhoHasLostTheFirst) {
  for (const bool second : {true, false}) {
    Fleet f(10);
    if (second) f.add_secondary_paths();
    f.form();
    const auto cut = f.cut({"n4"}, f.names(0, 4));
    const auto more = f.cut({"n4"}, f.names(5, 10));
    f.run_for(20s);
    EXPECT_EQ(f.dead_by.contains("n4"), !second);
    if (second) {
      EXPECT_EQ(f.member(4).local_connectivity(), LocalConnectivity::ok);
      EXPECT_TRUE(f.all_report(4, Status::alive));
      EXPECT_TRUE(f.member(4).roster().at(f.member(4).roster().find("n5")).link_broken);
    }
    f.fault_injector().remove(cut);
    f.fault_injector().remove(more);
    EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 20s));
  }
}

// Of two nobody else can help: only the second path tells a lost link from a lost peer.
TEST(Membership, TwoWithASecondPathStayTogether) {
  Fleet f(2);
  f.add_secondary_paths();
  f.form();
  f.cut({"n0"}, {"n1"});
  f.run_for(30s);
  EXPECT_EQ(f.status_of(0, 1), Status::alive);
  EXPECT_EQ(f.status_of(1, 0), Status::alive);
  EXPECT_TRUE(f.member(0).has_quorum());
  EXPECT_EQ(f.member(0).local_connectivity(), LocalConnectivity::ok);
}

TEST(Membership, ALargeFleetFormsSoonAfterTheLastStart) {
  Fleet f(300);
  f.start_all(6s);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 12s));
}

// An exchange carries what differs: between like views it is two datagrams, however large the fleet.
TEST(Membership, ExchangesOfLikeViewsAreShort) {
  Fleet f(120);
  f.form();
  f.run_for(30s);
  f.reset_stats();
  f.run_for(30s);
  // Full exchanges of 120 members at this rate would be over 6 KB a member and second by themselves.
  EXPECT_LT(double(f.stats().bytes) * 2 / 30 / 120, 6000);
  EXPECT_TRUE(f.has_converged());
}

// Loads that wander by a hundredth at a time are no news; a jump is.
TEST(Membership, SmallChangesOfLoadAreNotTold) {
  Fleet f(8);
  f.form();
  auto& m = f.member(3);
  const auto version = m.metadata().version;
  for (int k = 0; k < 9; ++k) m.update_metadata(Stage::starting, 0, std::uint8_t(k), {}, f.now());
  EXPECT_EQ(m.metadata().version, version);
  m.update_metadata(Stage::starting, 0, 40, {}, f.now());
  EXPECT_EQ(m.metadata().version, version + 1);
  m.update_metadata(Stage::starting, 0, 80, {}, f.now());  // too soon after the last one
  EXPECT_EQ(m.metadata().version, version + 1);
  m.update_metadata(Stage::serving, 0, 80, {}, f.now());  // a stage is told at once
  EXPECT_EQ(m.metadata().version, version + 2);
}

// Over random schedules of faults: who could always talk with most is never dead in a majority's certain view
// for long, incarnations never fall, views meet once the faults end, everything stays within its bounds.
TEST(Membership, RandomSchedulesKeepTheProperties) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    Fleet f(14, seed);
    f.form();
    std::mt19937_64 random(seed);
    std::map<std::string, Incarnation> highest;
    std::set<std::string> faulty;  // paused or cut at some time
    for (int step = 0; step < 12; ++step) {
      const auto n = std::size_t(random() % 14);
      switch (random() % 6) {
        case 0:
          f.pause(n);
          faulty.insert(f.name(n));
          break;
        case 1:
          for (std::size_t k = 0; k < 14; ++k) f.resume(k);
          break;
        case 2:
          f.cut({f.name(n)}, {}, random() % 2 == 0);
          faulty.insert(f.name(n));
          break;
        case 3:
          f.loss(0.1);
          break;
        case 4:
          f.fault_injector().clear();
          break;
        case 5:
          if (faulty.size() < 5) {
            f.kill(n);
            f.start(n);
            faulty.insert(f.name(n));
          }
          break;
      }
      f.run_for(2500ms);
      for (std::size_t k = 0; k < 14; ++k) {
        if (!f.is_running(k)) continue;
        auto& m = f.member(k);
        EXPECT_LT(m.pending_items(), 700u);
        const auto& r = m.roster();
        for (Index i = 0; i < r.slot_count(); ++i) {
          if (!r.at(i).known) continue;
          auto& known = highest[f.name(k) + "/" + r.at(i).name];
          EXPECT_GE(r.at(i).incarnation, known);
          known = std::max(known, r.at(i).incarnation);
          if (m.has_quorum() && !m.uncertain() && !faulty.contains(f.name(k)) &&
              !faulty.contains(r.at(i).name)) {
            EXPECT_NE(r.at(i).certain_status, Status::dead) << "seed " << seed << " " << r.at(i).name;
          }
        }
      }
    }
    f.fault_injector().clear();
    for (std::size_t k = 0; k < 14; ++k) f.resume(k);
    EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 40s)) << "seed " << seed;
    EXPECT_LE(f.stats().largest, kMaxDatagram);
  }
}

TEST(Membership, TheSameSeedPlaysTheSame) {
  const auto play = [] {
    Fleet f(10, 9);
    f.form();
    f.loss(0.2);
    f.run_for(20s);
    return std::pair(f.stats().datagrams, f.stats().bytes);
  };
  EXPECT_EQ(play(), play());
}

}  // namespace
}  // namespace granitegap::membership
