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
  // Whoever leaves in order is no loss to the fleet: it shrinks at once.
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

Record Roster::record_of(Index i, bool with_metadata, std::uint64_t suspected_by) const {
  const auto& e = entries_[i];
  Record r{e.name, e.address, e.boot_id, e.incarnation, e.status, 0, 0, std::nullopt};
  if (e.status == Status::suspect) r.suspected_by = suspected_by ? suspected_by : e.confirmations.first();
  if (with_metadata && e.metadata.version) r.metadata = e.metadata;
  return r;
}

MergeResult Roster::merge(const Record& r, TimePoint now, Index& where) {
  where = find(r.name);
  if (where == kNoMember) {
    // Guards against a replayed or late word that would raise one who is forgotten: nobody is met as dead.
    if (r.status == Status::dead || r.status == Status::left) return MergeResult::ignored;
    if (index_.size() >= options_.max_members || index_.contains(name_hash(r.name)))
      return MergeResult::roster_full;
    if (free_.empty()) {
      where = Index(entries_.size());
      entries_.emplace_back();
    } else {
      where = free_.back();
      free_.pop_back();
    }
    auto& e = entries_[where];
    e.name = r.name;
    e.hash = name_hash(r.name);
    e.address = r.address;
    e.boot_id = r.boot_id;
    e.incarnation = r.incarnation;
    e.status = r.status;
    e.known = true;
    e.status_since = e.last_heard_at = now;
    if (r.metadata) e.metadata = *r.metadata;
    index_[e.hash] = where;
    count(e, 1);
    link(where);
    return MergeResult::joined;
  }
  auto& e = entries_[where];
  if (r.boot_id != e.boot_id) {
    // An earlier life's word, however late, or the lesser of two that live under one name.
    if (r.incarnation <= e.incarnation) return MergeResult::ignored;
    set_status(where, Status::alive, now);
    e.status_since = e.last_heard_at = now;
    e.boot_id = r.boot_id;
    e.incarnation = r.incarnation;
    e.address = r.address;
    e.metadata = r.metadata.value_or(MemberMetadata{});
    e.round_trip = {};
    e.clock_offset_ms = 0;
    e.last_timely_at = {};
    e.link_fault_count = 0;
    e.link_broken = false;
    if (r.status != Status::alive) set_status(where, r.status, now);
    return r.status == Status::dead ? MergeResult::died
                                    : (r.status == Status::left ? MergeResult::left : MergeResult::restarted);
  }
  bool fresh_told = false;
  if (r.metadata && r.metadata->version > e.metadata.version) {
    e.metadata = *r.metadata;
    fresh_told = true;
  }
  const auto otherwise = fresh_told ? MergeResult::metadata_updated : MergeResult::ignored;
  if (r.incarnation < e.incarnation) return otherwise;
  if (r.incarnation == e.incarnation && r.status <= e.status) {
    if (r.status == Status::suspect && e.status == Status::suspect && e.confirmations.add(r.suspected_by))
      return MergeResult::suspicion_confirmed;
    return otherwise;
  }
  const auto before = e.status;
  const bool moved = e.address != r.address;
  e.incarnation = r.incarnation;
  e.address = r.address;
  if (moved) e.round_trip = {};
  if (before == Status::suspect && r.status == Status::suspect) {  // of a higher incarnation: begins anew
    e.confirmations.clear();
    e.confirmations.add(r.suspected_by);
    e.status_since = now;
    return MergeResult::suspected;
  }
  set_status(where, r.status, now);
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
  return otherwise;
}

}  // namespace granitegap::membership
