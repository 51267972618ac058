// Anti-entropy: push-pull syncs with a random member, which carry only the buckets whose digests differ
// (digest.h). They deliver updates that gossip missed (Demers et al. 1987; "push/pull" in memberlist).
#include <algorithm>

#include "membership/member.h"

namespace granitegap::membership {
namespace {

constexpr std::size_t kSyncInterval = 10;  // periods, once the fleet has formed
constexpr unsigned kMaxSyncShift = 20;
constexpr std::size_t kMaxOutgoingSyncs = 4;
constexpr TimePoint kNever = TimePoint::max();

}  // namespace

// Requests a sync if one is due. The first syncs are close together, as other processes may be joining at the
// same time. Between equal views a sync costs two datagrams, so the rate need not fall with the size of the
// fleet.
void Member::request_due_sync() {
  const bool due = now_ >= next_sync_at_;
  if (!due && (joined_ || period_count_ % 2 != 0)) return;
  const auto shift = std::min(syncs_requested_++, kMaxSyncShift);
  const auto every = joined_ ? std::min(kSyncInterval, std::size_t(2) << shift) : std::size_t(2);
  next_sync_at_ = now_ + options_.period * std::int64_t(every);
  if (const auto peer = random_present(true); peer != kNoMember) request_sync(peer);
}

void Member::request_sync(Index peer) {
  ++counters_.sync_requests;
  const auto seed = nonce();
  auto digests = compute_digest(roster_, own_record(true), bucket_count_for(roster_.present()), seed);
  send_about(peer, SyncRequest{seed, true, std::move(digests)});
}

void Member::handle(const SyncRequest& request, const Datagram& datagram, Index) {
  if (outgoing_syncs_.size() >= kMaxOutgoingSyncs) return;
  const auto buckets = request.sums.empty() ? kMinBuckets : request.sums.size();
  auto own_digests = compute_digest(roster_, own_record(true), buckets, request.nonce);
  const auto wanted = differing_buckets(own_digests, request.sums);
  if (wanted.none()) {  // the views are equal, which one empty chunk reports
    if (request.push) send(datagram.from.address, SyncChunk{request.nonce, 0, true});
    return;
  }
  outgoing_syncs_.push_back({datagram.from.address, request.nonce, 0, 0, now_, wanted, buckets});
  if (request.push) send(datagram.from.address, SyncRequest{request.nonce, false, std::move(own_digests)});
  send_sync_chunks();
}

void Member::handle(const SyncChunk& chunk, const Datagram&, Index) {
  if (chunk.last) joined_ = true;
}

// Sends the due chunk of each sync. Chunks are spread over time so that a joining member does not stall one
// that knows many members.
void Member::send_sync_chunks() {
  for (auto& sync : outgoing_syncs_) {
    if (now_ < sync.next_at) continue;
    SendOptions options;
    options.updates = next_chunk(sync);
    const bool last = sync.next_member >= roster_.slot_count();
    send(sync.to, SyncChunk{sync.nonce, sync.next_chunk, last}, std::move(options));
    ++sync.next_chunk;
    sync.next_at = last ? kNever : now_ + options_.period / 8;
  }
  std::erase_if(outgoing_syncs_, [](const OutgoingSync& sync) { return sync.next_at == kNever; });
}

// Returns as many of the wanted records as fit into one datagram; this member's own record comes first.
std::vector<Record> Member::next_chunk(OutgoingSync& sync) {
  std::vector<Record> records;
  const Datagram empty{{self_.name, {}, {}, 0, 0}, SyncChunk{}, {}, 0};
  std::size_t room = kMaxDatagram - max_encoded_size(empty);
  const auto add = [&](Record record) {
    const auto bytes = max_encoded_size(record);
    if (bytes > room) return false;
    room -= bytes;
    records.push_back(std::move(record));
    return true;
  };
  const auto wanted = [&](std::uint64_t hash) { return sync.wanted[bucket_index(hash, sync.bucket_count)]; };
  if (sync.next_chunk == 0 && wanted(own_hash_)) add(own_record(true));
  for (; sync.next_member < roster_.slot_count(); ++sync.next_member) {
    const auto& state = roster_.at(sync.next_member);
    if (!state.known || !wanted(state.hash)) continue;
    if (!add(roster_.make_record(sync.next_member, true))) break;
  }
  return records;
}

}  // namespace granitegap::membership
