// The failure detector (SWIM section 3.1): probes in a shuffled round, their retries, indirect probes through
// helpers, and the handling of failed probes (Lifeguard section IV-A).
#include <algorithm>

#include "membership/member.h"

namespace granitegap::membership {
namespace {

constexpr std::size_t kMaxProbes = 64;
// Bounds of the number of extra probes per period while the view is uncertain.
constexpr std::size_t kMinUncertainProbes = 4, kMaxUncertainProbes = 16;
constexpr TimePoint kNever = TimePoint::max();

}  // namespace

bool Member::is_probed(Index member) const {
  return std::any_of(probes_.begin(), probes_.end(),
                     [&](const Probe& probe) { return probe.target == member; });
}

// Returns the next member of the shuffled round, or kNoMember. A member that falls silent is usually probed
// within as many periods as there are members, and within twice as many at most (SWIM section 4.3).
Index Member::next_in_round() {
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (probe_round_position_ < probe_round_.size()) {
      const auto member = probe_round_[probe_round_position_++];
      if (roster_.is_present(member)) return member;
    }
    probe_round_.clear();
    for (auto member = roster_.oldest_contact(); member != kNoMember; member = roster_.next_contact(member))
      probe_round_.push_back(member);
    std::shuffle(probe_round_.begin(), probe_round_.end(), random_);
    probe_round_position_ = 0;
  }
  return kNoMember;
}

// Inserts a new member at a random position of the round (SWIM section 4.3).
void Member::add_to_round(Index member) {
  const auto place = std::ptrdiff_t(random_() % (probe_round_.size() + 1));
  probe_round_.insert(probe_round_.begin() + place, member);
}

Duration Member::probe_timeout(const MemberState& state) const {
  if (options_.baseline_mode) return options_.period / 2;
  const auto max = options_.period / 5;
  const auto min = std::min(options_.min_probe_timeout, max);
  return state.round_trip.timeout(min, max) * local_health_.multiplier();
}

void Member::start_probe(Index target) {
  if (probes_.size() >= kMaxProbes) return;
  const auto& state = roster_.at(target);
  Probe probe;
  probe.nonce = nonce();
  probe.target = target;
  probe.sent_at = now_;
  probe.pings_sent = 1;
  probe.late_at = options_.baseline_mode ? kNever : now_ + probe_timeout(state);
  probe.ends_at = now_ + options_.period * (options_.baseline_mode ? 1u : local_health_.multiplier());
  send_about(target, Ping{probe.nonce, state.name, {}});
  probes_.push_back(probe);
  // If the direct link is known to be broken, the indirect paths are tried at once.
  if (!state.link_broken) return;
  ping_via_secondary(target, probes_.back().nonce);
  request_indirect_probes(probes_.back());
}

// Starts probes in addition to the round. Normally this is one per period, of the member with the oldest
// contact, which bounds the time until a link that fails in one direction is detected. While the view is
// uncertain, it probes many of the members not heard since the uncertainty began, to find out soon whether
// there is a quorum.
void Member::start_extra_probes() {
  if (options_.baseline_mode) return;
  const bool uncertain = partition_detector_.uncertain();
  const auto max = uncertain ? std::clamp(roster_.present() / 8, kMinUncertainProbes, kMaxUncertainProbes)
                             : std::size_t(1);
  std::size_t started = 0;
  for (auto member = roster_.oldest_contact(); started < max && member != kNoMember;
       member = roster_.next_contact(member)) {
    const auto& state = roster_.at(member);
    if (uncertain) {
      if (state.status != Status::alive || state.last_received_at >= partition_detector_.uncertain_since())
        continue;
    } else if (now_ - std::max(state.last_received_at, state.status_since) < 4 * options_.period) {
      break;
    }
    if (is_probed(member)) continue;
    start_probe(member);
    ++started;
  }
  // While no probe succeeds, a probe of the member heard last shows whether this member is at fault.
  if (local_health_.consecutive_failures() >= 2 && last_sender_ != kNoMember &&
      roster_.is_present(last_sender_) &&
      now_ - roster_.at(last_sender_).last_received_at <= 2 * options_.period)
    start_probe(last_sender_);
}

void Member::retry_probe(Probe& probe) {
  const auto& state = roster_.at(probe.target);
  if (probe.pings_sent == 1) {
    probe.pings_sent = 2;
    probe.late_at = now_ + probe_timeout(state);
    send_about(probe.target, Ping{probe.nonce, state.name, {}});
    ping_via_secondary(probe.target, probe.nonce);
    return;
  }
  probe.late_at = kNever;
  if (!probe.indirect_requested) request_indirect_probes(probe);
}

void Member::request_indirect_probes(Probe& probe) {
  probe.indirect_requested = true;
  const auto& state = roster_.at(probe.target);
  for (const auto helper : select_helpers(probe.target, options_.indirect_probes))
    send_about(helper, PingRequest{probe.nonce, state.name, state.address});
}

void Member::on_probe_acked(std::vector<Probe>::iterator probe, const Ack& ack) {
  if (ack.secondary_path) {  // counts as an indirect answer, like that of a helper
    if (!probe->indirect_heard_ms || ack.heard_ms < *probe->indirect_heard_ms)
      probe->indirect_heard_ms = ack.heard_ms;
    return;
  }
  const auto target = probe->target;
  auto& state = roster_.at(target);
  // Karn's algorithm: takes no sample if it is unknown which of two pings was answered.
  if (probe->pings_sent == 1) state.round_trip.add_sample(now_ - probe->sent_at);
  state.reachable = true;
  roster_.record_contact(target);
  local_health_.probe_succeeded();
  on_direct_answer(target);
  probes_.erase(probe);
}

void Member::finish_probe(const Probe& probe) {
  if (!roster_.is_present(probe.target)) return;
  auto& state = roster_.at(probe.target);
  if (probe.indirect_heard_ms) {
    state.reachable = true;
    local_health_.probe_succeeded();
    on_indirect_answer(probe, *probe.indirect_heard_ms);
    return;
  }
  state.reachable = false;
  const bool target_heard = state.last_received_at >= probe.sent_at - 2 * options_.period;
  const bool helpers_silent = probe.indirect_requested && probe.helper_replies == 0;
  local_health_.probe_failed(helpers_silent, target_heard);
  update_health();
  if (options_.baseline_mode) return suspect(probe.target);
  if (local_health_.in_grace_period(now_)) return;
  if (local_health_.local_connectivity() != LocalConnectivity::ok) return;
  // If nothing at all was received since the probe was sent, the fault is likely in this member.
  if (roster_.alive() >= 2 && !local_health_.received_since(probe.sent_at)) return;
  suspect(probe.target);
}

}  // namespace granitegap::membership
