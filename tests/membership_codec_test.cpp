// The codec of membership's datagrams: what it makes it reads again, within the bounds that the decisions
// count with; what is not ours changes nothing.
#include <gtest/gtest.h>

#include <random>

#include "membership_udp/codec.h"

namespace granitegap::membership_udp {
namespace {

using namespace membership;

struct Maker {
  std::mt19937_64 random;
  std::uint64_t upto(std::uint64_t n) { return random() % (n + 1); }
  std::string name(std::size_t most) { return std::string(1 + upto(most - 1), char('a' + upto(25))); }
  std::uint32_t any32() { return std::uint32_t(random()) >> upto(31); }
  Address address() {
    Address a;
    a.v6 = upto(1);
    for (std::size_t i = 0; i < (a.v6 ? 16u : 4u); ++i) a.ip[i] = std::uint8_t(random());
    a.port = std::uint16_t(1 + upto(65534));
    return a;
  }
  MemberMetadata metadata() {
    MemberMetadata t{any32(),
                     Stage(upto(4)),
                     std::uint8_t(upto(100)),
                     std::uint8_t(upto(100)),
                     random(),
                     {},
                     {},
                     {},
                     {},
                     std::uint16_t(random()),
                     BootId(random()),
                     {},
                     {}};
    if (upto(1))
      t.recovery_status = {std::uint8_t(upto(kMaxRecoveryPhase)), std::uint8_t(upto(100)),
                           std::uint16_t(random()), any32()};
    t.zone = upto(1) ? name(kMaxZoneBytes) : "";
    if (upto(1)) t.conflicting_address = address();
    if (upto(1)) t.secondary_address = address();
    for (auto k = upto(kMaxLinkFaults); k > 0; --k) t.links.push_back({random(), upto(1) == 1});
    for (auto k = upto(kMaxEndpointHealth); k > 0; --k) t.endpoint_health.push_back({random(), upto(1) == 1});
    return t;
  }
  Record record() {
    Record r{name(kMaxNameBytes), address(), BootId(random()), random() >> 2,
             Status(upto(3)),     random(),  any32(),          std::nullopt};
    if (upto(1)) r.metadata = metadata();
    return r;
  }
  Body body() {
    switch (upto(8)) {
      case 0:
        return Ping{any32(), upto(1) ? name(kMaxNameBytes) : "", upto(1) ? name(kMaxNameBytes) : "",
                    upto(1) == 1};
      case 1:
        return Ack{any32(), any32(), upto(1) == 1};
      case 2:
        return PingRequest{any32(), name(kMaxNameBytes), address()};
      case 3:
        return IndirectAck{any32(), name(kMaxNameBytes), any32()};
      case 4:
        return Nack{any32()};
      case 5: {
        SyncRequest ask{any32(), upto(1) == 1, {}};
        ask.sums.resize(upto(1) ? std::size_t(8) << upto(4) : 0);
        for (auto& s : ask.sums) s = any32();
        return ask;
      }
      case 6:
        return SyncChunk{any32(), std::uint16_t(upto(65535)), upto(1) == 1};
      case 7:
        return NameConflict{BootId(random())};
      default:
        return GossipOnly{};
    }
  }
  Datagram datagram() {
    Datagram d{{name(kMaxNameBytes), address(), BootId(random()), random() >> 2, any32()}, body(), {}, 0};
    for (;;) {
      auto r = record();
      if (max_encoded_size(d) + max_encoded_size(r) > kMaxDatagram || upto(7) == 0) break;
      d.updates.push_back(std::move(r));
    }
    if (upto(3) == 0 && max_encoded_size(d) + 3 < kMaxDatagram)
      d.padding = std::uint16_t(upto(kMaxDatagram - max_encoded_size(d) - 3));
    return d;
  }
};

TEST(MembershipCodec, ReadsWhatItMakesWithinItsBounds) {
  Maker make{std::mt19937_64(1)};
  const std::string cluster(kMaxNameBytes, 'c');
  for (int k = 0; k < 5000; ++k) {
    const auto d = make.datagram();
    const auto bytes = encode(d, cluster);
    ASSERT_LE(bytes.size(), max_encoded_size(d));
    const auto back = decode(bytes, cluster);
    ASSERT_TRUE(std::holds_alternative<Datagram>(back));
    ASSERT_EQ(std::get<Datagram>(back), d);
  }
}

TEST(MembershipCodec, DamageIsACountedValue) {
  Maker make{std::mt19937_64(2)};
  for (int k = 0; k < 10000; ++k) {
    auto bytes = encode(make.datagram(), "c");
    const auto kind = make.upto(2);
    if (kind == 0) {
      const int flipped_bit = 1 << make.upto(7);
      auto& damaged = bytes[make.upto(bytes.size() - 1)];
      damaged = char(damaged ^ flipped_bit);
    }
    if (kind == 1) bytes.resize(make.upto(bytes.size() - 1));
    if (kind == 2) bytes += std::string(1 + make.upto(40), 'x');
    ASSERT_TRUE(std::holds_alternative<DecodeError>(decode(bytes, "c")));
  }
}

// Seeded mutations behind a checksum that is right, so that the reader itself meets them.
TEST(MembershipCodec, AnythingBehindAGoodChecksumIsReadOrRefused) {
  Maker make{std::mt19937_64(3)};
  int read = 0;
  for (int k = 0; k < 20000; ++k) {
    auto bytes = encode(make.datagram(), "c");
    for (auto flips = 1 + make.upto(6); flips > 0; --flips)
      bytes[12 + make.upto(bytes.size() - 13)] = char(make.random());
    if (make.upto(3) == 0) bytes.resize(12 + make.upto(bytes.size() - 12));
    const auto again = reseal(bytes);
    const auto back = decode(again, "c");
    if (const auto* d = std::get_if<Datagram>(&back)) {
      ++read;
      ASSERT_LE(d->from.name.size(), kMaxNameBytes);
      for (const auto& r : d->updates) ASSERT_TRUE(!r.name.empty() && r.name.size() <= kMaxNameBytes);
      (void)encode(*d, "c");
    }
  }
  EXPECT_GT(read, 0);
}

TEST(MembershipCodec, AnotherClusterIsForeign) {
  Maker make{std::mt19937_64(4)};
  const auto bytes = encode(make.datagram(), "one");
  EXPECT_EQ(std::get<DecodeError>(decode(bytes, "two")), DecodeError::other_cluster);
  EXPECT_EQ(std::get<DecodeError>(decode(std::string(2000, 'x'), "two")), DecodeError::oversized);
  EXPECT_EQ(std::get<DecodeError>(decode("", "two")), DecodeError::foreign);
}

TEST(MembershipCodec, QueriesAndRepliesBelongToNoCluster) {
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
