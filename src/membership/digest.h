// A summary of what a member holds of the fleet: two of them that are laid beside each other name the few
// buckets in which views differ, so that an exchange carries those members and not all of them.
//
// One sum a bucket: the exclusive or of a hash over each member in it (set reconciliation by hashed buckets,
// as in anti-entropy; Demers et al. 1987). The hash takes in who lives under the name, in which incarnation,
// whether it is suspect (halves that meet again tell each other of it that way), and what consumers decide
// by; not how warm or pressed it is, which changes all the time and is soon told again. Each exchange hashes
// under a seed of its own: what one sum hides by chance the next one shows.
#pragma once
#include <bitset>
#include <cstdint>
#include <vector>

#include "membership/roster.h"

namespace granitegap::membership {

inline constexpr std::size_t kMaxBuckets = 128, kMinBuckets = 8;
using Buckets = std::bitset<kMaxBuckets>;

// A power of two that leaves about eight members a bucket, within the bounds.
std::size_t buckets_for(std::size_t members);
inline std::size_t bucket_of(std::uint64_t name_hash, std::size_t buckets) {
  return std::size_t(name_hash >> 32) & (buckets - 1);
}

// Of those present; `own` stands for this process. `buckets`: a power of two.
std::vector<std::uint32_t> digest_of(const Roster& roster, const Record& own, std::size_t buckets,
                                     std::uint32_t seed);
// All of them where the two are not of one size, as with a member that knows nothing yet.
Buckets differing_buckets(const std::vector<std::uint32_t>& mine, const std::vector<std::uint32_t>& theirs);

}  // namespace granitegap::membership
