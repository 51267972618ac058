// Cache filling for the fleet: the choice of a key's owner, and the requests and responses between members.
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
  std::map<std::uint64_t, int> share;
  std::vector<KeyOwnerSelector> all(kMembers);
  for (std::size_t n = 0; n < kMembers; ++n) all[n].update_view(simulated_view(n, kMembers));
  for (int k = 0; k < 800; ++k) {
    const auto key = cache_fill_key("e", "/" + std::to_string(k));
    std::set<std::uint64_t> named;
    for (std::size_t n = 0; n < kMembers; ++n) {
      const auto o = all[n].find_owner(key, {});
      named.insert(o ? o->member_hash : simulated_member(n).hash);
    }
    ASSERT_EQ(named.size(), 1u);
    ++share[*named.begin()];
  }
  for (const auto& [who, keys] : share) EXPECT_NEAR(keys, 100, 40);
  EXPECT_EQ(share.size(), kMembers);
  // When a member leaves, only its keys move.
  auto less = simulated_view(0, kMembers);
  less.peers.erase(less.peers.begin() + 2);
  KeyOwnerSelector after;
  after.update_view(less);
  for (int k = 0; k < 800; ++k) {
    const auto key = cache_fill_key("e", "/" + std::to_string(k));
    const auto before = all[0].find_owner(key, {});
    const auto now = after.find_owner(key, {});
    if (!before || before->member_hash != simulated_member(3).hash) {
      EXPECT_EQ(before ? before->member_hash : 0, now ? now->member_hash : 0);
    }
  }
}

TEST(KeyOwnerSelector, NoOwnerWithAnUnreliableViewOrWithoutEligibleMembers) {
  const auto asked = [](const std::function<void(View&)>& change) {
    auto v = simulated_view(0, 3);
    change(v);
    KeyOwnerSelector selector;
    selector.update_view(v);
    int n = 0;
    for (int k = 0; k < 100; ++k)
      n += selector.find_owner(cache_fill_key("e", std::to_string(k)), {}).has_value();
    return n;
  };
  EXPECT_GT(asked([](View&) {}), 40);
  EXPECT_EQ(asked([](View& v) { v.has_quorum = false; }), 0);
  EXPECT_EQ(asked([](View& v) { v.uncertain = true; }), 0);
  EXPECT_EQ(asked([](View& v) { v.local_connectivity = membership::LocalConnectivity::inbound_broken; }), 0);
  EXPECT_EQ(asked([](View& v) { v.name_conflict = true; }), 0);
  EXPECT_EQ(asked([](View& v) {
              v.peers[0].metadata.cache_fill_port = 0;
              v.peers[1].status = Status::suspect;
            }),
            0);
  EXPECT_EQ(asked([](View& v) {
              v.peers[0].metadata.stage = membership::Stage::draining;
              v.peers[1].certain_status = Status::dead;
            }),
            0);
}

TEST(KeyOwnerSelector, FailingOwnerIsSkippedWithBackoffUntilItRestarts) {
  auto v = simulated_view(0, 2);
  KeyOwnerSelector selector;
  selector.update_view(v);
  std::uint64_t key = 0;
  while (!selector.find_owner(key, {})) ++key;
  TimePoint now(1h);
  selector.on_failure(simulated_member(1).hash, now);
  selector.on_failure(simulated_member(1).hash,
                      now);  // a request that was in flight together with the first one
  EXPECT_FALSE(selector.find_owner(key, now + 499ms));
  EXPECT_TRUE(selector.find_owner(key, now + 500ms));
  selector.on_failure(simulated_member(1).hash, now + 500ms);
  EXPECT_FALSE(selector.find_owner(key, now + 1400ms));
  selector.update_view(v);  // a new view alone does not end the backoff
  EXPECT_FALSE(selector.find_owner(key, now + 1400ms));
  EXPECT_TRUE(selector.find_owner(key, now + 1500ms));
  selector.on_failure(simulated_member(1).hash, now + 1500ms);
  v.peers[0].boot_id = BootId(7);
  selector.update_view(v);
  EXPECT_EQ(selector.find_owner(key, now + 1500ms)->boot_id, BootId(7));
}

TEST(CacheFillRequest, RoundTripsAndRejectsMalformedInput) {
  const CacheFillRequest q{BootId(0xfedcba9876543210), "e.example.org:80", "/e?r=a%20b/c", 10s, 150ms};
  EXPECT_EQ(parse_request_target(to_request_target(q)), q);
  for (const char* bad : {"", "/", "/fill/", "/fill/1/2", "/fill/x/1/1/e/p", "/fill/1/-1/1/e/p",
                          "/fill/1/1/99999999999999999999/e/p", "/fill/1/1/1/e", "/fill/1/1/1//p",
                          "/fill/1/1/1/e/p q", "/fill/1/1/1/e/p\r\nHost: x", "/other/1/1/1/e/p"})
    EXPECT_FALSE(parse_request_target(bad)) << bad;
  EXPECT_FALSE(parse_request_target("/fill/1/1/1/e/" + std::string(5000, 'p')));
  EXPECT_EQ(parse_fill_body(encode_fill_body(3s, "a\nb"))->body, "a\nb");
  EXPECT_EQ(parse_fill_body(encode_fill_body(3s, ""))->age, 3s);
  for (const char* bad : {"", "5", "-5\nx", "x\nx", "99999999999999999999\nx"})
    EXPECT_FALSE(parse_fill_body(bad)) << bad;
}

}  // namespace
}  // namespace granitegap::deps
