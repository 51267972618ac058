// Shares of a limit that is declared for the whole fleet: whatever the members have seen, the shares of those
// that run never add up to more than the limit, or than one for each where the fleet is larger.
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

TEST_F(LimitHoldersTest, IsUnsettledUntilNobodyJoinedForTheSettleTime) {
  EXPECT_FALSE(update(seconds(0), 1));
  EXPECT_FALSE(update(seconds(4), 3));  // the window begins again
  EXPECT_FALSE(update(seconds(8), 3));
  EXPECT_FALSE(holders.count());
  EXPECT_TRUE(update(seconds(9), 3));
  EXPECT_EQ(holders.count(), 3u);
}

TEST_F(LimitHoldersTest, RisesAtOnceAndFallsAfterTheSettleTime) {
  update(seconds(0), 4);
  update(seconds(5), 4);
  ASSERT_EQ(holders.count(), 4u);
  EXPECT_TRUE(update(seconds(6), 6));
  EXPECT_EQ(holders.count(), 6u);
  update(seconds(7), 3);
  update(seconds(10), 5);  // more than at first: that is what may be concluded, and later
  update(seconds(12), 3);
  EXPECT_EQ(holders.count(), 6u);
  EXPECT_TRUE(update(seconds(15), 3));
  EXPECT_EQ(holders.count(), 5u);
  EXPECT_TRUE(update(seconds(20), 3));
  EXPECT_EQ(holders.count(), 3u);
}

TEST_F(LimitHoldersTest, IsGivenUpBeforeTheOthersRemoveOneThatIsCutOff) {
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

TEST_F(LimitHoldersTest, IsUnsettledAfterALongPauseOnly) {
  update(seconds(0), 4);
  update(seconds(5), 4);
  holders.on_pause(seconds(14));
  EXPECT_EQ(holders.count(), 4u);
  holders.on_pause(seconds(15));
  EXPECT_FALSE(holders.count());
}

View view_of(std::size_t alive, std::size_t suspect) {
  View view;
  for (std::size_t k = 0; k < alive + suspect; ++k) {
    auto& peer = view.peers.emplace_back();
    peer.status = k < alive ? Status::alive : Status::suspect;
  }
  view.fleet_size = 1 + alive + suspect;
  return view;
}

TEST(FleetLimit, SuspectsAndTheDeadKeepTheirSharesWhileTheyMayRun) {
  auto view = view_of(2, 1);
  view.limit_holders = 4;
  EXPECT_EQ(share_of_limit(8, limit_divisor(&view)), 2u);
  EXPECT_EQ(limit_divisor(&view).reason, LimitDivisorReason::members_gone);
  view.limit_holders = 3;
  EXPECT_EQ(share_of_limit(9, limit_divisor(&view)), 3u);
}

TEST(FleetLimit, RemovedMembersKeepOneCallEach) {
  auto view = view_of(4, 0);
  view.limit_holders = 5;
  view.limit_reserved = 3;
  // Eight members of sixteen calls, of which three are cut off: five times two, and three.
  EXPECT_EQ(share_of_limit(16, limit_divisor(&view)), 2u);
  view.limit_reserved = 0;
  EXPECT_EQ(share_of_limit(16, limit_divisor(&view)), 3u);
}

TEST(FleetLimit, WhoIsNotSureTakesOne) {
  EXPECT_EQ(share_of_limit(100, limit_divisor(nullptr)), 1u);
  auto view = view_of(0, 0);
  view.limit_holders.reset();
  EXPECT_EQ(share_of_limit(100, limit_divisor(&view)), 1u);
  EXPECT_EQ(limit_divisor(&view).reason, LimitDivisorReason::unsettled);
}

TEST(FleetLimit, IsNeverLessThanOne) {
  auto view = view_of(7, 0);
  EXPECT_EQ(share_of_limit(4, limit_divisor(&view)), 1u);
  view.limit_reserved = 9;
  EXPECT_EQ(share_of_limit(4, limit_divisor(&view)), 1u);
}

// ---- In a simulated fleet ----

constexpr Duration kCheckInterval = std::chrono::milliseconds(50);

// A fleet that checks, while it runs, that the shares of all running members fit into the limit.
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
  void run_checked(Duration span) {
    for (const auto end = now() + span; now() < end;) {
      run_for(kCheckInterval);
      max_sum = std::max(max_sum, sum_of_shares());
    }
  }
  std::uint32_t limit;
  std::size_t max_sum = 0;
};

TEST(FleetLimit, SharesFitWhileAFleetForms) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    LimitedFleet f(8, 24, seed);
    f.start_all(seconds(std::int64_t(seed % 4)));
    f.run_checked(seconds(20));
    EXPECT_LE(f.max_sum, 24u) << "seed " << seed;
    for (std::size_t n = 0; n < 8; ++n) EXPECT_EQ(f.share(n), 3u) << "seed " << seed;
  }
}

