// Warm states of several donors merged, and the bytes that carry them.
#include "recovery_test_support.h"
#include "state_transfer/codec.h"

namespace granitegap::recovery {
namespace {

TEST(Merged, OneThatDiffersWildlyMovesNothing) {
  const auto m = warm_state::merge({says(0s, 10ms), says(0s, 12ms), says(0s, 30s)});
  EXPECT_EQ(m.endpoints.at(0).latency, 12ms);
  EXPECT_EQ(warm_state::merge({says(30s, 10ms), says(0s, 10ms), says(0s, 10ms)}).endpoints.at(0).ejected_for,
            0s);
  EXPECT_EQ(warm_state::merge({says(30s, 10ms), says(2s, 10ms), says(0s, 10ms)}).endpoints.at(0).ejected_for,
            2s);
  EXPECT_TRUE(warm_state::merge({}).endpoints.empty());
}

TEST(Merged, WhatWasHeardLongAgoWeighsLess) {
  EXPECT_EQ(warm_state::merge({says(0s, 10ms, 50s), says(0s, 80ms, 0s)}).endpoints.at(0).latency, 80ms);
  EXPECT_EQ(warm_state::merge({says(5s, 0ms), says(0s, 10ms, 50s)}).endpoints.at(0).ejected_for, 5s);
}

TEST(Merged, OfKeptAnswersTheYoungestAndThoseOfSeveralFirst) {
  const auto kept = [](std::string path, std::string body, Duration age) {
    return warm_state::CachedResponse{"e", std::move(path),
                                      std::make_shared<const std::string>(std::move(body)), age};
  };
  WarmState a, b;
  a.cached_responses = {kept("/only", "x", 1s), kept("/both", "old", 9s)};
  b.cached_responses = {kept("/both", "new", 2s)};
  const auto m = warm_state::merge({a, b});
  ASSERT_EQ(m.cached_responses.size(), 2u);
  EXPECT_EQ(m.cached_responses[0], kept("/both", "new", 2s));
  EXPECT_EQ(m.cached_responses[1].path, "/only");
  EXPECT_EQ(warm_state::age_by(m, 5s).cached_responses[0].age, 7s);
  EXPECT_TRUE(warm_state::age_by(m, std::nullopt).cached_responses.empty());
}

TEST(LearningCodec, ReadsWhatItWroteAndNothingElse) {
  TransferResponse o{77, "n1", membership::BootId(5), true, true, 1500ms, says(5s, 9ms, 3s)};
  o.state.members = {membership::Address{{127, 0, 0, 1}, 5, false}};
  const auto bytes = state_transfer::encode(o);
  const auto back = state_transfer::decode_response(bytes);
  ASSERT_TRUE(std::holds_alternative<TransferResponse>(back));
  const auto& read = std::get<TransferResponse>(back);
  EXPECT_EQ(read.nonce, o.nonce);
  EXPECT_EQ(read.donor, o.donor);
  EXPECT_EQ(read.boot_id, o.boot_id);
  EXPECT_EQ(read.view_age, o.view_age);
  EXPECT_EQ(read.state.endpoints, o.state.endpoints);
  EXPECT_EQ(read.state.members, o.state.members);
  for (std::size_t k = 0; k < bytes.size(); ++k) {
    EXPECT_TRUE(
        std::holds_alternative<snapshot::StorageError>(state_transfer::decode_response(bytes.substr(0, k))));
    auto bad = bytes;
    bad[k] = char(bad[k] ^ 0x10);
    EXPECT_TRUE(std::holds_alternative<snapshot::StorageError>(state_transfer::decode_response(bad))) << k;
  }
  const auto asked = state_transfer::encode(state_transfer::TransferQuery{"c", "n2", 9});
  EXPECT_EQ(std::get<state_transfer::TransferQuery>(state_transfer::decode_query(asked)).nonce, 9u);
  EXPECT_TRUE(std::holds_alternative<snapshot::StorageError>(state_transfer::decode_query(bytes)));
  EXPECT_FALSE(state_transfer::parse_length_prefix(std::string("\xff\xff\xff\xff", 4), 1000));
  EXPECT_FALSE(state_transfer::parse_length_prefix(std::string(4, '\0'), 1000));
  EXPECT_EQ(state_transfer::parse_length_prefix(state_transfer::add_length_prefix(asked).substr(0, 4), 1000),
            asked.size());
}

}  // namespace
}  // namespace granitegap::recovery
