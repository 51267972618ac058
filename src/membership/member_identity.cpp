// What others report of this member: refutation by a higher incarnation (SWIM section 4.2), and other
// processes under its name.
#include <algorithm>
#include <utility>

#include "membership/member.h"
#include "membership/milliseconds.h"

namespace granitegap::membership {
namespace {

constexpr unsigned kConflictTimeout = 10;  // periods without a notice after which the other process is gone
constexpr std::uint32_t kMaxAgeMs = 0x7fffffff;

}  // namespace

void Member::apply_about_self(const Record& record) {
  if (record.boot_id != self_.boot_id) return on_other_process(record);
  if (record.status == Status::alive || leave_.started) return;
  if (record.incarnation < incarnation_) {
    refute_to(record.suspected_by);
    // Still gossiped well after it was refuted: the refutation did not arrive.
    const bool after_refutation = record.age_ms < to_clamped_milliseconds(now_ - refuted_at_, kMaxAgeMs);
    if (now_ - refuted_at_ >= 2 * options_.period && after_refutation) local_health_.refutation_lost();
    return;
  }
  if (options_.baseline_mode && record.status == Status::suspect) return;
  ++counters_.refutations;
  local_health_.refuted();
  refuted_at_ = now_;
  raise_incarnation_above(record.incarnation);
  refute_to(record.suspected_by);
}

// Gossip may miss the one member that decides by its own suspicion: it is told directly, and again as long as
// the suspicion goes round.
void Member::refute_to(std::uint64_t suspected_by) {
  if (options_.baseline_mode || now_ - refutation_sent_at_ < options_.period / 4) return;
  for (Index i = 0; i < roster_.slot_count(); ++i) {
    const auto& e = roster_.at(i);
    if (!e.known || e.hash != suspected_by || !roster_.is_present(i)) continue;
    refutation_sent_at_ = now_;
    return send_about(i, Ping{nonce(), e.name, {}});
  }
}

void Member::on_other_process(const Record& record) {
  if (record.metadata && record.metadata->superseded_boot_id == self_.boot_id) return on_superseded(record);
  if (conflict_.yielded || record.incarnation < incarnation_) return;
  metadata_.superseded_boot_id = record.boot_id;
  raise_incarnation_above(record.incarnation);
}

// The other process claims to have superseded this one, which still runs: two under one name. The later one
// keeps the name, so that the view stays stable; this one reports the conflict and waits.
void Member::on_superseded(const Record& record) {
  // An equal incarnation is used too: others accept neither process over the other at a tie, and the one that
  // outlives the other would be rejected for good.
  if (record.incarnation < incarnation_ || record.status == Status::suspect) return;
  if (record.status != Status::alive) {
    // It has ended: the name is this process' again, above what others hold of the other one.
    if (!conflict_.yielded) raise_incarnation_above(record.incarnation);
    return;
  }
  conflict_.incarnation = std::max(conflict_.incarnation, record.incarnation);
  conflict_.boot_id = record.boot_id;
  if (!std::exchange(conflict_.yielded, true)) conflict_.next_notice_at = now_;
  note_name_conflict(record.address);
}

// Some members are pinged with it at once; gossip carries it to the others.
void Member::raise_incarnation_above(Incarnation seen) {
  incarnation_ = seen + 1;
  if (metadata_.boot_incarnation <= seen && metadata_.superseded_boot_id != BootId{})
    metadata_.boot_incarnation = incarnation_;
  publish_metadata(now_);
  for (unsigned k = 0; k < options_.indirect_probes; ++k)
    if (const auto i = random_present(true); i != kNoMember)
      send_about(i, Ping{nonce(), roster_.at(i).name, {}});
}

void Member::note_name_conflict(const Address& address) {
  conflict_.expires_at = now_ + options_.period * std::int64_t(kConflictTimeout);
  if (conflict_.address == address) return;
  conflict_.address = address;
  publish_links_and_conflict();
  notify(ChangeKind::name_conflict, self_.name, true);
}

void Member::expire_name_conflict() {
  if (conflict_.address && now_ >= conflict_.expires_at) {
    conflict_.address.reset();
    if (std::exchange(conflict_.yielded, false))
      raise_incarnation_above(std::max(incarnation_, conflict_.incarnation));
    publish_links_and_conflict();
    notify(ChangeKind::name_conflict, self_.name, true);
  }
  if (conflict_.yielded && now_ >= conflict_.next_notice_at) {
    send(*conflict_.address, NameConflict{conflict_.boot_id});
    conflict_.next_notice_at = now_ + 2 * options_.period;
  }
}

}  // namespace granitegap::membership
