// Which donors are asked, and which responses are used.
#include "recovery/donor_selection.h"

#include "recovery_test_support.h"

namespace granitegap::recovery {
namespace {

TransferResponse answer_to(const TransferRequest& q, WarmState what = {}) {
  return {q.nonce, q.donor, q.boot_id, true, true, 0s, std::move(what)};
}

TEST(DonorSelection, AsksZoneNeighboursAndTheLongestLivedFirst) {
  View v;
  for (int k = 0; k < 6; ++k) {
    auto p = peer("p" + std::to_string(k), Phase::in_service, k < 2 ? "mine" : "other");
    p.metadata.boot_incarnation = std::uint64_t(10 - k) * 1'000'000;
    v.peers.push_back(p);
  }
  v.peers.push_back(peer("new", Phase::slow_start, "mine"));
  auto without = peer("silent", Phase::in_service, "mine");
  without.metadata.recovery_status.donor_port = 0;
  v.peers.push_back(without);
  DonorSelection l({}, "mine", 1);
  EXPECT_TRUE(l.next_requests(kStart).empty());  // not begun
  l.begin(kStart);
  EXPECT_FALSE(l.finished(kStart));  // no view yet
  l.on_view(v, kStart);
  const auto q = l.next_requests(kStart);
  ASSERT_EQ(q.size(), 3u);
  EXPECT_EQ(q[0].donor, "p1");
  EXPECT_EQ(q[1].donor, "p0");
  EXPECT_EQ(q[2].donor, "p5");
  EXPECT_EQ(q[0].address.port, 9000);
  EXPECT_TRUE(l.next_requests(kStart).empty());
}

// One that dies, one that dawdles, one that knows nothing: each gives its place to the next.
TEST(DonorSelection, WhoFailsGivesItsPlaceToTheNext) {
  DonorSelection l({}, "a", 1);
  l.begin(kStart);
  l.on_view(seen(8, 0), kStart);
  auto q = l.next_requests(kStart);
  ASSERT_EQ(q.size(), 3u);
  l.on_failure(q[0].nonce);
  EXPECT_EQ(l.next_requests(kStart).size(), 1u);
  auto blank = answer_to(q[1]);
  blank.in_service = false;
  EXPECT_EQ(l.on_response(blank, kStart), DonorSelection::Verdict::not_in_service);
  EXPECT_EQ(l.next_requests(kStart).size(), 1u);
  EXPECT_EQ(l.next_requests(kStart + 301ms).size(), 3u);  // the rest dawdled
  EXPECT_EQ(l.donor_count(), 0u);
}

// A donor that was paused in the middle and goes on sending later, and an earlier life of one, change
// nothing.
TEST(DonorSelection, LateAndForeignAnswersChangeNothing) {
  DonorSelection l({}, "a", 1);
  l.begin(kStart);
  l.on_view(seen(5, 0), kStart);
  const auto q = l.next_requests(kStart);
  EXPECT_EQ(l.on_response(answer_to(q[0]), kStart + 400ms), DonorSelection::Verdict::late);
  l.begin(kStart + 1s);
  l.on_view(seen(5, 0), kStart + 1s);
  EXPECT_EQ(l.on_response(answer_to(q[1]), kStart + 1s),
            DonorSelection::Verdict::late);  // of the time before
  const auto again = l.next_requests(kStart + 1s);
  auto other_boot_id = answer_to(again[0]);
  other_boot_id.boot_id = membership::BootId(7);
  EXPECT_EQ(l.on_response(other_boot_id, kStart + 1s), DonorSelection::Verdict::wrong_donor);
  EXPECT_EQ(l.on_response(answer_to(again[1]), kStart + 1s), DonorSelection::Verdict::accepted);
  EXPECT_EQ(l.on_response(answer_to(again[1]), kStart + 1s), DonorSelection::Verdict::late);  // once
  EXPECT_EQ(l.donor_count(), 1u);
}

// After a restart of all nobody waits for those who know nothing either.
TEST(DonorSelection, IsOverAtOnceWhereNobodyIsInService) {
  DonorSelection l({}, "a", 1);
  l.begin(kStart);
  EXPECT_FALSE(l.finished(kStart + 100ms));  // alone as yet: others may be found
  auto strangers = seen(0, 7);
  for (auto& p : strangers.peers) p.metadata.version = 0;
  l.on_view(strangers, kStart + 100ms);
  EXPECT_FALSE(l.finished(kStart + 500ms));  // met, and they have not said anything yet
  l.on_view(seen(0, 7), kStart + 100ms);
  EXPECT_FALSE(l.finished(kStart + 250ms));  // more may be met
  EXPECT_TRUE(l.finished(kStart + 300ms));
  DonorSelection alone({}, "a", 1);
  alone.begin(kStart);
  EXPECT_TRUE(alone.finished(kStart + 800ms));
}

// A view of minutes, or in doubt, lends its endpoints but not its members.
TEST(DonorSelection, AnOldViewLendsNoMembers) {
  WarmState what;
  what.members = {membership::Address{{127, 0, 0, 1}, 5, false}};
  what.endpoints = {{"e", "127.0.0.1", 9, 1s, 1, 5ms, 0s}};
  for (const bool old : {true, false}) {
    DonorSelection l({}, "a", 1);
    l.begin(kStart);
    l.on_view(seen(1, 0), kStart);
    auto o = answer_to(l.next_requests(kStart).at(0), what);
    (old ? o.view_age : o.state.endpoints[0].latency_age) = old ? Duration(3min) : Duration(0s);
    l.on_response(o, kStart);
    EXPECT_EQ(l.result().members.size(), old ? 0u : 1u);
    EXPECT_EQ(l.result().endpoints.size(), 1u);
  }
}

// The time that an answer was on its way counts as age.
TEST(DonorSelection, AnAnswerThatTookLongIsSoMuchOlder) {
  DonorSelection l({}, "a", 1);
  l.begin(kStart);
  l.on_view(seen(1, 0), kStart);
  WarmState what;
  what.cached_responses = {{"e", "/p", std::make_shared<const std::string>("v"), 1s}};
  EXPECT_EQ(l.on_response(answer_to(l.next_requests(kStart).at(0), what), kStart + 250ms),
            DonorSelection::Verdict::accepted);
  EXPECT_EQ(l.result().cached_responses.at(0).age, 1250ms);
}

}  // namespace
}  // namespace granitegap::recovery
