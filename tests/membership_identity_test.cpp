// Restarts, name conflicts and replays in a simulated fleet: which process and which update wins.
#include "membership_simulation.h"

namespace granitegap::membership {
namespace {

TEST(MemberIdentity, ImmediateRestartWithEarlierClockSupersedesOldProcess) {
  Fleet f(12);
  f.form();
  f.run_for(5s);
  const auto before = f.member(4).incarnation();
  f.kill(4);
  f.start(4, 5);  // far below
  EXPECT_TRUE(f.run_until([&] { return f.has_converged() && f.member(4).incarnation() > before; }, 5s));
  f.run_for(10s);
  EXPECT_TRUE(f.declared_dead_by.empty());
  EXPECT_FALSE(f.member(4).conflicting_address());
  for (std::size_t n = 0; n < 12; ++n)
    if (n != 4) {
      const auto& r = f.member(n).roster();
      EXPECT_EQ(r.at(r.find("n4")).boot_id, f.identity(4).boot_id);
    }
}

TEST(MemberIdentity, NameConflictIsReportedByBothAndTheViewIsStable) {
  Fleet f(10);
  f.form();
  const auto other = f.clone(4);
  f.start(other);
  EXPECT_TRUE(f.run_until(
      [&] { return f.member(4).conflicting_address() && f.member(other).conflicting_address(); }, 10s));
  EXPECT_EQ(*f.member(4).conflicting_address(), f.identity(other).address);
  EXPECT_EQ(*f.member(other).conflicting_address(), f.identity(4).address);
  f.run_for(5s);
  std::size_t changes = 0;
  f.on_change = [&](auto who, const Change& c) {
    changes += who != 4 && who != other && c.name == "n4" && c.kind != ChangeKind::metadata_updated;
  };
  f.run_for(20s);
  EXPECT_EQ(changes, 0u);
  f.kill(other);
  EXPECT_TRUE(f.run_until([&] { return !f.member(4).conflicting_address(); }, 20s));
  EXPECT_TRUE(f.run_until(
      [&] {
        for (std::size_t n = 0; n < 10; ++n)
          if (n != 4 && f.status_of(n, 4) != Status::alive) return false;
        return true;
      },
      20s));
}

// One member, and what a peer gossips of another process that has superseded it.
struct SupersededMember {
  TimePoint now{1h};
  Member member{{}, Identity{"n1", "z", address(1), {}, BootId(1), 10}, 1, now};
  SupersededMember() {
    member.add_known_members({{"n0", address(0), BootId(9), 1, Status::alive, 0, 0, std::nullopt}}, now);
  }
  static Address address(std::uint16_t n) {
    Address a;
    a.port = std::uint16_t(4000 + n);
    return a;
  }
  void gossip_of_other_process(Incarnation incarnation, Status status) {
    MemberMetadata t;
    t.version = 1;
    t.superseded_boot_id = BootId(1);
    Datagram d;
    d.from.name = "n0";
    d.from.address = address(0);
    d.from.boot_id = BootId(9);
    d.from.incarnation = d.from.sent_ms = 1;
    d.body = GossipOnly{};
    d.updates.push_back({"n1", address(2), BootId(2), incarnation, status, 0, 0, t});
    member.receive(d, 500, now);
  }
  void advance(Duration time) {
    for (const auto end = now + time; now < end;) {
      now = std::min(std::max(member.next_wake(), now), end);
      member.wake(now);
    }
  }
};

// At a tie others would reject both: the dead process' incarnation is this one's own.
TEST(MemberIdentity, SurvivorOfNameConflictRaisesAnEqualIncarnation) {
  SupersededMember s;
  s.gossip_of_other_process(10, Status::dead);
  EXPECT_EQ(s.member.incarnation(), 11u);
  s.gossip_of_other_process(10, Status::dead);  // late
  EXPECT_EQ(s.member.incarnation(), 11u);
}

TEST(MemberIdentity, ReclaimedNameGetsIncarnationAboveTheConflictingProcess) {
  SupersededMember s;
  s.gossip_of_other_process(10, Status::alive);
  ASSERT_TRUE(s.member.conflicting_address());
  s.gossip_of_other_process(17, Status::alive);
  EXPECT_EQ(s.member.incarnation(), 10u);
  s.advance(10s);
  EXPECT_FALSE(s.member.conflicting_address());
  EXPECT_GT(s.member.incarnation(), 17u);
}

TEST(MemberIdentity, ReplayOfEarlierProcessChangesNothing) {
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

TEST(MemberIdentity, ReplayAfterRemovalRevivesNobody) {
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

TEST(MemberIdentity, DeadMemberThatReturnsAfterRemovalJoinsAsNew) {
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

}  // namespace
}  // namespace granitegap::membership
