// ScatterGather, fleet: probing a dependency that is out, sharing concurrency limits over the live members,
// health reports for other members, and exporting/learning what a previous incarnation knew.
#include <algorithm>
#include <cmath>

#include "deps/scatter_gather.h"

namespace granitegap::deps {
namespace {

constexpr std::size_t kHotLooked = 2048;  // kept answers: looked at in well under a millisecond

}  // namespace

// One call at a time while a dependency is out, for which nobody waits: who asked goes on without at once,
// and its answer, should one come, is kept for the next.
void ScatterGather::probe(std::uint32_t dependency, const Key& key, const std::string& path, TimePoint now) {
  if (by_key_.find(key.low, [&](Slot f) { return flights_[f].key == key; }) != kNone) return;
  auto& d = deps_[dependency];
  const auto only = to_probe(d);
  if (fleet_ && !only) return;
  const auto slot = new_flight(dependency, key);
  auto& f = flights_[slot];
  f.path = path;
  f.detached = true;
  f.only = only;
  d.outage.probe_started();
  ++totals_.probes;
  start_attempt(slot, now);
  if (only && f.used && f.attempts_made > 0) d.note_probe(*only, true, now);
}

// First what another has found back, then this one's own in turns.
std::optional<std::uint32_t> ScatterGather::to_probe(Dependency& d) const {
  if (!fleet_) return std::nullopt;
  const auto n = std::uint32_t(d.endpoints.places());
  std::optional<std::uint32_t> mine;
  for (std::uint32_t k = 0; k < n; ++k) {
    const auto i = (d.next_probed + k) % n;
    if (d.endpoints.gone(i)) continue;
    const auto key = d.fleet_keys[i];
    if (membership::reported_recovered(*fleet_, key)) {
      mine = i;
      break;
    }
    if (!mine && membership::should_health_check(*fleet_, key)) mine = i;
  }
  if (mine) d.next_probed = *mine + 1;
  return mine;
}

// An even share for each member that is there. Where it can't be told who is, all that were agreed on count
// as there, and before there is any view one call at a time is all: guards against a fleet that comes back as
// one and falls on what it had emptied, each member with the whole limit.
void ScatterGather::share_limits() {
  std::uint32_t members = 0;
  if (fleet_) {
    const auto there = 1 + std::count_if(fleet_->peers.begin(), fleet_->peers.end(),
                                         [](const auto& p) { return p.status == membership::Status::alive; });
    const bool sure = fleet_->has_quorum && !fleet_->uncertain;
    members = std::uint32_t(sure ? there : std::max<std::size_t>(std::size_t(there), fleet_->fleet_size));
  }
  for (auto& d : deps_) {
    if (d.spec.fleet_open == 0)
      d.limit.cap(~0u);
    else
      d.limit.cap(members > 0 ? d.spec.fleet_open / members : 1);
  }
}

// Other members may be probing it; one of them that has found it back is taken at its word for one try.
void ScatterGather::fleet(std::shared_ptr<const membership::View> view, TimePoint now) {
  fleet_ = std::move(view);
  owners_.see(*fleet_);
  share_limits();
  for (std::uint32_t d = 0; d < deps_.size(); ++d) pump(d, now);
  for (auto& d : deps_)
    for (std::uint32_t i = 0; d.outage.out() && i < d.endpoints.places(); ++i)
      if (!d.endpoints.gone(i) && membership::reported_recovered(*fleet_, d.fleet_keys[i]))
        d.outage.probe_now(now);
}

std::vector<membership::EndpointHealth> ScatterGather::endpoint_health(TimePoint now) const {
  std::vector<membership::EndpointHealth> found;
  if (!fleet_) return found;
  for (const auto& d : deps_)
    for (const auto& p : d.probed)
      // Guards against others that wait for this one's probes of what it no longer holds for out.
      if ((!p.out || d.outage.out()) && now - p.at < 4 * d.spec.max_probe &&
          found.size() < membership::kMaxEndpointHealth)
        found.push_back({p.key, p.out});
  return found;
}

void ScatterGather::export_to(warm_state::WarmState& to, TimePoint now) const {
  for (const auto& d : deps_)
    for (std::uint32_t i = 0; i < d.endpoints.places(); ++i)
      if (const auto k = d.endpoints.known(i, now)) {
        const auto& a = d.endpoints.address(i);
        to.endpoints.push_back(
            {d.spec.name, a.host, a.port, k->out_for, k->times_out, k->latency, k->heard_ago});
      }
  std::size_t bytes = 0;
  for (const auto& hot : cache_.hottest(kHotLooked)) {
    warm_state::CachedResponse part{deps_[hot.dependency].spec.name, *hot.path, hot.body,
                                    std::max(now - hot.stored, Duration{})};
    if (!warm_state::is_within_limits(part) || part.age >= cached_for(hot.dependency)) continue;
    bytes += warm_state::size_of(part);
    if (bytes > warm_state::kMaxCachedResponseBytes ||
        to.cached_responses.size() >= warm_state::kMaxCachedResponses)
      break;
    to.cached_responses.push_back(std::move(part));
  }
}

Duration ScatterGather::cached_for(std::uint32_t dependency) const {
  Duration longest{};
  for (const auto& g : loaded_->spec->gathers)
    for (const auto& p : g.parts)
      if (loaded_->dependency[p.dependency] == dependency)
        longest = std::max({longest, p.fresh_for, p.stale_for});
  return longest;
}

ScatterGather::Used ScatterGather::learn(const warm_state::WarmState& from, TimePoint now) {
  Used used;
  // The hottest last, so that it is the newest here too.
  for (auto p = from.cached_responses.rbegin(); p != from.cached_responses.rend(); ++p)
    for (std::uint32_t d = 0; d < deps_.size(); ++d) {
      if (deps_[d].spec.name != p->dependency || p->age < Duration{} || p->age >= cached_for(d)) continue;
      const auto key = key_of(d, p->path, hash_seed_);
      const auto at = now - p->age;
      if (const auto own = cache_.stored(key); own && *own >= at) continue;
      cache_.put(key, d, p->path, p->body, at);
      ++used.parts;
    }
  for (const auto& e : from.endpoints)
    for (auto& d : deps_) {
      if (d.spec.name != e.dependency) continue;
      for (std::uint32_t i = 0; i < d.endpoints.places(); ++i)
        if (d.endpoints.address(i) == EndpointSpec{e.host, e.port})
          used.endpoints +=
              d.endpoints.learn(i, {e.ejected_for, e.latency, e.latency_age, e.consecutive_ejections}, now);
    }
  return used;
}
}  // namespace granitegap::deps
