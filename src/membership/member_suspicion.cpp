// From suspect to dead (SWIM section 4.2, Lifeguard section IV-B).
#include <algorithm>

#include "membership/member.h"

namespace granitegap::membership {
namespace {

constexpr std::size_t kMaxSuspectPings = 4;  // a period

}  // namespace

void Member::suspect(Index i) {
  auto record = roster_.make_record(i, false);
  if (record.status == Status::alive) ++counters_.suspicions;
  record.status = Status::suspect;
  record.suspected_by = own_hash_;
  apply(record, true);
  if (!options_.baseline_mode) send_about(i, Ping{nonce(), roster_.at(i).name, {}});
}

void Member::set_suspicion_deadline(Index i) {
  auto& e = roster_.at(i);
  const auto times = suspicion_timeouts(options_, roster_.present() + 1);
  auto time = suspicion_timeout(times, e.confirmations.confirmed(), options_.confirmations);
  // A member whose own health is poor gives others more time.
  if (!options_.baseline_mode) time *= local_health_.multiplier();
  e.suspicion_deadline = e.status_since + time;
}

bool Member::may_declare_dead() const {
  if (options_.baseline_mode) return true;
  if (!partition_detector_.has_quorum() || partition_detector_.uncertain()) return false;
  if (local_health_.local_connectivity() != LocalConnectivity::ok) return false;
  if (local_health_.in_grace_period(now_)) return false;
  return now_ - partition_detector_.certain_since() >= options_.period;
}

// Each period: one datagram lost on the way there or back must not decide.
void Member::ping_own_suspects() {
  if (options_.baseline_mode) return;
  std::size_t pinged = 0;
  for (const auto i : suspects_) {
    const auto& e = roster_.at(i);
    if (e.status != Status::suspect || !e.confirmations.has(own_hash_)) continue;
    if (++pinged > kMaxSuspectPings) return;
    send_about(i, Ping{nonce(), e.name, {}});
  }
}

void Member::judge_suspects() {
  std::erase_if(suspects_,
                [&](Index i) { return !roster_.at(i).known || roster_.at(i).status != Status::suspect; });
  const bool some_due = std::any_of(suspects_.begin(), suspects_.end(),
                                    [&](Index i) { return now_ >= roster_.at(i).suspicion_deadline; });
  if (!some_due) return;
  // Others may have fallen silent since the period began: without a quorum by now nobody is declared dead.
  if (!options_.baseline_mode) update_certainty();
  if (!may_declare_dead()) return;
  const auto suspects = suspects_;
  for (const auto i : suspects) {
    auto& e = roster_.at(i);
    if (e.status != Status::suspect || now_ < e.suspicion_deadline) continue;
    if (e.final_probe_sent || options_.baseline_mode) {
      declare_dead(i);
      continue;
    }
    e.final_probe_sent = true;
    e.suspicion_deadline = now_ + std::max(2 * probe_timeout(e), options_.period / 2);
    send_final_probe(i);
  }
}

// By every way: directly, by the second path, and by helpers, who may have heard the refutation already.
void Member::send_final_probe(Index i) {
  const auto& e = roster_.at(i);
  const auto ping_nonce = nonce();
  send_about(i, Ping{ping_nonce, e.name, {}});
  ping_via_secondary(i, ping_nonce);
  for (const auto helper : select_helpers(i, options_.indirect_probes))
    send_about(helper, PingRequest{ping_nonce, e.name, e.address},
               {roster_.make_record(i, false, own_hash_)});
}

void Member::declare_dead(Index i) {
  ++counters_.deaths;
  auto record = roster_.make_record(i, false);
  record.status = Status::dead;
  record.suspected_by = own_hash_;
  apply(record, true);
}

// This member found itself cut off: members that nobody else suspects are alive again.
void Member::withdraw_own_suspicions() {
  partition_detector_.discard_silences();
  for (const auto i : std::vector<Index>(suspects_)) {
    auto& e = roster_.at(i);
    if (e.status != Status::suspect) continue;
    if (e.confirmations.first() != own_hash_ || e.confirmations.confirmed()) continue;
    roster_.set_status(i, Status::alive, now_);
    dissemination_queue_.drop(e.hash);
    update_certain_status(i);
  }
}

}  // namespace granitegap::membership
