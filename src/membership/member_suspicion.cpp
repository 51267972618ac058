// Suspicion of members and declaration of their death (SWIM section 4.2, Lifeguard section IV-B).
#include <algorithm>

#include "membership/member.h"

namespace granitegap::membership {
namespace {

constexpr std::size_t kMaxSuspectPings = 4;  // per period

}  // namespace

void Member::suspect(Index member) {
  auto record = roster_.make_record(member, false);
  if (record.status == Status::alive) ++counters_.suspicions;
  record.status = Status::suspect;
  record.suspected_by = own_hash_;
  apply(record, true);
  if (!options_.baseline_mode) send_about(member, Ping{nonce(), roster_.at(member).name, {}});
}

void Member::set_suspicion_deadline(Index member) {
  auto& state = roster_.at(member);
  const auto times = suspicion_timeouts(options_, roster_.present() + 1);
  auto time = suspicion_timeout(times, state.confirmations.confirmed(), options_.confirmations);
  // The timeout is longer while this member's own health is poor.
  if (!options_.baseline_mode) time *= local_health_.multiplier();
  state.suspicion_deadline = state.status_since + time;
}

bool Member::may_declare_dead() const {
  if (options_.baseline_mode) return true;
  if (!partition_detector_.has_quorum() || partition_detector_.uncertain()) return false;
  if (local_health_.local_connectivity() != LocalConnectivity::ok) return false;
  if (local_health_.in_grace_period(now_)) return false;
  return now_ - partition_detector_.certain_since() >= options_.period;
}

// Pings the members that this one suspects, in each period, so that a single lost ping or answer does not
// decide the outcome.
void Member::ping_own_suspects() {
  if (options_.baseline_mode) return;
  std::size_t pinged = 0;
  for (const auto member : suspects_) {
    const auto& state = roster_.at(member);
    if (state.status != Status::suspect || !state.confirmations.has(own_hash_)) continue;
    if (++pinged > kMaxSuspectPings) return;
    send_about(member, Ping{nonce(), state.name, {}});
  }
}

void Member::check_suspicion_deadlines() {
  std::erase_if(suspects_, [&](Index member) {
    return !roster_.at(member).known || roster_.at(member).status != Status::suspect;
  });
  const bool some_due = std::any_of(suspects_.begin(), suspects_.end(), [&](Index member) {
    return now_ >= roster_.at(member).suspicion_deadline;
  });
  if (!some_due) return;
  // Other members may have fallen silent since the period began. If that cost the quorum, no member may be
  // declared dead.
  if (!options_.baseline_mode) update_certainty();
  if (!may_declare_dead()) return;
  const auto suspects = suspects_;
  for (const auto member : suspects) {
    auto& state = roster_.at(member);
    if (state.status != Status::suspect || now_ < state.suspicion_deadline) continue;
    if (state.final_probe_sent || options_.baseline_mode) {
      declare_dead(member);
      continue;
    }
    state.final_probe_sent = true;
    state.suspicion_deadline = now_ + std::max(2 * probe_timeout(state), options_.period / 2);
    send_final_probe(member);
  }
}

// Probes a suspect on every path: directly, on the secondary path and through helpers, which may already have
// received the refutation.
void Member::send_final_probe(Index member) {
  const auto& state = roster_.at(member);
  const auto ping_nonce = nonce();
  send_about(member, Ping{ping_nonce, state.name, {}});
  ping_via_secondary(member, ping_nonce);
  for (const auto helper : select_helpers(member, options_.indirect_probes))
    send_about(helper, PingRequest{ping_nonce, state.name, state.address},
               {roster_.make_record(member, false, own_hash_)});
}

void Member::declare_dead(Index member) {
  ++counters_.deaths;
  auto record = roster_.make_record(member, false);
  record.status = Status::dead;
  record.suspected_by = own_hash_;
  apply(record, true);
}

// Sets the members that only this one suspects back to alive, because this member found that it is cut off
// itself.
void Member::withdraw_own_suspicions() {
  partition_detector_.discard_silences();
  for (const auto member : std::vector<Index>(suspects_)) {
    auto& state = roster_.at(member);
    if (state.status != Status::suspect) continue;
    if (state.confirmations.first() != own_hash_ || state.confirmations.confirmed()) continue;
    roster_.set_status(member, Status::alive, now_);
    dissemination_queue_.drop(state.hash);
    update_certain_status(member);
  }
}

}  // namespace granitegap::membership
