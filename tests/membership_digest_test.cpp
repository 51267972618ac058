// Tests of digests: equal views have equal digests, and a member that differs changes only its own bucket.
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

// A roster that holds the members `from` to `to` - 1.
struct TestRoster {
  Options options;
  Roster roster{options};
  explicit TestRoster(std::size_t from, std::size_t to) {
    for (auto n = from; n < to; ++n) merge(record(n));
  }
  void merge(const Record& record) {
    Index i = kNoMember;
    roster.merge(record, TimePoint(std::chrono::seconds(1)), i);
  }
  std::vector<std::uint32_t> digest(const Record& own, std::uint32_t seed = 7) const {
    return compute_digest(roster, own, 32, seed);
  }
};

TEST(Digest, MembersOfOneFleetAgreeAlthoughNoRosterListsItsOwner) {
  TestRoster a(1, 200), b(0, 199);
  EXPECT_TRUE(differing_buckets(a.digest(record(0)), b.digest(record(199))).none());
  EXPECT_FALSE(differing_buckets(a.digest(record(0), 7), b.digest(record(199), 8)).none());
}

TEST(Digest, OnlyTheBucketOfTheChangedMemberDiffers) {
  for (const auto& change :
       {record(42, 2), record(42, 1, Status::suspect), record(42, 1, Status::dead), record(500)}) {
    TestRoster a(0, 200), b(0, 200);
    b.merge(change);
    const auto differing = differing_buckets(a.digest(record(999)), b.digest(record(999)));
    EXPECT_EQ(differing.count(), 1u) << change.name;
    EXPECT_TRUE(differing[bucket_index(name_hash(change.name), 32)]);
  }
}

TEST(Digest, StageIsCoveredAndLoadIsNot) {
  TestRoster a(0, 50), b(0, 50);
  auto changed = record(4);
  changed.metadata->version = 2;
  changed.metadata->warmup_percent = 50;
  b.merge(changed);
  EXPECT_TRUE(differing_buckets(a.digest(record(99)), b.digest(record(99))).none());
  changed.metadata->version = 3;
  changed.metadata->stage = Stage::serving;
  b.merge(changed);
  EXPECT_EQ(differing_buckets(a.digest(record(99)), b.digest(record(99))).count(), 1u);
}

// The phase of a recovery, the donor port and the time to full service are covered: a sync delivers them to
// members that missed the gossip. The offered share is not.
TEST(Digest, RecoveryStatusIsCoveredExceptTheOfferedShare) {
  for (const auto& recovery_status :
       {RecoveryStatus{4, 100, 0, 0}, RecoveryStatus{0, 100, 9000, 0}, RecoveryStatus{0, 100, 0, 1500}}) {
    TestRoster a(0, 50), b(0, 50);
    auto changed = record(4);
    changed.metadata->version = 2;
    changed.metadata->recovery_status = recovery_status;
    b.merge(changed);
    EXPECT_EQ(differing_buckets(a.digest(record(99)), b.digest(record(99))).count(), 1u);
    changed.metadata->version = 3;
    changed.metadata->recovery_status.offered_percent = 40;
    a.merge(changed);
    EXPECT_TRUE(differing_buckets(a.digest(record(99)), b.digest(record(99))).none());
  }
}

TEST(Digest, EmptyDigestDiffersInAllBucketsAndBucketCountIsBounded) {
  EXPECT_TRUE(differing_buckets({1, 2, 3, 4, 5, 6, 7, 8}, {}).all());
  EXPECT_EQ(bucket_count_for(0), kMinBuckets);
  EXPECT_EQ(bucket_count_for(100), 16u);
  EXPECT_EQ(bucket_count_for(100000), kMaxBuckets);
}

}  // namespace
}  // namespace granitegap::membership
