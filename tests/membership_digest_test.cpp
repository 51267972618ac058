// Digests: like views have like ones, and a difference shows in its own bucket alone.
#include <gtest/gtest.h>

#include "membership/digest.h"

namespace granitegap::membership {
namespace {

Record record(std::size_t n, Incarnation incarnation = 1, Status status = Status::alive) {
  Record r;
  r.name = "n" + std::to_string(n);
  r.address.port = std::uint16_t(9000 + n);
  r.boot_id = BootId(n + 1);
  r.incarnation = incarnation;
  r.status = status;
  r.metadata = MemberMetadata{};
  r.metadata->version = 1;
  return r;
}

struct Held {
  Options options;
  Roster roster{options};
  explicit Held(std::size_t from, std::size_t to) {
    for (auto n = from; n < to; ++n) take(record(n));
  }
  void take(const Record& r) {
    Index i = kNoMember;
    roster.merge(r, TimePoint(std::chrono::seconds(1)), i);
  }
  std::vector<std::uint32_t> digest(const Record& own, std::uint32_t seed = 7) const {
    return compute_digest(roster, own, 32, seed);
  }
};

TEST(Digest, MembersOfOneFleetAgreeThoughNoneListsItself) {
  Held a(1, 200), b(0, 199);
  EXPECT_TRUE(differing_buckets(a.digest(record(0)), b.digest(record(199))).none());
  EXPECT_FALSE(differing_buckets(a.digest(record(0), 7), b.digest(record(199), 8)).none());
}

TEST(Digest, ADifferenceShowsInItsBucketAlone) {
  for (const auto& change :
       {record(42, 2), record(42, 1, Status::suspect), record(42, 1, Status::dead), record(500)}) {
    Held a(0, 200), b(0, 200);
    b.take(change);
    const auto d = differing_buckets(a.digest(record(999)), b.digest(record(999)));
    EXPECT_EQ(d.count(), 1u) << change.name;
    EXPECT_TRUE(d[bucket_index(name_hash(change.name), 32)]);
  }
}

TEST(Digest, LoadIsNoDifferenceAndAStageIs) {
  Held a(0, 50), b(0, 50);
  auto warmer = record(4);
  warmer.metadata->version = 2;
  warmer.metadata->warmup_percent = 50;
  b.take(warmer);
  EXPECT_TRUE(differing_buckets(a.digest(record(99)), b.digest(record(99))).none());
  warmer.metadata->version = 3;
  warmer.metadata->stage = Stage::serving;
  b.take(warmer);
  EXPECT_EQ(differing_buckets(a.digest(record(99)), b.digest(record(99))).count(), 1u);
}

// Where others are told what it has learned and whether it is in service, lost once, still comes by an
// exchange.
TEST(Digest, AWayBackIsADifferenceAndWhatIsOfferedIsNone) {
  for (const auto& course :
       {RecoveryStatus{4, 100, 0, 0}, RecoveryStatus{0, 100, 9000, 0}, RecoveryStatus{0, 100, 0, 1500}}) {
    Held a(0, 50), b(0, 50);
    auto metadata = record(4);
    metadata.metadata->version = 2;
    metadata.metadata->recovery_status = course;
    b.take(metadata);
    EXPECT_EQ(differing_buckets(a.digest(record(99)), b.digest(record(99))).count(), 1u);
    metadata.metadata->version = 3;
    metadata.metadata->recovery_status.offered_percent = 40;
    a.take(metadata);
    EXPECT_TRUE(differing_buckets(a.digest(record(99)), b.digest(record(99))).none());
  }
}

TEST(Digest, WhoKnowsNothingWantsEverything) {
  EXPECT_TRUE(differing_buckets({1, 2, 3, 4, 5, 6, 7, 8}, {}).all());
  EXPECT_EQ(bucket_count_for(0), kMinBuckets);
  EXPECT_EQ(bucket_count_for(100), 16u);
  EXPECT_EQ(bucket_count_for(100000), kMaxBuckets);
}

}  // namespace
}  // namespace granitegap::membership
