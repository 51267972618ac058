// The fleet status of membership views.
#include "recovery/fleet_status.h"

#include "recovery_test_support.h"

namespace granitegap::recovery {
namespace {

TEST(FleetStatus, CountsWhoIsMissingOrOnItsWay) {
  const auto f = summarize_fleet(seen(6, 2, 2));
  EXPECT_EQ(f.peers, 10u);
  EXPECT_EQ(f.peers_in_service, 6u);
  EXPECT_DOUBLE_EQ(f.recovering_share, 0.4);
  EXPECT_DOUBLE_EQ(f.missing_share, 0.2);
  EXPECT_TRUE(f.certain);
  EXPECT_EQ(summarize_fleet(View{}).peers, 0u);
}

// Whoever was just met has said nothing yet: it is neither in service nor on its way.
TEST(FleetStatus, WhoHasNotSaidAnythingCountsForNothing) {
  auto v = seen(4, 0);
  for (int k = 0; k < 4; ++k) {
    v.peers.push_back(peer("new" + std::to_string(k), Phase::starting));
    v.peers.back().metadata = {};
  }
  v.fleet_size = 9;
  EXPECT_EQ(summarize_fleet(v).peers, 4u);
  EXPECT_DOUBLE_EQ(summarize_fleet(v).recovering_share, 0);
}

// A zone of two that is lost whole weighs as a zone among two, not as two of ten.
TEST(FleetStatus, ZonesCountAlike) {
  auto v = seen(8, 0);
  v.peers.push_back(peer("x", Phase::slow_start, "b"));
  v.peers.push_back(peer("y", Phase::slow_start, "b"));
  v.fleet_size = 11;
  EXPECT_DOUBLE_EQ(summarize_fleet(v).recovering_share, 0.5);
}

TEST(FleetStatus, WhoLeftInOrderIsNotMissedAndWhoSaysNothingGoesByItsStage) {
  auto v = seen(4, 0);
  v.peers.push_back(peer("gone", Phase::in_service));
  v.peers.back().status = Status::left;
  auto silent = peer("old", Phase::in_service);
  silent.metadata.recovery_status = {};
  v.peers.push_back(silent);
  v.fleet_size = 6;
  EXPECT_DOUBLE_EQ(summarize_fleet(v).recovering_share, 0);
  v.peers.back().metadata.stage = Stage::starting;
  EXPECT_DOUBLE_EQ(summarize_fleet(v).recovering_share, 0.2);
}

}  // namespace
}  // namespace granitegap::recovery
