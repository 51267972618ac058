// Tests of the shares of a fleet-wide limit: whatever the members have seen, the shares of the running
// members never add up to more than the limit, or than one for each member where the fleet is larger.
#include "membership/fleet_limit.h"

#include "membership/limit_holders.h"
#include "membership/views.h"
#include "membership_simulation.h"

namespace granitegap::membership {
namespace {

using std::chrono::seconds;

struct LimitHoldersTest : testing::Test {
  bool update(Duration at, std::size_t members, bool in_minority = false) {
    return holders.update(TimePoint{} + at, members, in_minority);
  }
  Options options;
  LimitHolders holders{options};
};

TEST_F(LimitHoldersTest, CountIsAbsentUntilNoMemberJoinsForTheSettleTime) {
  EXPECT_FALSE(update(seconds(0), 1));
  EXPECT_FALSE(update(seconds(4), 3));  // the window starts again
  EXPECT_FALSE(update(seconds(8), 3));
  EXPECT_FALSE(holders.count());
  EXPECT_TRUE(update(seconds(9), 3));
  EXPECT_EQ(holders.count(), 3u);
}

TEST_F(LimitHoldersTest, CountRisesAtOnceAndFallsAfterTheSettleTime) {
  update(seconds(0), 4);
  update(seconds(5), 4);
  ASSERT_EQ(holders.count(), 4u);
  EXPECT_TRUE(update(seconds(6), 6));
  EXPECT_EQ(holders.count(), 6u);
  update(seconds(7), 3);
  update(seconds(10), 5);  // a new maximum: the window starts again
  update(seconds(12), 3);
  EXPECT_EQ(holders.count(), 6u);
  EXPECT_TRUE(update(seconds(15), 3));
  EXPECT_EQ(holders.count(), 5u);
  EXPECT_TRUE(update(seconds(20), 3));
  EXPECT_EQ(holders.count(), 3u);
}

TEST_F(LimitHoldersTest, CountIsResetBeforeTheOthersRemoveAnIsolatedMember) {
  update(seconds(0), 4);
  update(seconds(5), 4);
  update(seconds(10), 4, true);
  EXPECT_FALSE(update(seconds(24), 4, true));
  EXPECT_EQ(holders.count(), 4u);
  EXPECT_TRUE(update(seconds(25), 4, true));
  EXPECT_FALSE(holders.count());
  EXPECT_LT(seconds(15), options.quorum_shrink_delay);
  update(seconds(30), 4);
  EXPECT_FALSE(holders.count());
  EXPECT_TRUE(update(seconds(35), 4));
  EXPECT_EQ(holders.count(), 4u);
}

TEST_F(LimitHoldersTest, CountIsResetByALongPauseOnly) {
  update(seconds(0), 4);
  update(seconds(5), 4);
  holders.on_pause(seconds(14));
  EXPECT_EQ(holders.count(), 4u);
  holders.on_pause(seconds(15));
  EXPECT_FALSE(holders.count());
}

View view_with(std::size_t alive, std::size_t suspect) {
  View view;
  for (std::size_t k = 0; k < alive + suspect; ++k) {
    auto& peer = view.peers.emplace_back();
    peer.status = k < alive ? Status::alive : Status::suspect;
  }
  view.fleet_size = 1 + alive + suspect;
  return view;
}

TEST(FleetLimit, SuspectAndDeadMembersKeepTheirSharesWhileTheyMayRun) {
  auto view = view_with(2, 1);
  view.limit_holders = 4;
  EXPECT_EQ(share_of_limit(8, limit_divisor(&view)), 2u);
  EXPECT_EQ(limit_divisor(&view).reason, LimitDivisorReason::members_possibly_running);
  view.limit_holders = 3;
  EXPECT_EQ(share_of_limit(9, limit_divisor(&view)), 3u);
}

TEST(FleetLimit, OneCallIsReservedForEachRemovedMember) {
  auto view = view_with(4, 0);
  view.limit_holders = 5;
  view.limit_reserved = 3;
  // Eight members share 16 calls and three of them are isolated: five shares of two, and three reserved
  // calls.
  EXPECT_EQ(share_of_limit(16, limit_divisor(&view)), 2u);
  view.limit_reserved = 0;
  EXPECT_EQ(share_of_limit(16, limit_divisor(&view)), 3u);
}

TEST(FleetLimit, ShareIsOneWithoutAViewAndWhileUnsettled) {
  EXPECT_EQ(share_of_limit(100, limit_divisor(nullptr)), 1u);
  auto view = view_with(0, 0);
  view.limit_holders.reset();
  EXPECT_EQ(share_of_limit(100, limit_divisor(&view)), 1u);
  EXPECT_EQ(limit_divisor(&view).reason, LimitDivisorReason::unsettled);
}

TEST(FleetLimit, ShareIsNeverLessThanOne) {
  auto view = view_with(7, 0);
  EXPECT_EQ(share_of_limit(4, limit_divisor(&view)), 1u);
  view.limit_reserved = 9;
  EXPECT_EQ(share_of_limit(4, limit_divisor(&view)), 1u);
}

// ---- In a simulated fleet ----

constexpr Duration kCheckInterval = std::chrono::milliseconds(50);

// A simulated fleet that records the maximum sum of the shares of all running members.
struct LimitedFleet : Fleet {
  LimitedFleet(std::size_t size, std::uint32_t fleet_limit, std::uint64_t seed)
      : Fleet(size, seed), limit(fleet_limit) {}
  std::uint32_t share(std::size_t n) {
    const auto view = make_view(member(n), now());
    return share_of_limit(limit, limit_divisor(&view));
  }
  std::size_t sum_of_shares() {
    std::size_t sum = 0;
    for (std::size_t n = 0; n < size(); ++n)
      if (is_running(n)) sum += share(n);
    return sum;
  }
  void run_and_record(Duration span) {
    for (const auto end = now() + span; now() < end;) {
      run_for(kCheckInterval);
      max_sum = std::max(max_sum, sum_of_shares());
    }
  }
  std::uint32_t limit;
  std::size_t max_sum = 0;
};

TEST(FleetLimit, SumOfSharesStaysWithinTheLimitWhileAFleetForms) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    LimitedFleet fleet(8, 24, seed);
    fleet.start_all(seconds(std::int64_t(seed % 4)));
    fleet.run_and_record(seconds(20));
    EXPECT_LE(fleet.max_sum, 24u) << "seed " << seed;
    for (std::size_t n = 0; n < 8; ++n) EXPECT_EQ(fleet.share(n), 3u) << "seed " << seed;
  }
}

