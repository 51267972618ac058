// What the rest of the program concludes from a view of the fleet.
#include <gtest/gtest.h>

#include "fleet/health_check_simulation.h"
#include "membership/views.h"

namespace granitegap::membership {
namespace {

using namespace std::chrono_literals;

View fleet(std::size_t peers) {
  View v;
  v.own_hash = name_hash("own");
  for (std::size_t n = 0; n < peers; ++n) {
    View::Peer p;
    p.name = "n" + std::to_string(n);
    p.hash = name_hash(p.name);
    p.metadata.stage = Stage::serving;
    v.peers.push_back(std::move(p));
  }
  v.fleet_size = peers + 1;
  return v;
}

TEST(Views, BackoffIsSpreadOnlyWhileSomeAreMissing) {
  EXPECT_EQ(jittered_backoff(50ms, 1s, 0, 0.9), 50ms);
  EXPECT_EQ(jittered_backoff(0ms, 1s, 0.5, 0.9), 0ms);
  EXPECT_EQ(jittered_backoff(50ms, 1s, 0.5, 0), 50ms);
  EXPECT_EQ(jittered_backoff(50ms, 1s, 0.5, 0.5), 150ms);  // a window of 8 * 0.5 * 50 ms
  EXPECT_EQ(jittered_backoff(50ms, 80ms, 1, 1), 80ms);     // never over what the settings allow
  EXPECT_EQ(jittered_backoff(90ms, 80ms, 1, 1), 90ms);
}

TEST(Views, MissingAreThoseOfTheAgreedFleetThatAreNotAlive) {
  auto v = fleet(9);
  EXPECT_EQ(missing_fraction(v), 0);
  v.peers[0].status = Status::suspect;
  v.peers[1].status = Status::dead;
  EXPECT_DOUBLE_EQ(missing_fraction(v), 0.2);
}

TEST(Views, OneProbesForAllAndOnlyItsOwnMoveWhenItGoes) {
  const auto v = fleet(20);
  std::size_t moved = 0;
  auto less = v;
  less.peers[7].status = Status::dead;
  for (std::uint64_t d = 1; d <= 200; ++d) {
    const auto before = select_health_checker(v, d), after = select_health_checker(less, d);
    if (before == v.peers[7].hash)
      ++moved;
    else
      EXPECT_EQ(before, after);
    EXPECT_NE(after, v.peers[7].hash);
    // Seen from another member the same one is chosen.
    auto other = v;
    other.own_hash = v.peers[0].hash;
    other.peers[0].hash = v.own_hash;
    EXPECT_EQ(select_health_checker(other, d), before);
  }
  EXPECT_GT(moved, 0u);
  EXPECT_LT(moved, 40u);
}

TEST(Views, WithoutAMajorityEachProbesAlone) {
  auto v = fleet(5);
  std::uint64_t d = 1;
  while (select_health_checker(v, d) == v.own_hash) ++d;
  const auto chosen = select_health_checker(v, d);
  EXPECT_TRUE(should_health_check(v, d));  // the chosen one says nothing of it
  for (auto& p : v.peers)
    if (p.hash == chosen) p.metadata.endpoint_health = {{d, true}};
  EXPECT_FALSE(should_health_check(v, d));
  EXPECT_FALSE(reported_recovered(v, d));
  for (auto& p : v.peers)
    if (p.hash == chosen) p.metadata.endpoint_health = {{d, false}};
  EXPECT_TRUE(reported_recovered(v, d));
  v.has_quorum = false;
  EXPECT_TRUE(should_health_check(v, d));
  EXPECT_FALSE(reported_recovered(v, d));
}

TEST(Views, AnOutageIsProbedByOneForAll) {
  const auto alone = fleet::simulate_outage(8, false, 1), together = fleet::simulate_outage(8, true, 1);
  EXPECT_LT(together.calls_a_second * 4, alone.calls_a_second);
  EXPECT_GT(together.calls_a_second, 0);
  EXPECT_GE(together.back_within_s, 0);
  EXPECT_LT(together.back_within_s, 2);  // of the virtual clock
}

// Two endpoints of one dependency: each has a prober of its own, and one that is back frees all.
TEST(Views, EachEndpointHasItsOwnProber) {
  const auto one = fleet::simulate_outage(8, true, 3, false, 1),
             two = fleet::simulate_outage(8, true, 3, false, 2);
  EXPECT_GT(two.calls_a_second, one.calls_a_second);  // of both endpoints together
  EXPECT_LT(two.calls_a_second, 3 * one.calls_a_second);
  EXPECT_GE(two.back_within_s, 0);
}

TEST(Views, AnotherTakesOverWhenTheProberGoes) {
  const auto probed = fleet::simulate_outage(8, true, 2, true);
  EXPECT_GT(probed.calls_a_second, 0);
  EXPECT_GE(probed.back_within_s, 0);
}

}  // namespace
}  // namespace granitegap::membership
