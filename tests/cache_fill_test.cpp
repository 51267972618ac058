// Tests the cache fills of the fleet: the choice of the key owner, and the encoding of requests and
// responses.
#include "deps/cache_fill.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>

#include "standin/cache_fill_simulation.h"

namespace granitegap::deps {
namespace {

using membership::BootId;
using membership::Status;
using membership::View;
using namespace std::chrono_literals;

TEST(KeyOwnerSelector, AllMembersAgreeAndKeysAreSpreadEvenly) {
  constexpr std::size_t kMembers = 8;
  std::map<std::uint64_t, int> keys_by_owner;
  std::vector<KeyOwnerSelector> selectors(kMembers);
  for (std::size_t member = 0; member < kMembers; ++member)
    selectors[member].update_view(simulated_view(member, kMembers));
  for (int path = 0; path < 800; ++path) {
    const auto key = cache_fill_key("e", "/" + std::to_string(path));
    std::set<std::uint64_t> owners;
    for (std::size_t member = 0; member < kMembers; ++member) {
      const auto owner = selectors[member].find_owner(key, {});
      owners.insert(owner ? owner->member_hash : simulated_member(member).hash);
    }
    ASSERT_EQ(owners.size(), 1u);
    ++keys_by_owner[*owners.begin()];
  }
  for (const auto& [owner, keys] : keys_by_owner) EXPECT_NEAR(keys, 100, 40);
  EXPECT_EQ(keys_by_owner.size(), kMembers);
  // When a member leaves, only its keys move.
  auto view_after_leave = simulated_view(0, kMembers);
  view_after_leave.peers.erase(view_after_leave.peers.begin() + 2);
  KeyOwnerSelector selector_after_leave;
  selector_after_leave.update_view(view_after_leave);
  for (int path = 0; path < 800; ++path) {
    const auto key = cache_fill_key("e", "/" + std::to_string(path));
    const auto before = selectors[0].find_owner(key, {});
    const auto after = selector_after_leave.find_owner(key, {});
    if (!before || before->member_hash != simulated_member(3).hash) {
      EXPECT_EQ(before ? before->member_hash : 0, after ? after->member_hash : 0);
    }
  }
}

TEST(KeyOwnerSelector, NoOwnerWithAnUnreliableViewOrWithoutEligibleMembers) {
  // Returns for how many of 100 keys another member is the owner after `change` of the view.
  const auto keys_with_owner = [](const std::function<void(View&)>& change) {
    auto view = simulated_view(0, 3);
    change(view);
    KeyOwnerSelector selector;
    selector.update_view(view);
    int count = 0;
    for (int path = 0; path < 100; ++path)
      count += selector.find_owner(cache_fill_key("e", std::to_string(path)), {}).has_value();
    return count;
  };
  EXPECT_GT(keys_with_owner([](View&) {}), 40);
  EXPECT_EQ(keys_with_owner([](View& view) { view.has_quorum = false; }), 0);
  EXPECT_EQ(keys_with_owner([](View& view) { view.uncertain = true; }), 0);
  EXPECT_EQ(keys_with_owner(
                [](View& view) { view.local_connectivity = membership::LocalConnectivity::inbound_broken; }),
            0);
  EXPECT_EQ(keys_with_owner([](View& view) { view.name_conflict = true; }), 0);
  EXPECT_EQ(keys_with_owner([](View& view) {
              view.peers[0].metadata.cache_fill_port = 0;
              view.peers[1].status = Status::suspect;
            }),
            0);
  EXPECT_EQ(keys_with_owner([](View& view) {
              view.peers[0].metadata.stage = membership::Stage::draining;
              view.peers[1].certain_status = Status::dead;
            }),
            0);
}

TEST(KeyOwnerSelector, FailingOwnerIsSkippedWithBackoffUntilItRestarts) {
  auto view = simulated_view(0, 2);
  KeyOwnerSelector selector;
  selector.update_view(view);
  std::uint64_t key = 0;
  while (!selector.find_owner(key, {})) ++key;
  TimePoint now(1h);
  selector.on_failure(simulated_member(1).hash, now);
  // The second failure is that of a request that was in flight at the same time as the first one.
  selector.on_failure(simulated_member(1).hash, now);
  EXPECT_FALSE(selector.find_owner(key, now + 499ms));
  EXPECT_TRUE(selector.find_owner(key, now + 500ms));
  selector.on_failure(simulated_member(1).hash, now + 500ms);
  EXPECT_FALSE(selector.find_owner(key, now + 1400ms));
  selector.update_view(view);  // a new view alone does not end the backoff
  EXPECT_FALSE(selector.find_owner(key, now + 1400ms));
  EXPECT_TRUE(selector.find_owner(key, now + 1500ms));
  selector.on_failure(simulated_member(1).hash, now + 1500ms);
  view.peers[0].boot_id = BootId(7);
  selector.update_view(view);
  EXPECT_EQ(selector.find_owner(key, now + 1500ms)->boot_id, BootId(7));
}

TEST(CacheFillRequest, RoundTripsAndRejectsMalformedInput) {
  const CacheFillRequest request{BootId(0xfedcba9876543210), "e.example.org:80", "/e?r=a%20b/c", 10s, 150ms};
  EXPECT_EQ(parse_request_target(to_request_target(request)), request);
  for (const char* malformed : {"", "/", "/fill/", "/fill/1/2", "/fill/x/1/1/e/p", "/fill/1/-1/1/e/p",
                                "/fill/1/1/99999999999999999999/e/p", "/fill/1/1/1/e", "/fill/1/1/1//p",
                                "/fill/1/1/1/e/p q", "/fill/1/1/1/e/p\r\nHost: x", "/other/1/1/1/e/p"})
    EXPECT_FALSE(parse_request_target(malformed)) << malformed;
  EXPECT_FALSE(parse_request_target("/fill/1/1/1/e/" + std::string(5000, 'p')));
  EXPECT_EQ(parse_fill_body(encode_fill_body(3s, "a\nb"))->body, "a\nb");
  EXPECT_EQ(parse_fill_body(encode_fill_body(3s, ""))->age, 3s);
  for (const char* malformed : {"", "5", "-5\nx", "x\nx", "99999999999999999999\nx"})
    EXPECT_FALSE(parse_fill_body(malformed)) << malformed;
}

}  // namespace
}  // namespace granitegap::deps
