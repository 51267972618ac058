// Tests which donors get requests and which responses are accepted.
#include "recovery/donor_selection.h"

#include "recovery_test_support.h"

namespace granitegap::recovery {
namespace {

// Returns a valid response to a request, from a donor in service with a certain view.
TransferResponse response_to(const TransferRequest& request, WarmState state = {}) {
  return {request.nonce, request.donor, request.boot_id, true, true, 0s, std::move(state)};
}

TEST(DonorSelection, RequestsGoToTheOwnZoneAndTheLongestRunningMembersFirst) {
  View view;
  for (int k = 0; k < 6; ++k) {
    auto peer = make_peer("p" + std::to_string(k), Phase::in_service, k < 2 ? "mine" : "other");
    peer.metadata.boot_incarnation = std::uint64_t(10 - k) * 1'000'000;
    view.peers.push_back(peer);
  }
  view.peers.push_back(make_peer("new", Phase::slow_start, "mine"));
  auto without_port = make_peer("silent", Phase::in_service, "mine");
  without_port.metadata.recovery_status.donor_port = 0;
  view.peers.push_back(without_port);
  DonorSelection selection({}, "mine", 1);
  EXPECT_TRUE(selection.next_requests(kStart).empty());  // begin() has not been called
  selection.begin(kStart);
  EXPECT_FALSE(selection.finished(kStart));  // no view yet
  selection.on_view(view, kStart);
  const auto requests = selection.next_requests(kStart);
  ASSERT_EQ(requests.size(), 3u);
  EXPECT_EQ(requests[0].donor, "p1");
  EXPECT_EQ(requests[1].donor, "p0");
  EXPECT_EQ(requests[2].donor, "p5");
  EXPECT_EQ(requests[0].address.port, 9000);
  EXPECT_TRUE(selection.next_requests(kStart).empty());
}

// Covers a failed request, a donor that is not in service, and requests that time out.
TEST(DonorSelection, ADonorThatFailsIsReplacedByTheNextCandidate) {
  DonorSelection selection({}, "a", 1);
  selection.begin(kStart);
  selection.on_view(make_view(8, 0), kStart);
  auto requests = selection.next_requests(kStart);
  ASSERT_EQ(requests.size(), 3u);
  selection.on_failure(requests[0].nonce);
  EXPECT_EQ(selection.next_requests(kStart).size(), 1u);
  auto not_in_service = response_to(requests[1]);
  not_in_service.in_service = false;
  EXPECT_EQ(selection.on_response(not_in_service, kStart), DonorSelection::Verdict::not_in_service);
  EXPECT_EQ(selection.next_requests(kStart).size(), 1u);
  EXPECT_EQ(selection.next_requests(kStart + 301ms).size(), 3u);  // the open requests have timed out
  EXPECT_EQ(selection.donor_count(), 0u);
}

// Guards against late responses of a donor that was paused during the transfer, and against responses of
// another incarnation of a donor.
TEST(DonorSelection, LateResponsesAndThoseOfAnotherBootIdAreNotAccepted) {
  DonorSelection selection({}, "a", 1);
  selection.begin(kStart);
  selection.on_view(make_view(5, 0), kStart);
  const auto requests = selection.next_requests(kStart);
  EXPECT_EQ(selection.on_response(response_to(requests[0]), kStart + 400ms), DonorSelection::Verdict::late);
  selection.begin(kStart + 1s);
  selection.on_view(make_view(5, 0), kStart + 1s);
  // A response to a request of the previous selection.
  EXPECT_EQ(selection.on_response(response_to(requests[1]), kStart + 1s), DonorSelection::Verdict::late);
  const auto new_requests = selection.next_requests(kStart + 1s);
  auto other_boot_id = response_to(new_requests[0]);
  other_boot_id.boot_id = membership::BootId(7);
  EXPECT_EQ(selection.on_response(other_boot_id, kStart + 1s), DonorSelection::Verdict::wrong_donor);
  EXPECT_EQ(selection.on_response(response_to(new_requests[1]), kStart + 1s),
            DonorSelection::Verdict::accepted);
  // A duplicate response.
  EXPECT_EQ(selection.on_response(response_to(new_requests[1]), kStart + 1s), DonorSelection::Verdict::late);
  EXPECT_EQ(selection.donor_count(), 1u);
}

// After a restart of the complete fleet no member has state to transfer, so that waiting would delay
// recovery.
TEST(DonorSelection, FinishesAfterTheSettleTimeWhenNoMemberIsInService) {
  DonorSelection selection({}, "a", 1);
  selection.begin(kStart);
  EXPECT_FALSE(selection.finished(kStart + 100ms));  // no view yet: members may be found
  auto without_metadata = make_view(0, 7);
  for (auto& peer : without_metadata.peers) peer.metadata.version = 0;
  selection.on_view(without_metadata, kStart + 100ms);
  EXPECT_FALSE(selection.finished(kStart + 500ms));  // members without metadata may turn out to be in service
  selection.on_view(make_view(0, 7), kStart + 100ms);
  EXPECT_FALSE(selection.finished(kStart + 250ms));  // more members may be found
  EXPECT_TRUE(selection.finished(kStart + 300ms));
  DonorSelection alone({}, "a", 1);
  alone.begin(kStart);
  EXPECT_TRUE(alone.finished(kStart + 800ms));
}

// A donor whose view is several minutes old may list members that are gone.
TEST(DonorSelection, MembersOfADonorWithAnOldViewAreNotUsed) {
  WarmState state;
  state.members = {membership::Address{{127, 0, 0, 1}, 5, false}};
  state.endpoints = {{"e", "127.0.0.1", 9, 1s, 1, 5ms, 0s}};
  for (const bool old : {true, false}) {
    DonorSelection selection({}, "a", 1);
    selection.begin(kStart);
    selection.on_view(make_view(1, 0), kStart);
    auto response = response_to(selection.next_requests(kStart).at(0), state);
    (old ? response.view_age : response.state.endpoints[0].latency_age) = old ? Duration(3min) : Duration(0s);
    selection.on_response(response, kStart);
    EXPECT_EQ(selection.result().members.size(), old ? 0u : 1u);
    EXPECT_EQ(selection.result().endpoints.size(), 1u);
  }
}

// The response time counts towards the age of the state.
TEST(DonorSelection, ResponseTimeIsAddedToTheAgeOfCachedResponses) {
  DonorSelection selection({}, "a", 1);
  selection.begin(kStart);
  selection.on_view(make_view(1, 0), kStart);
  WarmState state;
  state.cached_responses = {{"e", "/p", std::make_shared<const std::string>("v"), 1s}};
  EXPECT_EQ(selection.on_response(response_to(selection.next_requests(kStart).at(0), state), kStart + 250ms),
            DonorSelection::Verdict::accepted);
  EXPECT_EQ(selection.result().cached_responses.at(0).age, 1250ms);
}

}  // namespace
}  // namespace granitegap::recovery
