// Tests the fleet status computed from membership views.
#include "recovery/fleet_status.h"

#include "recovery_test_support.h"

namespace granitegap::recovery {
namespace {

TEST(FleetStatus, MissingAndRecoveringPeersAreCounted) {
  const auto status = summarize_fleet(make_view(6, 2, 2));
  EXPECT_EQ(status.peers, 10u);
  EXPECT_EQ(status.peers_in_service, 6u);
  EXPECT_DOUBLE_EQ(status.recovering_share, 0.4);
  EXPECT_DOUBLE_EQ(status.missing_share, 0.2);
  EXPECT_TRUE(status.certain);
  EXPECT_EQ(summarize_fleet(View{}).peers, 0u);
}

// A member that was just found has not advertised metadata yet, so its recovery phase is not known.
TEST(FleetStatus, PeersWithoutMetadataAreNotCounted) {
  auto view = make_view(4, 0);
  for (int k = 0; k < 4; ++k) {
    view.peers.push_back(make_peer("new" + std::to_string(k), Phase::starting));
    view.peers.back().metadata = {};
  }
  view.fleet_size = 9;
  EXPECT_EQ(summarize_fleet(view).peers, 4u);
  EXPECT_DOUBLE_EQ(summarize_fleet(view).recovering_share, 0);
}

// Two of ten peers are recovering and make up one of two zones: the share is one half, not two tenths.
TEST(FleetStatus, ZonesWeighTheSameWhateverTheirSize) {
  auto view = make_view(8, 0);
  view.peers.push_back(make_peer("x", Phase::slow_start, "b"));
  view.peers.push_back(make_peer("y", Phase::slow_start, "b"));
  view.fleet_size = 11;
  EXPECT_DOUBLE_EQ(summarize_fleet(view).recovering_share, 0.5);
}

TEST(FleetStatus, PeersThatLeftAreNotMissingAndThoseWithoutAPhaseCountByTheirStage) {
  auto view = make_view(4, 0);
  view.peers.push_back(make_peer("gone", Phase::in_service));
  view.peers.back().status = Status::left;
  auto without_phase = make_peer("old", Phase::in_service);
  without_phase.metadata.recovery_status = {};
  view.peers.push_back(without_phase);
  view.fleet_size = 6;
  EXPECT_DOUBLE_EQ(summarize_fleet(view).recovering_share, 0);
  view.peers.back().metadata.stage = Stage::starting;
  EXPECT_DOUBLE_EQ(summarize_fleet(view).recovering_share, 0.2);
}

}  // namespace
}  // namespace granitegap::recovery
