// Joining, leaving, syncs and published metadata in a simulated fleet.
#include "membership_simulation.h"

namespace granitegap::membership {
namespace {

// All parts of a member use the updated options, not only those that read them first.
TEST(MemberLifecycle, UpdatedOptionsApplyToARunningFleet) {
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

TEST(MemberLifecycle, ManyJoinsAtOnceStayWithinBounds) {
  Fleet f(64);
  for (std::size_t n = 0; n < 4; ++n) f.start(n);
  f.run_for(3s);
  for (std::size_t n = 4; n < 64; ++n) f.start(n);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 20s));
  for (std::size_t n = 0; n < 64; ++n) EXPECT_LT(f.member(n).pending_items(), 700u);
}

TEST(MemberLifecycle, FleetSurvivesLossOfAllSeedsAndTheyRejoin) {
  Fleet f(12);
  f.form();
  for (std::size_t n = 0; n < 3; ++n) f.kill(n);
  f.run_for(20s);
  for (std::size_t n = 3; n < 12; ++n) EXPECT_EQ(f.member(n).roster().alive(), 8u);
  for (std::size_t n = 0; n < 3; ++n) f.start(n);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 10s));
}

TEST(MemberLifecycle, GracefulLeaveIsNoDeath) {
  Fleet f(12);
  f.form();
  f.leave(5);
  EXPECT_TRUE(f.run_until([&] { return f.member(5).has_left(); }, 2s));
  f.kill(5);
  EXPECT_TRUE(f.run_until([&] { return f.all_report(5, Status::left); }, 3s));
  EXPECT_EQ(f.member(0).fleet_size(), 11u);
}

TEST(MemberLifecycle, LeaveWithAllDatagramsLostEndsAsADeath) {
  Fleet f(12);
  f.form();
  f.cut({"n5"}, {}, false);
  f.leave(5);
  EXPECT_TRUE(f.run_until([&] { return f.member(5).has_left(); }, 2s));
  f.kill(5);
  EXPECT_TRUE(f.run_until([&] { return f.all_report(5, Status::dead); }, 10s));
}

TEST(MemberLifecycle, ManyLeavesAtOnceKeepTheQuorum) {
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
  EXPECT_TRUE(f.declared_dead_by.empty());
}

TEST(MemberLifecycle, LargeFleetFormsSoonAfterTheLastStart) {
  Fleet f(300);
  f.start_all(6s);
  EXPECT_TRUE(f.run_until([&] { return f.has_converged(); }, 12s));
}

// A sync carries what differs: between equal views it is two datagrams, however large the fleet.
TEST(MemberLifecycle, SyncsBetweenEqualViewsAreSmall) {
  Fleet f(120);
  f.form();
  f.run_for(30s);
  f.reset_stats();
  f.run_for(30s);
  // Full syncs of 120 members at this rate would be over 6 KB a member and second by themselves.
  EXPECT_LT(double(f.stats().bytes) * 2 / 30 / 120, 6000);
  EXPECT_TRUE(f.has_converged());
}

// Changes of one percent point are held back; a large one is published.
TEST(MemberLifecycle, SmallLoadChangesAreNotPublished) {
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
  m.update_metadata(Stage::serving, 0, 80, {}, f.now());  // a stage is published at once
  EXPECT_EQ(m.metadata().version, version + 2);
}

// A process joins while datagrams are lost: it knew the others, but those that verify its own address were
// lost, and its later pings were too short to be answered by another try. Nobody knew it for as long as it
// lived.
TEST(Lifecycle, AJoinerBecomesKnownThoughItsVerificationIsLost) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Fleet f(5, seed);
    for (std::size_t n = 0; n < 4; ++n) f.start(n);
    f.run_for(10s);
    f.loss(0.3);
    f.start(4);
    f.run_for(20s);
    for (std::size_t n = 0; n < 4; ++n) EXPECT_TRUE(f.status_of(n, 4)) << "seed " << seed << " n" << n;
  }
}

}  // namespace
}  // namespace granitegap::membership
