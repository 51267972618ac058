#include "membership/roster.h"

#include <algorithm>

namespace granitegap::membership {

Index Roster::find(std::string_view name) const {
  const auto it = index_by_hash_.find(name_hash(name));
  return it == index_by_hash_.end() || entries_[it->second].name != name ? kNoMember : it->second;
}

void Roster::adjust_counts(const MemberState& member, int delta) {
  const auto adjust = [delta](std::size_t& count) { count = std::size_t(std::ptrdiff_t(count) + delta); };
  if (!member.known) return;
  if (member.status == Status::alive) adjust(alive_);
  if (member.status == Status::alive || member.status == Status::suspect) adjust(present_);
  if (member.counts_for_quorum) adjust(quorum_base_);
  if (member.counts_for_quorum && member.status == Status::alive) adjust(quorum_base_alive_);
}

void Roster::set_counts_for_quorum(Index index, bool counts_for_quorum) {
  auto& member = entries_[index];
  adjust_counts(member, -1);
  member.counts_for_quorum = counts_for_quorum;
  adjust_counts(member, 1);
}

void Roster::set_status(Index index, Status status, TimePoint now) {
  auto& member = entries_[index];
  if (member.status == status) return;
  const bool was_present = is_present(index);
  adjust_counts(member, -1);
  member.status = status;
  member.status_since = now;
  // A graceful leave is not a failure: the quorum base shrinks at once.
  if (status == Status::left) member.counts_for_quorum = false;
  adjust_counts(member, 1);
  if (status != Status::suspect) {
    member.confirmations.clear();
    member.final_probe_sent = false;
  }
  if (status == Status::alive) member.reachable = true;
  if (was_present && !is_present(index)) {
    unlink(index);
    tombstones_.push_back(index);
  } else if (!was_present && is_present(index)) {
    std::erase(tombstones_, index);
    link(index);
  }
}

void Roster::link(Index index) {
  auto& member = entries_[index];
  member.previous_contact = newest_contact_;
  member.next_contact = kNoMember;
  (newest_contact_ == kNoMember ? oldest_contact_ : entries_[newest_contact_].next_contact) = index;
  newest_contact_ = index;
}

void Roster::unlink(Index index) {
  auto& member = entries_[index];
  (member.previous_contact == kNoMember ? oldest_contact_ : entries_[member.previous_contact].next_contact) =
      member.next_contact;
  (member.next_contact == kNoMember ? newest_contact_ : entries_[member.next_contact].previous_contact) =
      member.previous_contact;
  member.previous_contact = member.next_contact = kNoMember;
}

void Roster::record_contact(Index index) {
  if (!is_present(index)) return;
  unlink(index);
  link(index);
}

void Roster::remove(Index index) {
  auto& member = entries_[index];
  adjust_counts(member, -1);
  index_by_hash_.erase(member.hash);
  member = MemberState{};
  free_slots_.push_back(index);
}

Record Roster::make_record(Index index, bool with_metadata, std::uint64_t suspected_by) const {
  const auto& member = entries_[index];
  Record record{member.name, member.address, member.boot_id, member.incarnation, member.status, 0,
                0,           std::nullopt};
  if (member.status == Status::suspect)
    record.suspected_by = suspected_by ? suspected_by : member.confirmations.first();
  if (with_metadata && member.metadata.version) record.metadata = member.metadata;
  return record;
}

MergeResult Roster::merge(const Record& record, TimePoint now, Index& index) {
  index = find(record.name);
  if (index == kNoMember) {
    // An unknown member is not added as dead or left: a replayed or late update must not bring back a member
    // that was removed.
    if (record.status == Status::dead || record.status == Status::left) return MergeResult::ignored;
    if (index_by_hash_.size() >= options_.max_members || index_by_hash_.contains(name_hash(record.name)))
      return MergeResult::roster_full;
    index = add(record, now);
    return MergeResult::joined;
  }
  auto& member = entries_[index];
  if (record.boot_id != member.boot_id) return merge_other_process(index, record, now);
  const bool newer_metadata = record.metadata && record.metadata->version > member.metadata.version;
  if (newer_metadata) member.metadata = *record.metadata;
  const auto merged = merge_status(index, record, now);
  if (merged == MergeResult::ignored && newer_metadata) return MergeResult::metadata_updated;
  return merged;
}

Index Roster::add(const Record& record, TimePoint now) {
  Index index = 0;
  if (free_slots_.empty()) {
    index = Index(entries_.size());
    entries_.emplace_back();
  } else {
    index = free_slots_.back();
    free_slots_.pop_back();
  }
  auto& member = entries_[index];
  member.name = record.name;
  member.hash = name_hash(record.name);
  member.address = record.address;
  member.boot_id = record.boot_id;
  member.incarnation = record.incarnation;
  member.status = record.status;
  member.known = true;
  member.status_since = now;
  member.last_received_at = now;
  if (record.metadata) member.metadata = *record.metadata;
  index_by_hash_[member.hash] = index;
  adjust_counts(member, 1);
  link(index);
  return index;
}

// The process with the higher incarnation wins. The other one is superseded, or loses a name conflict.
MergeResult Roster::merge_other_process(Index index, const Record& record, TimePoint now) {
  auto& member = entries_[index];
  if (record.incarnation <= member.incarnation) return MergeResult::ignored;
  set_status(index, Status::alive, now);
  member.status_since = now;
  member.last_received_at = now;
  member.boot_id = record.boot_id;
  member.incarnation = record.incarnation;
  member.address = record.address;
  member.metadata = record.metadata.value_or(MemberMetadata{});
  member.knows_this_process = false;
  member.round_trip = {};
  member.clock_offset_ms = 0;
  member.last_timely_at = {};
  member.link_fault_count = 0;
  member.link_broken = false;
  if (record.status != Status::alive) set_status(index, record.status, now);
  if (record.status == Status::dead) return MergeResult::died;
  if (record.status == Status::left) return MergeResult::left;
  return MergeResult::restarted;
}

// A higher incarnation wins; within one incarnation the status of higher precedence (SWIM section 4.2).
MergeResult Roster::merge_status(Index index, const Record& record, TimePoint now) {
  auto& member = entries_[index];
  if (record.incarnation < member.incarnation) return MergeResult::ignored;
  const bool both_suspect = record.status == Status::suspect && member.status == Status::suspect;
  if (record.incarnation == member.incarnation && record.status <= member.status) {
    const bool confirmed = both_suspect && member.confirmations.add(record.suspected_by);
    return confirmed ? MergeResult::suspicion_confirmed : MergeResult::ignored;
  }
  if (member.address != record.address) member.round_trip = {};
  member.incarnation = record.incarnation;
  member.address = record.address;
  if (both_suspect) {  // in a higher incarnation: the suspicion starts again
    member.confirmations.clear();
    member.confirmations.add(record.suspected_by);
    member.status_since = now;
    return MergeResult::suspected;
  }
  set_status(index, record.status, now);
  switch (record.status) {
    case Status::alive:
      return MergeResult::refuted;
    case Status::suspect:
      member.confirmations.add(record.suspected_by);
      return MergeResult::suspected;
    case Status::dead:
      return MergeResult::died;
    case Status::left:
      return MergeResult::left;
  }
  return MergeResult::ignored;
}

}  // namespace granitegap::membership
