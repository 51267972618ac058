// Codec of membership datagrams: decoding returns what was encoded, encoded sizes stay within the bounds that
// the protocol plans with, and bytes that are damaged or of another cluster are reported as errors.
#include <gtest/gtest.h>

#include <random>

#include "membership_udp/codec.h"

namespace granitegap::membership_udp {
namespace {

using namespace membership;

// Generates random protocol values.
struct Generator {
  std::mt19937_64 random;
  std::uint64_t up_to(std::uint64_t n) { return random() % (n + 1); }
  std::string name(std::size_t max_bytes) {
    return std::string(1 + up_to(max_bytes - 1), char('a' + up_to(25)));
  }
  std::uint32_t random_uint32() { return std::uint32_t(random()) >> up_to(31); }
  Address address() {
    Address a;
    a.v6 = up_to(1);
    for (std::size_t i = 0; i < (a.v6 ? 16u : 4u); ++i) a.ip[i] = std::uint8_t(random());
    a.port = std::uint16_t(1 + up_to(65534));
    return a;
  }
  MemberMetadata metadata() {
    MemberMetadata metadata{random_uint32(),
                            Stage(up_to(4)),
                            std::uint8_t(up_to(100)),
                            std::uint8_t(up_to(100)),
                            random(),
                            {},
                            {},
                            {},
                            {},
                            std::uint16_t(random()),
                            BootId(random()),
                            {},
                            {}};
    if (up_to(1))
      metadata.recovery_status = {std::uint8_t(up_to(kMaxRecoveryPhase)), std::uint8_t(up_to(100)),
                                  std::uint16_t(random()), random_uint32()};
    metadata.zone = up_to(1) ? name(kMaxZoneBytes) : "";
    if (up_to(1)) metadata.conflicting_address = address();
    if (up_to(1)) metadata.secondary_address = address();
    for (auto k = up_to(kMaxLinkFaults); k > 0; --k) metadata.links.push_back({random(), up_to(1) == 1});
    for (auto k = up_to(kMaxEndpointHealth); k > 0; --k)
      metadata.endpoint_health.push_back({random(), up_to(1) == 1});
    return metadata;
  }
  Record record() {
    Record r{name(kMaxNameBytes), address(), BootId(random()), random() >> 2,
             Status(up_to(3)),    random(),  random_uint32(),  std::nullopt};
    if (up_to(1)) r.metadata = metadata();
    return r;
  }
  Body body() {
    switch (up_to(8)) {
      case 0:
        return Ping{random_uint32(), up_to(1) ? name(kMaxNameBytes) : "", up_to(1) ? name(kMaxNameBytes) : "",
                    up_to(1) == 1};
      case 1:
        return Ack{random_uint32(), random_uint32(), up_to(1) == 1};
      case 2:
        return PingRequest{random_uint32(), name(kMaxNameBytes), address()};
      case 3:
        return IndirectAck{random_uint32(), name(kMaxNameBytes), random_uint32()};
      case 4:
        return Nack{random_uint32()};
      case 5: {
        SyncRequest request{random_uint32(), up_to(1) == 1, {}};
        request.sums.resize(up_to(1) ? std::size_t(8) << up_to(4) : 0);
        for (auto& sum : request.sums) sum = random_uint32();
        return request;
      }
      case 6:
        return SyncChunk{random_uint32(), std::uint16_t(up_to(65535)), up_to(1) == 1};
      case 7:
        return NameConflict{BootId(random())};
      default:
        return GossipOnly{};
    }
  }
  Datagram datagram() {
    Datagram d{
        {name(kMaxNameBytes), address(), BootId(random()), random() >> 2, random_uint32()}, body(), {}, 0};
    for (;;) {
      auto r = record();
      if (max_encoded_size(d) + max_encoded_size(r) > kMaxDatagram || up_to(7) == 0) break;
      d.updates.push_back(std::move(r));
    }
    if (up_to(3) == 0 && max_encoded_size(d) + 3 < kMaxDatagram)
      d.padding = std::uint16_t(up_to(kMaxDatagram - max_encoded_size(d) - 3));
    return d;
  }
};

TEST(MembershipCodec, DecodesWhatItEncodedWithinTheMaximumSize) {
  Generator generator{std::mt19937_64(1)};
  const std::string cluster(kMaxNameBytes, 'c');
  for (int k = 0; k < 5000; ++k) {
    const auto d = generator.datagram();
    const auto bytes = encode(d, cluster);
    ASSERT_LE(bytes.size(), max_encoded_size(d));
    const auto decoded = decode(bytes, cluster);
    ASSERT_TRUE(std::holds_alternative<Datagram>(decoded));
    ASSERT_EQ(std::get<Datagram>(decoded), d);
  }
}

TEST(MembershipCodec, DamagedDatagramIsADecodeError) {
  Generator generator{std::mt19937_64(2)};
  for (int k = 0; k < 10000; ++k) {
    auto bytes = encode(generator.datagram(), "c");
    const auto mutation = generator.up_to(2);
    if (mutation == 0) {
      const int flipped_bit = 1 << generator.up_to(7);
      auto& damaged = bytes[generator.up_to(bytes.size() - 1)];
      damaged = char(damaged ^ flipped_bit);
    }
    if (mutation == 1) bytes.resize(generator.up_to(bytes.size() - 1));
    if (mutation == 2) bytes += std::string(1 + generator.up_to(40), 'x');
    ASSERT_TRUE(std::holds_alternative<DecodeError>(decode(bytes, "c")));
  }
}

// Seeded mutations under a valid checksum, so that the field checks of the decoder are reached.
TEST(MembershipCodec, MutationUnderAValidChecksumIsDecodedWithinBoundsOrRejected) {
  Generator generator{std::mt19937_64(3)};
  int decoded_count = 0;
  for (int k = 0; k < 20000; ++k) {
    auto bytes = encode(generator.datagram(), "c");
    for (auto flips = 1 + generator.up_to(6); flips > 0; --flips)
      bytes[12 + generator.up_to(bytes.size() - 13)] = char(generator.random());
    if (generator.up_to(3) == 0) bytes.resize(12 + generator.up_to(bytes.size() - 12));
    const auto resealed = reseal(bytes);
    const auto decoded = decode(resealed, "c");
    if (const auto* d = std::get_if<Datagram>(&decoded)) {
      ++decoded_count;
      ASSERT_LE(d->from.name.size(), kMaxNameBytes);
      for (const auto& r : d->updates) ASSERT_TRUE(!r.name.empty() && r.name.size() <= kMaxNameBytes);
      (void)encode(*d, "c");
    }
  }
  EXPECT_GT(decoded_count, 0);
}

TEST(MembershipCodec, DatagramsOfOtherClustersAndFormatsAreRejected) {
  Generator generator{std::mt19937_64(4)};
  const auto bytes = encode(generator.datagram(), "one");
  EXPECT_EQ(std::get<DecodeError>(decode(bytes, "two")), DecodeError::other_cluster);
  EXPECT_EQ(std::get<DecodeError>(decode(std::string(2000, 'x'), "two")), DecodeError::oversized);
  EXPECT_EQ(std::get<DecodeError>(decode("", "two")), DecodeError::foreign);
}

TEST(MembershipCodec, QueriesAndRepliesAreDecodedForAnyCluster) {
  const auto q = decode(encode(StatusQuery{7, 3}), "any");
  ASSERT_TRUE(std::holds_alternative<StatusQuery>(q));
  EXPECT_EQ(std::get<StatusQuery>(q).from, 3u);
  StatusReply reply;
  reply.cluster = "c";
  reply.name = "n1";
  reply.members.push_back({"n2",
                           "127.0.0.1:9",
                           "z",
                           "",
                           5,
                           Stage::serving,
                           Status::suspect,
                           Status::alive,
                           false,
                           99,
                           50,
                           20,
                           {3, 45, 9001, 0},
                           {"n3"},
                           {}});
  reply.recovery_report.emplace();
  reply.recovery_report->phase = "ramping";
  reply.recovery_report->reached_ms[2] = 1500;
  reply.recovery_report->sources = {{"n4", 20}};
  const auto r = decode(encode(reply), "other");
  ASSERT_TRUE(std::holds_alternative<StatusReply>(r));
  EXPECT_EQ(std::get<StatusReply>(r).members.at(0).unheard_from.at(0), "n3");
  EXPECT_EQ(std::get<StatusReply>(r).members.at(0).status, Status::suspect);
  EXPECT_EQ(std::get<StatusReply>(r).members.at(0).recovery_status.offered_percent, 45);
  ASSERT_TRUE(std::get<StatusReply>(r).recovery_report);
  EXPECT_EQ(std::get<StatusReply>(r).recovery_report->reached_ms, reply.recovery_report->reached_ms);
  EXPECT_EQ(std::get<StatusReply>(r).recovery_report->sources.at(0).name, "n4");
  EXPECT_TRUE(std::get<StatusQuery>(decode(encode(StatusQuery{7, 3, true}), "any")).recovery_report);
}

}  // namespace
}  // namespace granitegap::membership_udp
