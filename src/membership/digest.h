// Digest of one member's view. Comparing two digests shows the buckets in which the views differ, so that a
// sync carries the members of those buckets and not all members.
//
// A digest has one sum per bucket: the exclusive or of the hashes of its members (set reconciliation by
// hashed buckets, as in anti-entropy; Demers et al. 1987). The hash covers the name, boot id, incarnation and
// status, so that the sides of a healed partition learn of each other's suspicions, and the metadata that
// consumers base decisions on. It does not cover the load, which changes all the time and is soon gossiped
// again. Each sync uses its own seed: two views whose sums collide by chance differ in the next sync.
#pragma once
#include <bitset>
#include <cstdint>
#include <vector>

#include "membership/roster.h"

namespace granitegap::membership {

inline constexpr std::size_t kMaxBuckets = 128, kMinBuckets = 8;
using Buckets = std::bitset<kMaxBuckets>;

// Returns the number of buckets for a fleet of `members`: a power of two from kMinBuckets to kMaxBuckets,
// with about eight members per bucket.
std::size_t bucket_count_for(std::size_t members);
// Returns the bucket of a member. `buckets` is the number of buckets, a power of two.
inline std::size_t bucket_index(std::uint64_t name_hash, std::size_t buckets) {
  return std::size_t(name_hash >> 32) & (buckets - 1);
}

// Returns the digest of the members present and of `own`, this member's record. `buckets` is the number of
// buckets, a power of two.
std::vector<std::uint32_t> compute_digest(const Roster& roster, const Record& own, std::size_t buckets,
                                          std::uint32_t seed);
// Returns the buckets whose sums differ; all buckets where the digests differ in size, as with that of a
// joiner.
Buckets differing_buckets(const std::vector<std::uint32_t>& own, const std::vector<std::uint32_t>& other);

}  // namespace granitegap::membership
