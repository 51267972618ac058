// Merging what gossip, syncs and own probes report of other members (SWIM section 4.1).
#include <algorithm>

#include "membership/member.h"

namespace granitegap::membership {

void Member::apply(const Record& record, bool detected_locally, bool in_sync) {
  if (record.name == self_.name) return apply_about_self(record);
  if (std::chrono::milliseconds(record.age_ms) > options_.max_message_age) {
    ++counters_.late;
    return;
  }
  const auto known = roster_.find(record.name);
  const auto before = known == kNoMember ? Status::alive : roster_.at(known).status;
  Index i = kNoMember;
  const auto merged = roster_.merge(record, now_, i);
  if (merged == MergeResult::ignored) return;
  if (merged == MergeResult::roster_full) {
    ++counters_.roster_full;
    return;
  }
  on_merged(i, merged, before, detected_locally);
  auto& e = roster_.at(i);
  if (record.metadata && !e.link_broken) take_link_report(i, e.metadata);
  if (merged != MergeResult::metadata_updated && e.status != Status::suspect) update_certain_status(i);
  if (e.status == Status::suspect && !partition_detector_.uncertain()) e.certain_status = Status::suspect;
  // What a joining member learns of the fleet by its first sync is not new to the fleet.
  if (merged == MergeResult::joined && !joined_ && in_sync) return;
  dissemination_queue_.add(record, now_);
}

void Member::on_merged(Index i, MergeResult merged, Status before, bool detected_locally) {
  const auto& e = roster_.at(i);
  switch (merged) {
    case MergeResult::joined:
    case MergeResult::restarted:
    case MergeResult::refuted:
      return on_alive_again(i, merged, before, detected_locally);
    case MergeResult::suspected:
      notify(ChangeKind::suspected, e.name, detected_locally);
      add_once(suspects_, i);
      set_suspicion_deadline(i);
      return partition_detector_.report_silent(e.hash, now_);
    case MergeResult::suspicion_confirmed:
      return set_suspicion_deadline(i);
    case MergeResult::died:
      return notify(ChangeKind::died, e.name, detected_locally);
    case MergeResult::left:
      partition_detector_.report_not_silent(e.hash);
      return notify(ChangeKind::left, e.name, detected_locally);
    case MergeResult::metadata_updated:
      return notify(ChangeKind::metadata_updated, e.name, detected_locally);
    case MergeResult::ignored:
    case MergeResult::roster_full:
      return;
  }
}

void Member::on_alive_again(Index i, MergeResult merged, Status before, bool detected_locally) {
  const auto& e = roster_.at(i);
  const bool joined = merged == MergeResult::joined;
  const bool refuted = merged == MergeResult::refuted;
  partition_detector_.report_not_silent(e.hash);
  if (!refuted || before != Status::alive) {
    const auto kind = joined ? ChangeKind::joined : refuted ? ChangeKind::refuted : ChangeKind::restarted;
    notify(kind, e.name, detected_locally);
  }
  if (!e.counts_for_quorum) add_once(quorum_base_pending_, i);
  const bool was_absent = joined || before == Status::dead || before == Status::left;
  if (was_absent) add_to_round(i);
  // The sides of a healed partition know only what gossip happens to carry: a sync brings the rest.
  if (was_absent && !joined && now_ - last_rejoin_sync_at_ >= 4 * options_.period) {
    last_rejoin_sync_at_ = now_;
    request_sync(i);
  }
  if (e.status == Status::suspect) {
    add_once(suspects_, i);
    set_suspicion_deadline(i);
  }
}

void Member::update_certain_status(Index i) {
  if (!partition_detector_.uncertain()) roster_.at(i).certain_status = roster_.at(i).status;
}

}  // namespace granitegap::membership
