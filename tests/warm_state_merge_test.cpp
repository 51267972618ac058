// Tests the merging of several donors' warm states, and the state transfer codec.
#include "recovery_test_support.h"
#include "state_transfer/codec.h"

namespace granitegap::recovery {
namespace {

TEST(WarmStateMerge, ASingleOutlierHasNoEffect) {
  const auto merged =
      warm_state::merge({make_warm_state(0s, 10ms), make_warm_state(0s, 12ms), make_warm_state(0s, 30s)});
  EXPECT_EQ(merged.endpoints.at(0).latency, 12ms);
  EXPECT_EQ(
      warm_state::merge({make_warm_state(30s, 10ms), make_warm_state(0s, 10ms), make_warm_state(0s, 10ms)})
          .endpoints.at(0)
          .ejected_for,
      0s);
  EXPECT_EQ(
      warm_state::merge({make_warm_state(30s, 10ms), make_warm_state(2s, 10ms), make_warm_state(0s, 10ms)})
          .endpoints.at(0)
          .ejected_for,
      2s);
  EXPECT_TRUE(warm_state::merge({}).endpoints.empty());
}

TEST(WarmStateMerge, OlderMeasurementsWeighLess) {
  EXPECT_EQ(warm_state::merge({make_warm_state(0s, 10ms, 50s), make_warm_state(0s, 80ms, 0s)})
                .endpoints.at(0)
                .latency,
            80ms);
  EXPECT_EQ(warm_state::merge({make_warm_state(5s, 0ms), make_warm_state(0s, 10ms, 50s)})
                .endpoints.at(0)
                .ejected_for,
            5s);
}

TEST(WarmStateMerge, KeepsTheYoungestCachedResponseAndPutsThoseOfSeveralDonorsFirst) {
  const auto cached = [](std::string path, std::string body, Duration age) {
    return warm_state::CachedResponse{"e", std::move(path),
                                      std::make_shared<const std::string>(std::move(body)), age};
  };
  WarmState a, b;
  a.cached_responses = {cached("/only", "x", 1s), cached("/both", "old", 9s)};
  b.cached_responses = {cached("/both", "new", 2s)};
  const auto merged = warm_state::merge({a, b});
  ASSERT_EQ(merged.cached_responses.size(), 2u);
  EXPECT_EQ(merged.cached_responses[0], cached("/both", "new", 2s));
  EXPECT_EQ(merged.cached_responses[1].path, "/only");
  EXPECT_EQ(warm_state::age_by(merged, 5s).cached_responses[0].age, 7s);
  EXPECT_TRUE(warm_state::age_by(merged, std::nullopt).cached_responses.empty());
}

TEST(StateTransferCodec, DecodesItsOwnEncodingAndRejectsDamage) {
  TransferResponse response{77,   "n1",   membership::BootId(5),       true,
                            true, 1500ms, make_warm_state(5s, 9ms, 3s)};
  response.state.members = {membership::Address{{127, 0, 0, 1}, 5, false}};
  const auto bytes = state_transfer::encode(response);
  const auto decoded = state_transfer::decode_response(bytes);
  ASSERT_TRUE(std::holds_alternative<TransferResponse>(decoded));
  const auto& read = std::get<TransferResponse>(decoded);
  EXPECT_EQ(read.nonce, response.nonce);
  EXPECT_EQ(read.donor, response.donor);
  EXPECT_EQ(read.boot_id, response.boot_id);
  EXPECT_EQ(read.view_age, response.view_age);
  EXPECT_EQ(read.state.endpoints, response.state.endpoints);
  EXPECT_EQ(read.state.members, response.state.members);
  for (std::size_t k = 0; k < bytes.size(); ++k) {
    EXPECT_TRUE(
        std::holds_alternative<snapshot::StorageError>(state_transfer::decode_response(bytes.substr(0, k))));
    auto damaged = bytes;
    damaged[k] = char(damaged[k] ^ 0x10);
    EXPECT_TRUE(std::holds_alternative<snapshot::StorageError>(state_transfer::decode_response(damaged)))
        << k;
  }
  const auto query = state_transfer::encode(state_transfer::TransferQuery{"c", "n2", 9});
  EXPECT_EQ(std::get<state_transfer::TransferQuery>(state_transfer::decode_query(query)).nonce, 9u);
  EXPECT_TRUE(std::holds_alternative<snapshot::StorageError>(state_transfer::decode_query(bytes)));
  EXPECT_FALSE(state_transfer::parse_length_prefix(std::string("\xff\xff\xff\xff", 4), 1000));
  EXPECT_FALSE(state_transfer::parse_length_prefix(std::string(4, '\0'), 1000));
  EXPECT_EQ(state_transfer::parse_length_prefix(state_transfer::add_length_prefix(query).substr(0, 4), 1000),
            query.size());
}

}  // namespace
}  // namespace granitegap::recovery
