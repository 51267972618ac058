// Tests of the decisions that are based on a view of the fleet.
#include <gtest/gtest.h>

#include "fleet/health_check_simulation.h"
#include "membership/views.h"

namespace granitegap::membership {
namespace {

using namespace std::chrono_literals;

View view_with_peers(std::size_t peers) {
  View view;
  view.own_hash = name_hash("own");
  for (std::size_t n = 0; n < peers; ++n) {
    View::Peer peer;
    peer.name = "n" + std::to_string(n);
    peer.hash = name_hash(peer.name);
    peer.metadata.stage = Stage::serving;
    view.peers.push_back(std::move(peer));
  }
  view.fleet_size = peers + 1;
  return view;
}

TEST(Views, BackoffIsSpreadOnlyWhileMembersAreMissing) {
  EXPECT_EQ(jittered_backoff(50ms, 1s, 0, 0.9), 50ms);
  EXPECT_EQ(jittered_backoff(0ms, 1s, 0.5, 0.9), 0ms);
  EXPECT_EQ(jittered_backoff(50ms, 1s, 0.5, 0), 50ms);
  EXPECT_EQ(jittered_backoff(50ms, 1s, 0.5, 0.5), 150ms);  // a window of 8 * 0.5 * 50 ms
  EXPECT_EQ(jittered_backoff(50ms, 80ms, 1, 1), 80ms);     // never above the maximum of the settings
  EXPECT_EQ(jittered_backoff(90ms, 80ms, 1, 1), 90ms);
}

TEST(Views, MissingFractionCountsMembersOfTheFleetThatAreNotAlive) {
  auto view = view_with_peers(9);
  EXPECT_EQ(missing_fraction(view), 0);
  view.peers[0].status = Status::suspect;
  view.peers[1].status = Status::dead;
  EXPECT_DOUBLE_EQ(missing_fraction(view), 0.2);
}

TEST(Views, OnlyTheEndpointsOfALostHealthCheckerMove) {
  const auto view = view_with_peers(20);
  std::size_t moved = 0;
  auto without_peer_7 = view;
  without_peer_7.peers[7].status = Status::dead;
  for (std::uint64_t endpoint = 1; endpoint <= 200; ++endpoint) {
    const auto before = select_health_checker(view, endpoint),
               after = select_health_checker(without_peer_7, endpoint);
    if (before == view.peers[7].hash)
      ++moved;
    else
      EXPECT_EQ(before, after);
    EXPECT_NE(after, view.peers[7].hash);
    // Another member with an equal view selects the same health checker.
    auto other = view;
    other.own_hash = view.peers[0].hash;
    other.peers[0].hash = view.own_hash;
    EXPECT_EQ(select_health_checker(other, endpoint), before);
  }
  EXPECT_GT(moved, 0u);
  EXPECT_LT(moved, 40u);
}

TEST(Views, MemberChecksItselfWithoutAReportOrAQuorum) {
  auto view = view_with_peers(5);
  std::uint64_t endpoint = 1;
  while (select_health_checker(view, endpoint) == view.own_hash) ++endpoint;
  const auto checker = select_health_checker(view, endpoint);
  EXPECT_TRUE(should_health_check(view, endpoint));  // the health checker does not report the endpoint
  for (auto& peer : view.peers)
    if (peer.hash == checker) peer.metadata.endpoint_health = {{endpoint, true}};
  EXPECT_FALSE(should_health_check(view, endpoint));
  EXPECT_FALSE(reported_recovered(view, endpoint));
  for (auto& peer : view.peers)
    if (peer.hash == checker) peer.metadata.endpoint_health = {{endpoint, false}};
  EXPECT_TRUE(reported_recovered(view, endpoint));
  view.has_quorum = false;
  EXPECT_TRUE(should_health_check(view, endpoint));
  EXPECT_FALSE(reported_recovered(view, endpoint));
}

TEST(Views, SharedHealthChecksReduceCallsDuringAnOutage) {
  const auto separate = fleet::simulate_outage(8, false, 1), shared = fleet::simulate_outage(8, true, 1);
  EXPECT_LT(shared.calls_a_second * 4, separate.calls_a_second);
  EXPECT_GT(shared.calls_a_second, 0);
  EXPECT_GE(shared.back_within_s, 0);
  EXPECT_LT(shared.back_within_s, 2);  // in virtual time
}

// Two endpoints of one dependency: each has its own health checker, and the recovery of one ends the outage
// for all members.
TEST(Views, EachEndpointHasItsOwnHealthChecker) {
  const auto one = fleet::simulate_outage(8, true, 3, false, 1),
             two = fleet::simulate_outage(8, true, 3, false, 2);
  EXPECT_GT(two.calls_a_second, one.calls_a_second);  // calls to both endpoints together
  EXPECT_LT(two.calls_a_second, 3 * one.calls_a_second);
  EXPECT_GE(two.back_within_s, 0);
}

TEST(Views, AnotherMemberTakesOverWhenTheHealthCheckerStops) {
  const auto traffic = fleet::simulate_outage(8, true, 2, true);
  EXPECT_GT(traffic.calls_a_second, 0);
  EXPECT_GE(traffic.back_within_s, 0);
}

}  // namespace
}  // namespace granitegap::membership
