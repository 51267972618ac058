// Updates about this member: refutation by a higher incarnation (SWIM section 4.2), and conflicts with other
// processes that use its name.
#include <algorithm>
#include <utility>

#include "membership/member.h"
#include "membership/milliseconds.h"

namespace granitegap::membership {
namespace {

constexpr unsigned kConflictTimeout = 10;  // periods without a notice after which a name conflict has ended
constexpr std::uint32_t kMaxAgeMs = 0x7fffffff;

}  // namespace

void Member::apply_about_self(const Record& record) {
  if (record.boot_id != self_.boot_id) return on_other_process(record);
  if (record.status == Status::alive || leave_.started) return;
  if (record.incarnation < incarnation_) {
    refute_to(record.suspected_by);
    // The suspicion was gossiped again well after it was refuted: the refutation did not arrive.
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

// Sends the refutation directly to the member that raised the suspicion, because gossip may miss that member
// and it may declare this one dead by itself. Repeated for as long as the suspicion is gossiped.
void Member::refute_to(std::uint64_t suspected_by) {
  if (options_.baseline_mode || now_ - refutation_sent_at_ < options_.period / 4) return;
  for (Index member = 0; member < roster_.slot_count(); ++member) {
    const auto& state = roster_.at(member);
    if (!state.known || state.hash != suspected_by || !roster_.is_present(member)) continue;
    refutation_sent_at_ = now_;
    return send_about(member, Ping{nonce(), state.name, {}});
  }
}

void Member::on_other_process(const Record& record) {
  if (record.metadata && record.metadata->superseded_boot_id == self_.boot_id) return on_superseded(record);
  if (conflict_.yielded || record.incarnation < incarnation_) return;
  metadata_.superseded_boot_id = record.boot_id;
  raise_incarnation_above(record.incarnation);
}

// Handles the report that another process superseded this one although this one still runs, so that two
// processes use one name. The later process keeps the name, so that the view stays stable; this one reports
// the conflict and waits.
void Member::on_superseded(const Record& record) {
  // An equal incarnation is handled too: at a tie other members accept neither process over the other, and
  // the one that outlives the other would be rejected for good.
  if (record.incarnation < incarnation_ || record.status == Status::suspect) return;
  if (record.status != Status::alive) {
    // The other process has ended: this one takes the name back, with an incarnation above that of the other.
    if (!conflict_.yielded) raise_incarnation_above(record.incarnation);
    return;
  }
  conflict_.incarnation = std::max(conflict_.incarnation, record.incarnation);
  conflict_.boot_id = record.boot_id;
  if (!std::exchange(conflict_.yielded, true)) conflict_.next_notice_at = now_;
  record_name_conflict(record.address);
}

// Raises the incarnation, pings some members with it at once and leaves the others to gossip.
void Member::raise_incarnation_above(Incarnation seen) {
  incarnation_ = seen + 1;
  if (metadata_.boot_incarnation <= seen && metadata_.superseded_boot_id != BootId{})
    metadata_.boot_incarnation = incarnation_;
  publish_metadata(now_);
  for (unsigned k = 0; k < options_.indirect_probes; ++k)
    if (const auto member = random_present(true); member != kNoMember)
      send_about(member, Ping{nonce(), roster_.at(member).name, {}});
}

void Member::record_name_conflict(const Address& address) {
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
