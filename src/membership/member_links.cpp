// Detection of direct links that fail in one direction while the member is reachable indirectly.
#include <algorithm>

#include "membership/member.h"
#include "membership/milliseconds.h"

namespace granitegap::membership {
namespace {

// Consecutive probes that must find the same direction broken. By chance this happens in fewer than 1 in
// 3,000 cases at 20 % loss.
constexpr std::uint8_t kMinLinkFaults = 5;

}  // namespace

void Member::on_direct_answer(Index member) {
  auto& state = roster_.at(member);
  if (state.link_broken) set_link(member, false, false);
  state.link_fault_count = 0;
}

// Handles a probe that failed directly and succeeded indirectly. `heard_ms` shows whether this member's pings
// arrive, and so which direction is broken.
void Member::on_indirect_answer(const Probe& probe, std::uint32_t heard_ms) {
  const auto member = probe.target;
  auto& state = roster_.at(member);
  if (state.link_broken) return;
  const bool pings_arrive =
      heard_ms != kNeverHeard && heard_ms <= std::uint64_t(to_milliseconds(now_ - probe.sent_at));
  if (state.link_fault_count == 0 || state.link_inbound != pings_arrive) {
    if (state.link_fault_count == 0) add_once(monitored_links_, member);
    state.link_fault_count = 1;
    state.link_inbound = pings_arrive;
    return;
  }
  if (++state.link_fault_count >= kMinLinkFaults) set_link(member, true, pings_arrive);
}

void Member::set_link(Index member, bool broken, bool inbound) {
  auto& state = roster_.at(member);
  if (broken) add_once(monitored_links_, member);
  state.link_broken = broken;
  state.link_inbound = inbound;
  if (!broken) state.link_fault_count = 0;
  notify(broken ? ChangeKind::link_broken : ChangeKind::link_recovered, state.name, true);
  publish_links_and_conflict();
}

// Applies a fault that the other end published for the link to this member, as if found by this member's own
// probes.
void Member::apply_link_report(Index member, const MemberMetadata& metadata) {
  const auto report = std::find_if(metadata.links.begin(), metadata.links.end(),
                                   [&](const LinkFault& fault) { return fault.peer == own_hash_; });
  if (report == metadata.links.end()) return;
  roster_.at(member).link_fault_count = 1;
  set_link(member, true, !report->inbound);
}

// Probes suspected links in every period until the fault is certain. After that the probes of the round are
// enough.
void Member::probe_monitored_links() {
  for (const auto member : monitored_links_)
    if (roster_.is_present(member) && !roster_.at(member).link_broken && !is_probed(member))
      start_probe(member);
  std::erase_if(monitored_links_, [&](Index member) {
    const auto& state = roster_.at(member);
    return !roster_.is_present(member) || (!state.link_broken && state.link_fault_count == 0);
  });
}

}  // namespace granitegap::membership
