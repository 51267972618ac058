// Restarts, name conflicts and replays in a simulated fleet: which process and which update takes precedence.
#include "membership_simulation.h"

namespace granitegap::membership {
namespace {

TEST(MemberIdentity, ImmediateRestartWithEarlierClockSupersedesOldProcess) {
  Fleet fleet(12);
  fleet.form();
  fleet.run_for(5s);
  const auto before = fleet.member(4).incarnation();
  fleet.kill(4);
  fleet.start(4, 5);  // an incarnation far below the previous one
  EXPECT_TRUE(
      fleet.run_until([&] { return fleet.has_converged() && fleet.member(4).incarnation() > before; }, 5s));
  fleet.run_for(10s);
  EXPECT_TRUE(fleet.declared_dead_by.empty());
  EXPECT_FALSE(fleet.member(4).conflicting_address());
  for (std::size_t n = 0; n < 12; ++n)
    if (n != 4) {
      const auto& roster = fleet.member(n).roster();
      EXPECT_EQ(roster.at(roster.find("n4")).boot_id, fleet.identity(4).boot_id);
    }
}

TEST(MemberIdentity, NameConflictIsReportedByBothAndViewStaysStable) {
  Fleet fleet(10);
  fleet.form();
  const auto other = fleet.clone(4);
  fleet.start(other);
  EXPECT_TRUE(fleet.run_until(
      [&] { return fleet.member(4).conflicting_address() && fleet.member(other).conflicting_address(); },
      10s));
  EXPECT_EQ(*fleet.member(4).conflicting_address(), fleet.identity(other).address);
  EXPECT_EQ(*fleet.member(other).conflicting_address(), fleet.identity(4).address);
  fleet.run_for(5s);
  std::size_t changes = 0;
  fleet.on_change = [&](auto who, const Change& c) {
    changes += who != 4 && who != other && c.name == "n4" && c.kind != ChangeKind::metadata_updated;
  };
  fleet.run_for(20s);
  EXPECT_EQ(changes, 0u);
  fleet.kill(other);
  EXPECT_TRUE(fleet.run_until([&] { return !fleet.member(4).conflicting_address(); }, 20s));
  EXPECT_TRUE(fleet.run_until(
      [&] {
        for (std::size_t n = 0; n < 10; ++n)
          if (n != 4 && fleet.status_of(n, 4) != Status::alive) return false;
        return true;
      },
      20s));
}

// A member that receives gossip from a peer about another process that superseded it.
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
    MemberMetadata metadata;
    metadata.version = 1;
    metadata.superseded_boot_id = BootId(1);
    Datagram datagram;
    datagram.from.name = "n0";
    datagram.from.address = address(0);
    datagram.from.boot_id = BootId(9);
    datagram.from.incarnation = datagram.from.sent_ms = 1;
    datagram.body = GossipOnly{};
    datagram.updates.push_back({"n1", address(2), BootId(2), incarnation, status, 0, 0, metadata});
    member.receive(datagram, 500, now);
  }
  void advance(Duration time) {
    for (const auto end = now + time; now < end;) {
      now = std::min(std::max(member.next_wake(), now), end);
      member.wake(now);
    }
  }
};

// The other process died with the incarnation of this one. At such a tie other members would reject both, so
// this one must raise its incarnation.
TEST(MemberIdentity, SurvivorOfNameConflictRaisesAnEqualIncarnation) {
  SupersededMember superseded;
  superseded.gossip_of_other_process(10, Status::dead);
  EXPECT_EQ(superseded.member.incarnation(), 11u);
  superseded.gossip_of_other_process(10, Status::dead);  // a late repetition
  EXPECT_EQ(superseded.member.incarnation(), 11u);
}

TEST(MemberIdentity, ReclaimedNameGetsIncarnationAboveTheConflictingProcess) {
  SupersededMember superseded;
  superseded.gossip_of_other_process(10, Status::alive);
  ASSERT_TRUE(superseded.member.conflicting_address());
  superseded.gossip_of_other_process(17, Status::alive);
  EXPECT_EQ(superseded.member.incarnation(), 10u);
  superseded.advance(10s);
  EXPECT_FALSE(superseded.member.conflicting_address());
  EXPECT_GT(superseded.member.incarnation(), 17u);
}

TEST(MemberIdentity, ReplayFromPreviousProcessChangesNothing) {
  Fleet fleet(10);
  fleet.form();
  const auto old = ping_of(
      {"n3", fleet.identity(3).address, fleet.identity(3).boot_id, fleet.member(3).incarnation(), 4000}, 7,
      "n0");
  fleet.kill(3);
  fleet.start(3);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.has_converged(); }, 5s));
  const auto boot_id = fleet.identity(3).boot_id;
  const auto stale = fleet.member(0).counters().stale_boot_id;
  for (int k = 0; k < 20; ++k) fleet.inject(0, old);
  fleet.run_for(5s);
  EXPECT_EQ(fleet.member(0).counters().stale_boot_id, stale + 20);
  const auto& roster = fleet.member(0).roster();
  EXPECT_EQ(roster.at(roster.find("n3")).boot_id, boot_id);
  EXPECT_TRUE(fleet.has_converged());
}

TEST(MemberIdentity, ReplayAfterRemovalAddsNoMember) {
  Options options;
  options.quorum_shrink_delay = 5s;
  options.tombstone_ttl = 10s;
  Fleet fleet(8, 1, options);
  fleet.form();
  const Record late{"n3",
                    fleet.identity(3).address,
                    fleet.identity(3).boot_id,
                    fleet.member(3).incarnation(),
                    Status::alive,
                    0,
                    30'000,
                    std::nullopt};
  const Sender removed_member{"n3", fleet.identity(3).address, fleet.identity(3).boot_id,
                              fleet.member(3).incarnation(), 4000};
  fleet.kill(3);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.member(0).roster().find("n3") == kNoMember; }, 60s));
  fleet.inject(0, {removed_member, Ping{7, "n0", {}}, {}, 0});
  fleet.inject(0, {{"n1", fleet.identity(1).address, fleet.identity(1).boot_id, fleet.member(1).incarnation(),
                    std::uint32_t(fleet.elapsed().count() / 1000)},
                   GossipOnly{},
                   {late},
                   0});
  fleet.run_for(3s);
  EXPECT_EQ(fleet.member(0).roster().find("n3"), kNoMember);
  EXPECT_GE(fleet.member(0).counters().late, 1u);
}

TEST(MemberIdentity, DeadMemberThatRestartsAfterRemovalJoinsAsNew) {
  Options options;
  options.quorum_shrink_delay = 5s;
  options.tombstone_ttl = 10s;
  Fleet fleet(8, 1, options);
  fleet.form();
  fleet.kill(3);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.member(0).roster().find("n3") == kNoMember; }, 60s));
  EXPECT_EQ(fleet.member(0).fleet_size(), 7u);
  fleet.start(3);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.has_converged(); }, 10s));
  EXPECT_TRUE(fleet.run_until([&] { return fleet.member(0).fleet_size() == 8; }, 5s));
}

}  // namespace
}  // namespace granitegap::membership
