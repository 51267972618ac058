#include "membership/views.h"

#include <xxhash.h>

#include <algorithm>

namespace granitegap::membership {
namespace {

constexpr double kMaxWindowGrowth = 8;  // of the backoff window, if all members are missing

// Returns the health checker's report about the endpoint; null where this member is the health checker, or
// where the health checker reports nothing about it.
const EndpointHealth* find_health_checker_report(const View& view, std::uint64_t endpoint) {
  const auto checker = select_health_checker(view, endpoint);
  for (const auto& peer : view.peers)
    if (peer.hash == checker)
      for (const auto& health : peer.metadata.endpoint_health)
        if (health.endpoint == endpoint) return &health;
  return nullptr;
}

}  // namespace

bool is_reliable(const View& view) {
  return view.has_quorum && !view.uncertain && view.local_connectivity == LocalConnectivity::ok;
}

bool is_available(const View::Peer& peer) {
  return peer.certain_status == Status::alive && peer.status == Status::alive &&
         (peer.metadata.stage == Stage::serving || peer.metadata.stage == Stage::warming_up);
}

std::uint64_t rendezvous_score(std::uint64_t member, std::uint64_t key) {
  return XXH3_64bits_withSeed(&member, sizeof member, key);
}

View make_view(const Member& member, TimePoint now) {
  View view;
  view.own_hash = name_hash(member.self().name);
  const auto& roster = member.roster();
  view.peers.reserve(roster.size());
  for (Index i = 0; i < roster.slot_count(); ++i)
    if (const auto& state = roster.at(i); state.known)
      view.peers.push_back({state.name, state.hash, state.status, state.certain_status, state.metadata,
                            state.address, state.boot_id});
  view.fleet_size = member.fleet_size();
  view.has_quorum = member.has_quorum();
  view.uncertain = member.uncertain();
  view.local_connectivity = member.local_connectivity();
  view.name_conflict = member.conflicting_address().has_value();
  view.limit_holders = member.limit_holders();
  view.limit_admitted = member.limit_admitted();
  view.limit_reserved = member.dead_outside_quorum_base();
  view.at = now;
  return view;
}

double missing_fraction(const View& view) {
  const auto alive = 1 + std::count_if(view.peers.begin(), view.peers.end(),
                                       [](const auto& peer) { return peer.status == Status::alive; });
  return std::clamp(1 - double(alive) / double(std::max<std::size_t>(view.fleet_size, 1)), 0.0, 1.0);
}

Duration jittered_backoff(Duration base, Duration max, double missing, double random) {
  if (base.count() <= 0 || base >= max || missing <= 0) return base;
  const auto window =
      std::min(double((max - base).count()), double(base.count()) * kMaxWindowGrowth * missing);
  return base + Duration(std::int64_t(window * std::clamp(random, 0.0, 1.0)));
}

std::uint64_t select_health_checker(const View& view, std::uint64_t endpoint) {
  std::uint64_t best = view.own_hash, best_score = rendezvous_score(view.own_hash, endpoint);
  for (const auto& peer : view.peers) {
    if (!is_available(peer)) continue;
    if (const auto score = rendezvous_score(peer.hash, endpoint);
        score > best_score || (score == best_score && peer.hash > best))
      best = peer.hash, best_score = score;
  }
  return best;
}

bool should_health_check(const View& view, std::uint64_t endpoint) {
  if (!is_reliable(view)) return true;
  const auto* report = find_health_checker_report(view, endpoint);
  // Once the endpoint has recovered for the health checker, each member checks it itself.
  return !report || !report->unavailable;
}

bool reported_recovered(const View& view, std::uint64_t endpoint) {
  const auto* report = is_reliable(view) ? find_health_checker_report(view, endpoint) : nullptr;
  return report && !report->unavailable;
}

}  // namespace granitegap::membership
