#include "membership/roster.h"

#include <algorithm>

namespace granitegap::membership {

Index Roster::find(std::string_view name) const {
  const auto it = index_.find(name_hash(name));
  return it == index_.end() || entries_[it->second].name != name ? kNoMember : it->second;
}

void Roster::count(const MemberState& e, int by) {
  const auto add = [by](std::size_t& n) { n = std::size_t(std::ptrdiff_t(n) + by); };
  if (!e.known) return;
  if (e.status == Status::alive) add(alive_);
  if (e.status == Status::alive || e.status == Status::suspect) add(present_);
  if (e.counts_for_quorum) add(quorum_base_);
  if (e.counts_for_quorum && e.status == Status::alive) add(quorum_base_alive_);
}

void Roster::set_counts_for_quorum(Index i, bool counts_for_quorum) {
  auto& e = entries_[i];
  count(e, -1);
  e.counts_for_quorum = counts_for_quorum;
  count(e, 1);
}

void Roster::set_status(Index i, Status status, TimePoint now) {
  auto& e = entries_[i];
  if (e.status == status) return;
  const bool was_present = is_present(i);
  count(e, -1);
  e.status = status;
  e.status_since = now;
  // A graceful leave is no failure: the quorum base shrinks at once.
  if (status == Status::left) e.counts_for_quorum = false;
  count(e, 1);
  if (status != Status::suspect) {
    e.confirmations.clear();
    e.final_probe_sent = false;
  }
  if (status == Status::alive) e.reachable = true;
  if (was_present && !is_present(i)) {
    unlink(i);
    tombstones_.push_back(i);
  } else if (!was_present && is_present(i)) {
    std::erase(tombstones_, i);
    link(i);
  }
}

void Roster::link(Index i) {
  auto& e = entries_[i];
  e.previous_contact = last_;
  e.next_contact = kNoMember;
  (last_ == kNoMember ? first_ : entries_[last_].next_contact) = i;
  last_ = i;
}

void Roster::unlink(Index i) {
  auto& e = entries_[i];
  (e.previous_contact == kNoMember ? first_ : entries_[e.previous_contact].next_contact) = e.next_contact;
  (e.next_contact == kNoMember ? last_ : entries_[e.next_contact].previous_contact) = e.previous_contact;
  e.previous_contact = e.next_contact = kNoMember;
}

void Roster::record_contact(Index i) {
  if (!is_present(i)) return;
  unlink(i);
  link(i);
}

void Roster::forget(Index i) {
  auto& e = entries_[i];
  count(e, -1);
  index_.erase(e.hash);
  e = MemberState{};
  free_.push_back(i);
}

Record Roster::make_record(Index i, bool with_metadata, std::uint64_t suspected_by) const {
  const auto& e = entries_[i];
  Record r{e.name, e.address, e.boot_id, e.incarnation, e.status, 0, 0, std::nullopt};
  if (e.status == Status::suspect) r.suspected_by = suspected_by ? suspected_by : e.confirmations.first();
  if (with_metadata && e.metadata.version) r.metadata = e.metadata;
  return r;
}

MergeResult Roster::merge(const Record& r, TimePoint now, Index& where) {
  where = find(r.name);
  if (where == kNoMember) {
    // Nobody is met as dead: a replayed or late update must not bring back a member that was removed.
    if (r.status == Status::dead || r.status == Status::left) return MergeResult::ignored;
    if (index_.size() >= options_.max_members || index_.contains(name_hash(r.name)))
      return MergeResult::roster_full;
    where = add(r, now);
    return MergeResult::joined;
  }
  auto& e = entries_[where];
  if (r.boot_id != e.boot_id) return merge_other_process(where, r, now);
  const bool newer_metadata = r.metadata && r.metadata->version > e.metadata.version;
  if (newer_metadata) e.metadata = *r.metadata;
  const auto merged = merge_status(where, r, now);
  if (merged == MergeResult::ignored && newer_metadata) return MergeResult::metadata_updated;
  return merged;
}

Index Roster::add(const Record& r, TimePoint now) {
  Index i = 0;
  if (free_.empty()) {
    i = Index(entries_.size());
    entries_.emplace_back();
  } else {
    i = free_.back();
    free_.pop_back();
  }
  auto& e = entries_[i];
  e.name = r.name;
  e.hash = name_hash(r.name);
  e.address = r.address;
  e.boot_id = r.boot_id;
  e.incarnation = r.incarnation;
  e.status = r.status;
  e.known = true;
  e.status_since = now;
  e.last_received_at = now;
  if (r.metadata) e.metadata = *r.metadata;
  index_[e.hash] = i;
  count(e, 1);
  link(i);
  return i;
}

// The process with the higher incarnation wins: the other one is superseded, or loses a name conflict.
MergeResult Roster::merge_other_process(Index i, const Record& r, TimePoint now) {
  auto& e = entries_[i];
  if (r.incarnation <= e.incarnation) return MergeResult::ignored;
  set_status(i, Status::alive, now);
  e.status_since = now;
  e.last_received_at = now;
  e.boot_id = r.boot_id;
  e.incarnation = r.incarnation;
  e.address = r.address;
  e.metadata = r.metadata.value_or(MemberMetadata{});
  e.knows_this_process = false;
  e.round_trip = {};
  e.clock_offset_ms = 0;
  e.last_timely_at = {};
  e.link_fault_count = 0;
  e.link_broken = false;
  if (r.status != Status::alive) set_status(i, r.status, now);
  if (r.status == Status::dead) return MergeResult::died;
  if (r.status == Status::left) return MergeResult::left;
  return MergeResult::restarted;
}

// A higher incarnation wins; within one incarnation the status of higher precedence (SWIM section 4.2).
MergeResult Roster::merge_status(Index i, const Record& r, TimePoint now) {
  auto& e = entries_[i];
  if (r.incarnation < e.incarnation) return MergeResult::ignored;
  const bool both_suspect = r.status == Status::suspect && e.status == Status::suspect;
  if (r.incarnation == e.incarnation && r.status <= e.status) {
    const bool confirmed = both_suspect && e.confirmations.add(r.suspected_by);
    return confirmed ? MergeResult::suspicion_confirmed : MergeResult::ignored;
  }
  if (e.address != r.address) e.round_trip = {};
  e.incarnation = r.incarnation;
  e.address = r.address;
  if (both_suspect) {  // in a higher incarnation: the suspicion starts anew
    e.confirmations.clear();
    e.confirmations.add(r.suspected_by);
    e.status_since = now;
    return MergeResult::suspected;
  }
  set_status(i, r.status, now);
  switch (r.status) {
    case Status::alive:
      return MergeResult::refuted;
    case Status::suspect:
      e.confirmations.add(r.suspected_by);
      return MergeResult::suspected;
    case Status::dead:
      return MergeResult::died;
    case Status::left:
      return MergeResult::left;
  }
  return MergeResult::ignored;
}

}  // namespace granitegap::membership
