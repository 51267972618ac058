// Direct links that fail in one direction, while the member is reached another way.
#include <algorithm>

#include "membership/member.h"
#include "membership/milliseconds.h"

namespace granitegap::membership {
namespace {

// Probes in a row that find the same direction broken: under 1 in 3,000 by chance at 20 % loss.
constexpr std::uint8_t kMinLinkFaults = 5;

}  // namespace

void Member::on_direct_answer(Index i) {
  auto& e = roster_.at(i);
  if (e.link_broken) set_link(i, false, false);
  e.link_fault_count = 0;
}

// The direct way failed and an indirect one did not: `heard_ms` tells whether this member's pings arrive, and
// so which direction is broken.
void Member::on_indirect_answer(const Probe& probe, std::uint32_t heard_ms) {
  const auto i = probe.target;
  auto& e = roster_.at(i);
  if (e.link_broken) return;
  const bool pings_arrive =
      heard_ms != kNeverHeard && heard_ms <= std::uint64_t(to_milliseconds(now_ - probe.sent_at));
  if (e.link_fault_count == 0 || e.link_inbound != pings_arrive) {
    if (e.link_fault_count == 0) add_once(monitored_links_, i);
    e.link_fault_count = 1;
    e.link_inbound = pings_arrive;
    return;
  }
  if (++e.link_fault_count >= kMinLinkFaults) set_link(i, true, pings_arrive);
}

void Member::set_link(Index i, bool broken, bool inbound) {
  auto& e = roster_.at(i);
  if (broken) add_once(monitored_links_, i);
  e.link_broken = broken;
  e.link_inbound = inbound;
  if (!broken) e.link_fault_count = 0;
  notify(broken ? ChangeKind::link_broken : ChangeKind::link_recovered, e.name, true);
  publish_links_and_conflict();
}

// What the other end publishes of the link with this member counts like own probes.
void Member::take_link_report(Index i, const MemberMetadata& metadata) {
  const auto report = std::find_if(metadata.links.begin(), metadata.links.end(),
                                   [&](const LinkFault& fault) { return fault.peer == own_hash_; });
  if (report == metadata.links.end()) return;
  roster_.at(i).link_fault_count = 1;
  set_link(i, true, !report->inbound);
}

// Every period until the fault is certain; after that the turn in the round is enough.
void Member::probe_monitored_links() {
  for (const auto i : monitored_links_)
    if (roster_.is_present(i) && !roster_.at(i).link_broken && !is_probed(i)) start_probe(i);
  std::erase_if(monitored_links_, [&](Index i) {
    const auto& e = roster_.at(i);
    return !roster_.is_present(i) || (!e.link_broken && e.link_fault_count == 0);
  });
}

}  // namespace granitegap::membership
