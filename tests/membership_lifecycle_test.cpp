// Joining, leaving, syncs and published metadata in a simulated fleet.
#include "membership_simulation.h"

namespace granitegap::membership {
namespace {

// Every component of a member must use the updated options, not only those that read them first.
TEST(MemberLifecycle, UpdatedOptionsApplyToARunningFleet) {
  Fleet fleet(8);
  fleet.form();
  Options updated;
  updated.quorum_shrink_delay = 2s;
  updated.tombstone_ttl = 4s;
  updated.max_message_age = 2s;
  for (std::size_t n = 0; n < 8; ++n) {
    updated.seeds = {fleet.identity(0).address};
    fleet.member(n).update_options(updated);
  }
  fleet.kill(7);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.member(3).roster().find("n7") == kNoMember; }, 20s));
  EXPECT_EQ(fleet.member(3).fleet_size(), 7u);
}

TEST(MemberLifecycle, ManyJoinsAtOnceStayWithinBounds) {
  Fleet fleet(64);
  for (std::size_t n = 0; n < 4; ++n) fleet.start(n);
  fleet.run_for(3s);
  for (std::size_t n = 4; n < 64; ++n) fleet.start(n);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.has_converged(); }, 20s));
  for (std::size_t n = 0; n < 64; ++n) EXPECT_LT(fleet.member(n).pending_items(), 700u);
}

TEST(MemberLifecycle, FleetStaysFormedWithoutSeedsAndSeedsRejoin) {
  Fleet fleet(12);
  fleet.form();
  for (std::size_t n = 0; n < 3; ++n) fleet.kill(n);
  fleet.run_for(20s);
  for (std::size_t n = 3; n < 12; ++n) EXPECT_EQ(fleet.member(n).roster().alive(), 8u);
  for (std::size_t n = 0; n < 3; ++n) fleet.start(n);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.has_converged(); }, 10s));
}

TEST(MemberLifecycle, GracefulLeaveIsNotDeclaredDead) {
  Fleet fleet(12);
  fleet.form();
  fleet.leave(5);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.member(5).has_left(); }, 2s));
  fleet.kill(5);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.all_report(5, Status::left); }, 3s));
  EXPECT_EQ(fleet.member(0).fleet_size(), 11u);
}

TEST(MemberLifecycle, LeaveWithAllDatagramsLostIsDeclaredDead) {
  Fleet fleet(12);
  fleet.form();
  fleet.cut({"n5"}, {}, false);
  fleet.leave(5);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.member(5).has_left(); }, 2s));
  fleet.kill(5);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.all_report(5, Status::dead); }, 10s));
}

TEST(MemberLifecycle, ManyLeavesAtOnceKeepTheQuorum) {
  Fleet fleet(20);
  fleet.form();
  for (std::size_t n = 0; n < 8; ++n) fleet.leave(n);
  fleet.run_for(1s);
  for (std::size_t n = 0; n < 8; ++n) fleet.kill(n);
  fleet.run_for(10s);
  for (std::size_t n = 8; n < 20; ++n) {
    EXPECT_TRUE(fleet.member(n).has_quorum());
    EXPECT_EQ(fleet.member(n).roster().alive(), 11u);
  }
  EXPECT_TRUE(fleet.declared_dead_by.empty());
}

TEST(MemberLifecycle, LargeFleetFormsSoonAfterTheLastStart) {
  Fleet fleet(300);
  fleet.start_all(6s);
  EXPECT_TRUE(fleet.run_until([&] { return fleet.has_converged(); }, 12s));
}

// A sync carries only the differences: between equal views it takes two datagrams, whatever the size of the
// fleet.
TEST(MemberLifecycle, SyncsBetweenEqualViewsAreSmall) {
  Fleet fleet(120);
  fleet.form();
  fleet.run_for(30s);
  fleet.reset_stats();
  fleet.run_for(30s);
  // Full syncs of 120 members at this rate would by themselves take over 6 KB per member and second.
  EXPECT_LT(double(fleet.stats().bytes) * 2 / 30 / 120, 6000);
  EXPECT_TRUE(fleet.has_converged());
}

// Changes by up to eight percentage points are not published; a large one is.
TEST(MemberLifecycle, SmallLoadChangesAreNotPublished) {
  Fleet fleet(8);
  fleet.form();
  auto& member = fleet.member(3);
  const auto version = member.metadata().version;
  for (int k = 0; k < 9; ++k) member.update_metadata(Stage::starting, 0, std::uint8_t(k), {}, fleet.now());
  EXPECT_EQ(member.metadata().version, version);
  member.update_metadata(Stage::starting, 0, 40, {}, fleet.now());
  EXPECT_EQ(member.metadata().version, version + 1);
  member.update_metadata(Stage::starting, 0, 80, {}, fleet.now());  // too soon after the last change
  EXPECT_EQ(member.metadata().version, version + 1);
  member.update_metadata(Stage::serving, 0, 80, {}, fleet.now());  // a change of stage is published at once
  EXPECT_EQ(member.metadata().version, version + 2);
}

// A process joins while datagrams are lost. Guards against a joiner that stays unknown for its whole
// lifetime: it knew the others, but the datagrams that verify its own address were lost, and its later pings
// were too short to be answered with another verification.
TEST(MemberLifecycle, JoinerBecomesKnownAfterLossOfItsVerification) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Fleet fleet(5, seed);
    for (std::size_t n = 0; n < 4; ++n) fleet.start(n);
    fleet.run_for(10s);
    fleet.loss(0.3);
    fleet.start(4);
    fleet.run_for(20s);
    for (std::size_t n = 0; n < 4; ++n) EXPECT_TRUE(fleet.status_of(n, 4)) << "seed " << seed << " n" << n;
  }
}

}  // namespace
}  // namespace granitegap::membership
