// Merging of updates about other members from gossip, syncs and this member's own probes (SWIM section 4.1).
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
  Index member = kNoMember;
  const auto merged = roster_.merge(record, now_, member);
  if (merged == MergeResult::ignored) return;
  if (merged == MergeResult::roster_full) {
    ++counters_.roster_full;
    return;
  }
  on_merged(member, merged, before, detected_locally);
  auto& state = roster_.at(member);
  if (record.metadata && !state.link_broken) apply_link_report(member, state.metadata);
  if (merged != MergeResult::metadata_updated && state.status != Status::suspect)
    update_certain_status(member);
  if (state.status == Status::suspect && !partition_detector_.uncertain())
    state.certain_status = Status::suspect;
  // The fleet already knows the members that a joiner learns of by its first sync, so they are not gossiped.
  if (merged == MergeResult::joined && !joined_ && in_sync) return;
  dissemination_queue_.add(record, now_);
}

void Member::on_merged(Index member, MergeResult merged, Status before, bool detected_locally) {
  const auto& state = roster_.at(member);
  switch (merged) {
    case MergeResult::joined:
    case MergeResult::restarted:
    case MergeResult::refuted:
      return on_alive_again(member, merged, before, detected_locally);
    case MergeResult::suspected:
      notify(ChangeKind::suspected, state.name, detected_locally);
      add_once(suspects_, member);
      set_suspicion_deadline(member);
      return partition_detector_.report_silent(state.hash, now_);
    case MergeResult::suspicion_confirmed:
      return set_suspicion_deadline(member);
    case MergeResult::died:
      return notify(ChangeKind::died, state.name, detected_locally);
    case MergeResult::left:
      partition_detector_.report_not_silent(state.hash);
      return notify(ChangeKind::left, state.name, detected_locally);
    case MergeResult::metadata_updated:
      return notify(ChangeKind::metadata_updated, state.name, detected_locally);
    case MergeResult::ignored:
    case MergeResult::roster_full:
      return;
  }
}

void Member::on_alive_again(Index member, MergeResult merged, Status before, bool detected_locally) {
  const auto& state = roster_.at(member);
  const bool joined = merged == MergeResult::joined;
  const bool refuted = merged == MergeResult::refuted;
  partition_detector_.report_not_silent(state.hash);
  if (!refuted || before != Status::alive) {
    const auto kind = joined ? ChangeKind::joined : refuted ? ChangeKind::refuted : ChangeKind::restarted;
    notify(kind, state.name, detected_locally);
  }
  if (!state.counts_for_quorum) add_once(quorum_base_pending_, member);
  const bool was_absent = joined || before == Status::dead || before == Status::left;
  if (was_absent) add_to_round(member);
  // After a partition heals, gossip carries only part of what the other side knows. A sync fetches the rest.
  if (was_absent && !joined && now_ - last_rejoin_sync_at_ >= 4 * options_.period) {
    last_rejoin_sync_at_ = now_;
    request_sync(member);
  }
  if (state.status == Status::suspect) {
    add_once(suspects_, member);
    set_suspicion_deadline(member);
  }
}

void Member::update_certain_status(Index member) {
  if (!partition_detector_.uncertain()) roster_.at(member).certain_status = roster_.at(member).status;
}

}  // namespace granitegap::membership