// The majority removes the isolated minority after a while and divides the limit among its own members. By
// then each member of the minority makes one call at a time.
TEST(FleetLimit, SumOfSharesStaysWithinTheLimitDuringALongPartition) {
  LimitedFleet fleet(8, 24, 1);
  fleet.form();
  fleet.run_and_record(seconds(10));
  const auto rule = fleet.cut(fleet.names(0, 3), fleet.names(3, 8));
  fleet.run_and_record(seconds(90));
  EXPECT_LE(fleet.max_sum, 24u);
  EXPECT_EQ(fleet.share(0), 1u);
  EXPECT_EQ(fleet.share(7), 4u);  // a fifth of 24 less one call for each of the three isolated members
  fleet.fault_injector().remove(rule);
  fleet.run_and_record(seconds(30));
  EXPECT_LE(fleet.max_sum, 24u);
  for (std::size_t n = 0; n < 8; ++n) EXPECT_EQ(fleet.share(n), 3u);
}

// Without a majority no member can determine which others run: each keeps the share that it had.
TEST(FleetLimit, MembersOfEqualHalvesKeepTheirShares) {
  LimitedFleet fleet(4, 8, 1);
  fleet.form();
  fleet.run_and_record(seconds(10));
  fleet.cut(fleet.names(0, 2), fleet.names(2, 4));
  fleet.run_and_record(seconds(5));
  for (std::size_t n = 0; n < 4; ++n) EXPECT_EQ(fleet.share(n), 2u);
  fleet.run_and_record(seconds(60));
  EXPECT_LE(fleet.max_sum, 8u);
  for (std::size_t n = 0; n < 4; ++n) EXPECT_EQ(fleet.share(n), 2u);
}