// The majority's side removes the others after a while and shares the limit among itself; by then those make
// one call at a time.
TEST(FleetLimit, SharesFitWhileAMinorityIsCutOffForLong) {
  LimitedFleet f(8, 24, 1);
  f.form();
  f.run_checked(seconds(10));
  const auto rule = f.cut(f.names(0, 3), f.names(3, 8));
  f.run_checked(seconds(90));
  EXPECT_LE(f.max_sum, 24u);
  EXPECT_EQ(f.share(0), 1u);
  EXPECT_EQ(f.share(7), 4u);  // of 24 less the three that may be cut off
  f.fault_injector().remove(rule);
  f.run_checked(seconds(30));
  EXPECT_LE(f.max_sum, 24u);
  for (std::size_t n = 0; n < 8; ++n) EXPECT_EQ(f.share(n), 3u);
}

// Without a majority nobody can tell who else runs: each side goes on with no more than it had.
TEST(FleetLimit, HalvesTakeNoMoreThanBefore) {
  LimitedFleet f(4, 8, 1);
  f.form();
  f.run_checked(seconds(10));
  f.cut(f.names(0, 2), f.names(2, 4));
  f.run_checked(seconds(5));
  for (std::size_t n = 0; n < 4; ++n) EXPECT_EQ(f.share(n), 2u);
  f.run_checked(seconds(60));
  EXPECT_LE(f.max_sum, 8u);
  for (std::size_t n = 0; n < 4; ++n) EXPECT_EQ(f.share(n), 2u);
}

// Neither of two can remove the other: who is left keeps its half, however long.
TEST(FleetLimit, OneOfTwoKeepsItsHalf) {
  LimitedFleet f(2, 8, 1);
  f.form();
  f.run_checked(seconds(10));
  f.kill(1);
  f.run_checked(seconds(100));
  EXPECT_EQ(f.share(0), 4u);
  f.start(1);
  f.run_checked(seconds(30));
  EXPECT_EQ(f.share(1), 4u);
  EXPECT_LE(f.max_sum, 8u);
}

// The others lower their shares before a member that they have never met takes one.
TEST(FleetLimit, ANewMemberTakesNothingUntilTheOthersKnowIt) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    LimitedFleet f(5, 8, seed);
    for (std::size_t n = 0; n < 4; ++n) f.start(n);
    f.run_checked(seconds(10));
    ASSERT_EQ(f.share(0), 2u);
    if (seed % 2 == 0) f.loss(0.3);
    f.start(4);
    f.run_checked(seconds(20));
    EXPECT_LE(f.max_sum, 8u) << "seed " << seed;
    EXPECT_EQ(f.share(4), 1u) << "seed " << seed;
  }
}

TEST(FleetLimit, ADeadMembersShareGoesToTheOthersOnceItIsRemoved) {
  LimitedFleet f(4, 12, 1);
  f.form();
  f.run_checked(seconds(10));
  f.kill(3);
  f.run_checked(seconds(20));
  EXPECT_EQ(f.share(0), 3u);
  f.run_checked(seconds(40));
  EXPECT_EQ(f.share(0), 3u);  // one call is kept back: it may be cut off
  f.run_checked(seconds(120));
  EXPECT_EQ(f.share(0), 4u);
  EXPECT_LE(f.max_sum, 12u);
}

// Random restarts, pauses, losses and cuts: at every moment the shares of all that run fit into the limit.
TEST(FleetLimit, SharesFitUnderRandomFaults) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&](std::size_t n) { return std::size_t(random() % n); };
    const auto size = 4 + draw(6);
    LimitedFleet f(size, std::uint32_t(size * (1 + draw(3))), seed);
    f.form();
    f.run_checked(seconds(10));
    for (int step = 0; step < 12; ++step) {
      const auto n = draw(size);
      Rule loss;
      loss.loss = double(draw(40)) / 100;
      const auto kind = draw(5);
      standin::FaultInjector::RuleId rule = 0;
      if (kind == 0) f.kill(n);
      if (kind == 1) f.pause(n);
      if (kind == 2) rule = f.cut(f.names(0, 1 + draw(size - 1)), f.names(size - 1, size));
      if (kind == 3) rule = f.fault_injector().add(loss);
      if (kind == 4)
        for (std::size_t k = 0; k < size; ++k) f.kill(k);
      f.run_checked(std::chrono::milliseconds(draw(8000)));
      if (kind == 0) f.start(n);
      if (kind == 1) f.resume(n);
      if (kind == 2 || kind == 3) f.fault_injector().remove(rule);
      if (kind == 4)
        for (std::size_t k = 0; k < size; ++k) f.start(k);
      f.run_checked(std::chrono::milliseconds(draw(12000)));
    }
    EXPECT_LE(f.max_sum, f.limit) << "seed " << seed;
  }
}

}  // namespace
}  // namespace granitegap::membership
