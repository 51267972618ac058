#include "membership/digest.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace granitegap::membership {
namespace {

constexpr std::size_t kMembersPerBucket = 8;

std::uint32_t hash_member(std::uint64_t name, BootId boot_id, Incarnation incarnation, Status status,
                          const MemberMetadata* metadata, std::uint32_t seed) {
  std::array<std::uint64_t, 7> fields{
      name, std::uint64_t(boot_id), incarnation, std::uint64_t(status) << 48, 0, 0, 0};
  if (metadata) {
    fields[3] |= std::uint64_t(metadata->stage) | std::uint64_t(metadata->conflicting_address.port) << 8 |
                 std::uint64_t(metadata->secondary_address.port) << 24;
    // offered_percent is left out: it changes in steps, and the last step comes with a new phase.
    fields[6] = std::uint64_t(metadata->recovery_status.phase) |
                std::uint64_t(metadata->recovery_status.donor_port) << 8 |
                std::uint64_t(metadata->recovery_status.full_service_ms) << 24;
    fields[4] = metadata->cache_fill_port;
    for (const auto& link : metadata->links) fields[4] += (link.peer ^ link.inbound) * 0x9e3779b97f4a7c15ull;
    for (const auto& health : metadata->endpoint_health)
      fields[5] += (health.endpoint ^ health.unavailable) * 0x9e3779b97f4a7c15ull;
  }
  return std::uint32_t(XXH3_64bits_withSeed(fields.data(), sizeof fields, seed));
}

}  // namespace

std::size_t bucket_count_for(std::size_t members) {
  return std::clamp(std::bit_ceil(members / kMembersPerBucket + 1), kMinBuckets, kMaxBuckets);
}

std::vector<std::uint32_t> compute_digest(const Roster& roster, const Record& own, std::size_t buckets,
                                          std::uint32_t seed) {
  std::vector<std::uint32_t> sums(buckets);
  const auto add = [&](std::uint64_t name, BootId boot_id, Incarnation incarnation, Status status,
                       const MemberMetadata* metadata) {
    sums[bucket_index(name, buckets)] ^= hash_member(name, boot_id, incarnation, status, metadata, seed);
  };
  if (own.status == Status::alive)
    add(name_hash(own.name), own.boot_id, own.incarnation, own.status,
        own.metadata ? &*own.metadata : nullptr);
  for (auto i = roster.oldest_contact(); i != kNoMember; i = roster.next_contact(i)) {
    const auto& member = roster.at(i);
    add(member.hash, member.boot_id, member.incarnation, member.status,
        member.metadata.version ? &member.metadata : nullptr);
  }
  return sums;
}

Buckets differing_buckets(const std::vector<std::uint32_t>& own, const std::vector<std::uint32_t>& other) {
  Buckets differing;
  if (own.size() != other.size() || own.size() > kMaxBuckets) return differing.set();
  for (std::size_t i = 0; i < own.size(); ++i) differing[i] = own[i] != other[i];
  return differing;
}

}  // namespace granitegap::membership
