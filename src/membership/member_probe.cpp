// The failure detector (SWIM section 3.1): probes in a shuffled round, their retries, indirect probes through
// helpers, and what a probe that failed means (Lifeguard section IV-A).
#include <algorithm>

#include "membership/member.h"

namespace granitegap::membership {
namespace {

constexpr std::size_t kMaxProbes = 64;
// Extra probes a period while the view is uncertain.
constexpr std::size_t kMinSweep = 4, kMaxSweep = 16;
constexpr TimePoint kNever = TimePoint::max();

}  // namespace

bool Member::is_probed(Index i) const {
  return std::any_of(probes_.begin(), probes_.end(), [&](const Probe& probe) { return probe.target == i; });
}

// A member that falls silent is probed within as many periods as there are members, and twice that at most
// (SWIM section 4.3).
Index Member::next_in_round() {
  for (int turn = 0; turn < 2; ++turn) {
    while (probe_round_position_ < probe_round_.size()) {
      const auto i = probe_round_[probe_round_position_++];
      if (roster_.is_present(i)) return i;
    }
    probe_round_.clear();
    for (auto i = roster_.oldest_contact(); i != kNoMember; i = roster_.next_contact(i))
      probe_round_.push_back(i);
    std::shuffle(probe_round_.begin(), probe_round_.end(), random_);
    probe_round_position_ = 0;
  }
  return kNoMember;
}

// New members take a random place in the round (SWIM section 4.3).
void Member::add_to_round(Index i) {
  const auto place = std::ptrdiff_t(random_() % (probe_round_.size() + 1));
  probe_round_.insert(probe_round_.begin() + place, i);
}

Duration Member::probe_timeout(const MemberState& e) const {
  if (options_.baseline_mode) return options_.period / 2;
  const auto max = options_.period / 5;
  const auto min = std::min(options_.min_probe_timeout, max);
  return e.round_trip.timeout(min, max) * local_health_.multiplier();
}

void Member::start_probe(Index target) {
  if (probes_.size() >= kMaxProbes) return;
  const auto& e = roster_.at(target);
  Probe probe;
  probe.nonce = nonce();
  probe.target = target;
  probe.sent_at = now_;
  probe.pings_sent = 1;
  probe.late_at = options_.baseline_mode ? kNever : now_ + probe_timeout(e);
  probe.ends_at = now_ + options_.period * (options_.baseline_mode ? 1u : local_health_.multiplier());
  send_about(target, Ping{probe.nonce, e.name, {}});
  probes_.push_back(probe);
  // Where the direct link is known to be broken the other ways are tried at once.
  if (!e.link_broken) return;
  ping_via_secondary(target, probes_.back().nonce);
  request_indirect_probes(probes_.back());
}

// Beside the round: one a period of whichever member was not contacted for longest, which bounds the time
// after which a link that fails in one direction is noticed. While the view is uncertain, many of those not
// heard since that began: whether a quorum is there must be known soon.
void Member::start_extra_probes() {
  if (options_.baseline_mode) return;
  const bool uncertain = partition_detector_.uncertain();
  const auto max = uncertain ? std::clamp(roster_.present() / 8, kMinSweep, kMaxSweep) : std::size_t(1);
  std::size_t started = 0;
  for (auto i = roster_.oldest_contact(); started < max && i != kNoMember; i = roster_.next_contact(i)) {
    const auto& e = roster_.at(i);
    if (uncertain) {
      if (e.status != Status::alive || e.last_received_at >= partition_detector_.uncertain_since()) continue;
    } else if (now_ - std::max(e.last_received_at, e.status_since) < 4 * options_.period) {
      break;
    }
    if (is_probed(i)) continue;
    start_probe(i);
    ++started;
  }
  // No probe succeeds: the member heard last shows whether this one is at fault.
  if (local_health_.consecutive_failures() >= 2 && last_sender_ != kNoMember &&
      roster_.is_present(last_sender_) &&
      now_ - roster_.at(last_sender_).last_received_at <= 2 * options_.period)
    start_probe(last_sender_);
}

void Member::retry_probe(Probe& probe) {
  const auto& e = roster_.at(probe.target);
  if (probe.pings_sent == 1) {
    probe.pings_sent = 2;
    probe.late_at = now_ + probe_timeout(e);
    send_about(probe.target, Ping{probe.nonce, e.name, {}});
    ping_via_secondary(probe.target, probe.nonce);
    return;
  }
  probe.late_at = kNever;
  if (!probe.indirect_requested) request_indirect_probes(probe);
}

void Member::request_indirect_probes(Probe& probe) {
  probe.indirect_requested = true;
  const auto& e = roster_.at(probe.target);
  for (const auto helper : select_helpers(probe.target, options_.indirect_probes))
    send_about(helper, PingRequest{probe.nonce, e.name, e.address});
}

void Member::on_probe_acked(std::vector<Probe>::iterator probe, const Ack& ack) {
  if (ack.secondary_path) {  // an indirect way, like a helper's
    if (!probe->indirect_heard_ms || ack.heard_ms < *probe->indirect_heard_ms)
      probe->indirect_heard_ms = ack.heard_ms;
    return;
  }
  const auto target = probe->target;
  auto& e = roster_.at(target);
  // Karn's algorithm: no sample where it is not known which of two pings was answered.
  if (probe->pings_sent == 1) e.round_trip.add_sample(now_ - probe->sent_at);
  e.reachable = true;
  roster_.record_contact(target);
  local_health_.probe_succeeded();
  on_direct_answer(target);
  probes_.erase(probe);
}

void Member::finish_probe(const Probe& probe) {
  if (!roster_.is_present(probe.target)) return;
  auto& e = roster_.at(probe.target);
  if (probe.indirect_heard_ms) {
    e.reachable = true;
    local_health_.probe_succeeded();
    on_indirect_answer(probe, *probe.indirect_heard_ms);
    return;
  }
  e.reachable = false;
  const bool target_heard = e.last_received_at >= probe.sent_at - 2 * options_.period;
  const bool helpers_silent = probe.indirect_requested && probe.helper_replies == 0;
  local_health_.probe_failed(helpers_silent, target_heard);
  update_health();
  if (options_.baseline_mode) return suspect(probe.target);
  if (local_health_.in_grace_period(now_)) return;
  if (local_health_.local_connectivity() != LocalConnectivity::ok) return;
  // Silence from all sides while the probe was out points at this member, not at the one probed.
  if (roster_.alive() >= 2 && !local_health_.received_since(probe.sent_at)) return;
  suspect(probe.target);
}

}  // namespace granitegap::membership
