#include "membership/views.h"

#include <xxhash.h>

#include <algorithm>

namespace granitegap::membership {
namespace {

constexpr double kMaxWindowGrowth = 8;  // of the backoff window, while all are missing

// What the health checker reports of it; null where that is this member, or it reports nothing.
const EndpointHealth* report_of_health_checker(const View& v, std::uint64_t endpoint) {
  const auto checker = health_checker_of(v, endpoint);
  for (const auto& p : v.peers)
    if (p.hash == checker)
      for (const auto& f : p.metadata.endpoint_health)
        if (f.endpoint == endpoint) return &f;
  return nullptr;
}

}  // namespace

bool is_reliable(const View& v) {
  return v.has_quorum && !v.uncertain && v.local_connectivity == LocalConnectivity::ok;
}

bool is_available(const View::Peer& p) {
  return p.certain_status == Status::alive && p.status == Status::alive &&
         (p.metadata.stage == Stage::serving || p.metadata.stage == Stage::warming_up);
}

std::uint64_t rendezvous_score(std::uint64_t member, std::uint64_t key) {
  return XXH3_64bits_withSeed(&member, sizeof member, key);
}

View make_view(const Member& member, TimePoint now) {
  View v;
  v.own_hash = name_hash(member.self().name);
  const auto& roster = member.roster();
  v.peers.reserve(roster.size());
  for (Index i = 0; i < roster.slot_count(); ++i)
    if (const auto& e = roster.at(i); e.known)
      v.peers.push_back({e.name, e.hash, e.status, e.certain_status, e.metadata, e.address, e.boot_id});
  v.fleet_size = member.fleet_size();
  v.has_quorum = member.has_quorum();
  v.uncertain = member.uncertain();
  v.local_connectivity = member.local_connectivity();
  v.name_conflict = member.conflicting_address().has_value();
  v.limit_holders = member.limit_holders();
  v.limit_admitted = member.limit_admitted();
  v.limit_reserved = member.dead_outside_quorum_base();
  v.at = now;
  return v;
}

double missing_fraction(const View& v) {
  const auto alive = 1 + std::count_if(v.peers.begin(), v.peers.end(),
                                       [](const auto& p) { return p.status == Status::alive; });
  return std::clamp(1 - double(alive) / double(std::max<std::size_t>(v.fleet_size, 1)), 0.0, 1.0);
}

Duration jittered_backoff(Duration base, Duration max, double missing, double random) {
  if (base.count() <= 0 || base >= max || missing <= 0) return base;
  const auto window =
      std::min(double((max - base).count()), double(base.count()) * kMaxWindowGrowth * missing);
  return base + Duration(std::int64_t(window * std::clamp(random, 0.0, 1.0)));
}

std::uint64_t health_checker_of(const View& v, std::uint64_t endpoint) {
  std::uint64_t best = v.own_hash, best_score = rendezvous_score(v.own_hash, endpoint);
  for (const auto& p : v.peers) {
    if (!is_available(p)) continue;
    if (const auto s = rendezvous_score(p.hash, endpoint);
        s > best_score || (s == best_score && p.hash > best))
      best = p.hash, best_score = s;
  }
  return best;
}

bool should_health_check(const View& v, std::uint64_t endpoint) {
  if (!is_reliable(v)) return true;
  const auto* report = report_of_health_checker(v, endpoint);
  return !report || !report->unavailable;  // recovered for the checker: each member checks for itself now
}

bool reported_recovered(const View& v, std::uint64_t endpoint) {
  const auto* report = is_reliable(v) ? report_of_health_checker(v, endpoint) : nullptr;
  return report && !report->unavailable;
}

}  // namespace granitegap::membership