// Neither of two members can remove the other: the remaining one keeps its half, however long the other is
// unreachable.
TEST(FleetLimit, RemainingMemberOfTwoKeepsItsHalf) {
  LimitedFleet fleet(2, 8, 1);
  fleet.form();
  fleet.run_and_record(seconds(10));
  fleet.kill(1);
  fleet.run_and_record(seconds(100));
  EXPECT_EQ(fleet.share(0), 4u);
  fleet.start(1);
  fleet.run_and_record(seconds(30));
  EXPECT_EQ(fleet.share(1), 4u);
  EXPECT_LE(fleet.max_sum, 8u);
}

// The other members lower their shares before a member that is new to them takes one.
TEST(FleetLimit, JoinerTakesNoShareUntilTheOthersKnowIt) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LimitedFleet fleet(5, 8, seed);
    for (std::size_t n = 0; n < 4; ++n) fleet.start(n);
    fleet.run_and_record(seconds(10));
    ASSERT_EQ(fleet.share(0), 2u);
    if (seed % 2 == 0) fleet.loss(0.3);
    fleet.start(4);
    fleet.run_and_record(seconds(20));
    EXPECT_LE(fleet.max_sum, 8u) << "seed " << seed;
    EXPECT_EQ(fleet.share(4), 1u) << "seed " << seed;
  }
}

TEST(FleetLimit, ShareOfADeadMemberGoesToTheOthersOnceItIsRemoved) {
  LimitedFleet fleet(4, 12, 1);
  fleet.form();
  fleet.run_and_record(seconds(10));
  fleet.kill(3);
  fleet.run_and_record(seconds(20));
  EXPECT_EQ(fleet.share(0), 3u);
  fleet.run_and_record(seconds(40));
  EXPECT_EQ(fleet.share(0), 3u);  // one call is reserved: the dead member may be isolated
  fleet.run_and_record(seconds(120));
  EXPECT_EQ(fleet.share(0), 4u);
  EXPECT_LE(fleet.max_sum, 12u);
}

// Random restarts, pauses, packet loss and partitions: the shares of the running members fit into the limit
// at all times.
TEST(FleetLimit, SumOfSharesStaysWithinTheLimitUnderRandomFaults) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&](std::size_t n) { return std::size_t(random() % n); };
    const auto size = 4 + draw(6);
    LimitedFleet fleet(size, std::uint32_t(size * (1 + draw(3))), seed);
    fleet.form();
    fleet.run_and_record(seconds(10));
    for (int step = 0; step < 12; ++step) {
      const auto n = draw(size);
      Rule loss;
      loss.loss = double(draw(40)) / 100;
      const auto kind = draw(5);
      standin::FaultInjector::RuleId rule = 0;
      if (kind == 0) fleet.kill(n);
      if (kind == 1) fleet.pause(n);
      if (kind == 2) rule = fleet.cut(fleet.names(0, 1 + draw(size - 1)), fleet.names(size - 1, size));
      if (kind == 3) rule = fleet.fault_injector().add(loss);
      if (kind == 4)
        for (std::size_t k = 0; k < size; ++k) fleet.kill(k);
      fleet.run_and_record(std::chrono::milliseconds(draw(8000)));
      if (kind == 0) fleet.start(n);
      if (kind == 1) fleet.resume(n);
      if (kind == 2 || kind == 3) fleet.fault_injector().remove(rule);
      if (kind == 4)
        for (std::size_t k = 0; k < size; ++k) fleet.start(k);
      fleet.run_and_record(std::chrono::milliseconds(draw(12000)));
    }
    EXPECT_LE(fleet.max_sum, fleet.limit) << "seed " << seed;
  }
}

}  // namespace
}  // namespace granitegap::membership
