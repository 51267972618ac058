// A summary of one member's view: laid beside another one it shows the few buckets in which two views differ,
// so that a sync carries those members and not all of them.
//
// One sum a bucket: the exclusive or of a hash of each member in it (set reconciliation by hashed buckets, as
// in anti-entropy; Demers et al. 1987). The hash covers the process under the name, its incarnation and
// status (the sides of a healed partition learn of suspicions that way), and the metadata that consumers
// decide by; not its load, which changes all the time and is soon gossiped again. Each sync hashes under a
// seed of its own: two views that collide by chance differ the next time.
#pragma once
#include <bitset>
#include <cstdint>
#include <vector>

#include "membership/roster.h"

namespace granitegap::membership {

inline constexpr std::size_t kMaxBuckets = 128, kMinBuckets = 8;
using Buckets = std::bitset<kMaxBuckets>;

// The number of buckets for that many members: a power of two within the bounds, for about eight members
// each.
std::size_t bucket_count_for(std::size_t members);
// The bucket of a member, of `buckets`, a power of two.
inline std::size_t bucket_index(std::uint64_t name_hash, std::size_t buckets) {
  return std::size_t(name_hash >> 32) & (buckets - 1);
}

// The digest of the members present and of `own`, this member's record. `buckets`: a power of two.
std::vector<std::uint32_t> compute_digest(const Roster& roster, const Record& own, std::size_t buckets,
                                          std::uint32_t seed);
// The buckets whose sums differ; all where the digests differ in size, as with a member that just joined.
Buckets differing_buckets(const std::vector<std::uint32_t>& mine, const std::vector<std::uint32_t>& theirs);

}  // namespace granitegap::membership
