// The part of ScatterGather that works with the other members of the fleet: cache fills requested from the
// key owner, probes of an unavailable dependency, shares of fleet-wide limits, and warm state exchanged with
// other processes.
#include <algorithm>
#include <utility>

#include "deps/scatter_gather.h"

namespace granitegap::deps {
namespace {

// Without at least this much time no request is sent to the key owner.
constexpr Duration kMinOwnerTimeout = std::chrono::milliseconds(5);
// The request to the key owner may take the remaining time divided by this.
constexpr int kOwnerTimeDivisor = 2;
// The timeout sent to the key owner is shorter by this fraction (1/8), which leaves time for its response to
// arrive.
constexpr int kOwnerTransitDivisor = 8;
// Maximum number of cache entries considered for an export, which then takes well under a millisecond.
constexpr std::size_t kMaxHotEntries = 2048;

}  // namespace

// ---- Cache fills ----

// Requests a cache fill from the key owner; returns false when none is sent. One member calls the dependency
// for a key and serves the others, so that a fleet that restarts with empty caches does not call the
// dependency for every key once per member. A request without result costs at most half of the remaining
// time.
bool ScatterGather::request_from_owner(CallSlot slot, Duration max_age, TimePoint now) {
  if (max_age.count() <= 0) return false;
  auto& call = calls_[slot];
  const auto& spec = dependencies_[call.dependency].spec;
  const auto owner = owners_.find_owner(cache_fill_key(spec.name, call.path), now);
  const auto timeout = std::min((latest_deadline(call) - now) / kOwnerTimeDivisor, spec.max_timeout);
  if (!owner || timeout < kMinOwnerTimeout) return false;
  ++counters_.owner_requests;
  const auto owner_timeout = timeout - timeout / kOwnerTransitDivisor;
  const CacheFillRequest request{owner->boot_id, spec.name, call.path, max_age, owner_timeout};
  call.owner_request = {*owner, to_request_target(request), now, true};
  timers_.push(now + timeout, TimerKind::owner_timeout, slot, call.generation, CallTable::kOwnerAttempt);
  actions_.emplace_back(StartCall{calls_.call_id(slot, CallTable::kOwnerAttempt), call.dependency, 0,
                                  &call.owner_request.target, &call.owner_request.owner});
  return true;
}

void ScatterGather::on_owner_completed(CallSlot slot, const CallCompletion& completion, TimePoint now) {
  auto& request = calls_[slot].owner_request;
  request.in_flight = false;
  std::optional<CacheFillResponse> response;
  if (completion.outcome == CallOutcome::ok && completion.body) response = parse_fill_body(*completion.body);
  if (response) {
    ++counters_.owner_hits;
    owners_.on_success(request.owner.member_hash);
    // The age was computed at some time after the request was sent. Counting from the sending gives an upper
    // bound of the age.
    const auto age = response->age + (now - request.started);
    return deliver(slot, std::make_shared<const std::string>(std::move(response->body)), age, now);
  }
  // An owner that answers without a response is reachable, so later requests do not skip it.
  const bool is_reachable =
      completion.outcome == CallOutcome::not_found || completion.outcome == CallOutcome::overloaded;
  if (!is_reachable) owners_.on_failure(request.owner.member_hash, now);
  call_without_owner(slot, now);
}

void ScatterGather::on_owner_timeout(CallSlot slot, TimePoint now) {
  actions_.emplace_back(CancelCall{calls_.call_id(slot, CallTable::kOwnerAttempt)});
  owners_.on_failure(calls_[slot].owner_request.owner.member_hash, now);
  call_without_owner(slot, now);
}

void ScatterGather::call_without_owner(CallSlot slot, TimePoint now) {
  auto& call = calls_[slot];
  call.owner_request.in_flight = false;
  if (dependencies_[call.dependency].circuit.is_open()) return give_up(slot, now);
  admit_call(slot, now);
}

// ---- Probes ----

// Starts a probe of the dependency; while the circuit breaker is open, at most one is in flight. No part
// waits for a probe: the request that triggered it falls back at once, and the response is cached for later
// requests.
void ScatterGather::start_probe(std::uint32_t number, const CacheKey& key, const std::string& path,
                                TimePoint now) {
  if (calls_.find(key) != kNoSlot) return;
  auto& dependency = dependencies_[number];
  // Calls started under a larger share may still be in flight. The probe waits until they end; otherwise the
  // fleet-wide limit would be exceeded.
  if (dependency.spec.fleet_max_in_flight > 0 && !dependency.has_free_slot()) return;
  std::optional<std::uint32_t> endpoint;
  if (view_) {
    endpoint = choose_endpoint_to_probe(dependency);
    if (!endpoint) return;
  }
  const auto slot = calls_.create(number, key);
  auto& call = calls_[slot];
  call.path = path;
  call.is_probe = true;
  call.probed_endpoint = endpoint;
  dependency.circuit.on_probe_started();
  ++counters_.probes;
  start_attempt(slot, now);
  if (endpoint && call.in_use && call.attempt_count > 0) dependency.record_probe(*endpoint, true, now);
}

// Returns an endpoint that another member reports as recovered, otherwise the next endpoint that this member
// is responsible for probing; absent when other members probe all endpoints.
std::optional<std::uint32_t> ScatterGather::choose_endpoint_to_probe(DependencyState& dependency) const {
  const auto slots = std::uint32_t(dependency.endpoints.slot_count());
  std::optional<std::uint32_t> chosen;
  for (std::uint32_t offset = 0; offset < slots; ++offset) {
    const auto endpoint = (dependency.next_probed + offset) % slots;
    if (dependency.endpoints.is_removed(endpoint)) continue;
    const auto key = dependency.endpoint_keys[endpoint];
    if (membership::reported_recovered(*view_, key)) {
      chosen = endpoint;
      break;
    }
    if (!chosen && membership::should_health_check(*view_, key)) chosen = endpoint;
  }
  if (chosen) dependency.next_probed = *chosen + 1;
  return chosen;
}

std::vector<membership::EndpointHealth> ScatterGather::endpoint_health(TimePoint now) const {
  std::vector<membership::EndpointHealth> health;
  if (!view_) return health;
  for (const auto& dependency : dependencies_) {
    for (const auto& result : dependency.probe_results) {
      // Once the circuit breaker has closed this member sends no more probes. If it still reported the
      // endpoint as down, the others would wait for the results of those probes.
      const bool is_valid = !result.is_down || dependency.circuit.is_open();
      const bool is_recent = now - result.at < dependency.probe_result_lifetime();
      if (is_valid && is_recent && health.size() < membership::kMaxEndpointHealth)
        health.push_back({result.endpoint_key, result.is_down});
    }
  }
  return health;
}

// ---- The view ----

void ScatterGather::on_membership_view(std::shared_ptr<const membership::View> view, TimePoint now) {
  view_ = std::move(view);
  owners_.update_view(*view_);
  divide_fleet_limits();
  for (std::uint32_t d = 0; d < dependencies_.size(); ++d) start_queued_calls(d, now);
  for (auto& dependency : dependencies_) {
    if (!dependency.circuit.is_open()) continue;
    for (std::uint32_t i = 0; i < dependency.endpoints.slot_count(); ++i) {
      if (dependency.endpoints.is_removed(i)) continue;
      if (membership::reported_recovered(*view_, dependency.endpoint_keys[i]))
        dependency.circuit.probe_now(now);
    }
  }
}

// Sets this member's share of each limit that is declared for the whole fleet.
void ScatterGather::divide_fleet_limits() {
  const auto divisor = membership::limit_divisor(view_.get());
  for (std::uint32_t d = 0; d < dependencies_.size(); ++d) {
    auto& dependency = dependencies_[d];
    const auto limit = dependency.spec.fleet_max_in_flight;
    const auto share = limit > 0 ? membership::share_of_limit(limit, divisor) : ConcurrencyLimit::kNoCap;
    dependency.limit.set_cap(share);
    if (std::exchange(dependency.fleet_share, share) == share || limit == 0) continue;
    actions_.emplace_back(FleetShareChanged{d, share, limit, divisor});
  }
}

// ---- Warm state ----

void ScatterGather::export_state(warm_state::WarmState& state, TimePoint now) const {
  for (const auto& dependency : dependencies_) {
    for (std::uint32_t i = 0; i < dependency.endpoints.slot_count(); ++i) {
      const auto stats = dependency.endpoints.stats(i, now);
      if (!stats) continue;
      const auto& address = dependency.endpoints.address(i);
      state.endpoints.push_back({dependency.spec.name, address.host, address.port, stats->ejected_for,
                                 stats->ejections, stats->latency, stats->sample_age});
    }
  }
  std::size_t bytes = 0;
  for (const auto& entry : cache_.hottest(kMaxHotEntries)) {
    warm_state::CachedResponse response{dependencies_[entry.dependency].spec.name, *entry.path, entry.body,
                                        std::max(now - entry.stored_at, Duration{})};
    const bool is_useful = response.age < loaded_->max_useful_age(entry.dependency);
    if (!warm_state::is_within_limits(response) || !is_useful) continue;
    bytes += warm_state::size_in_bytes(response);
    if (bytes > warm_state::kMaxCachedResponseBytes ||
        state.cached_responses.size() >= warm_state::kMaxCachedResponses)
      break;
    state.cached_responses.push_back(std::move(response));
  }
}

ScatterGather::Restored ScatterGather::restore(const warm_state::WarmState& state, TimePoint now) {
  Restored restored;
  // In order from the coldest to the hottest response, so that the hottest is the most recent cache entry.
  for (auto response = state.cached_responses.rbegin(); response != state.cached_responses.rend(); ++response)
    restored.responses += restore_response(*response, now);
  for (const auto& endpoint : state.endpoints) restored.endpoints += restore_endpoint(endpoint, now);
  return restored;
}

// Returns the number of cache entries that were restored from the response: 0 or 1.
std::size_t ScatterGather::restore_response(const warm_state::CachedResponse& response, TimePoint now) {
  std::size_t restored = 0;
  for (std::uint32_t d = 0; d < dependencies_.size(); ++d) {
    if (dependencies_[d].spec.name != response.dependency) continue;
    if (response.age < Duration{} || response.age >= loaded_->max_useful_age(d)) continue;
    const auto key = cache_key(d, response.path, hash_seed_);
    const auto answered_at = now - response.age;
    const auto cached_at = cache_.stored_at(key);
    if (cached_at && *cached_at >= answered_at) continue;
    cache_.insert(key, d, response.path, response.body, answered_at);
    ++restored;
  }
  return restored;
}

// Returns the number of endpoints whose statistics were restored: 0 or 1.
std::size_t ScatterGather::restore_endpoint(const warm_state::Endpoint& endpoint, TimePoint now) {
  const EndpointSpec address{endpoint.host, endpoint.port};
  const EndpointStats stats{endpoint.ejected_for, endpoint.latency, endpoint.latency_age,
                            endpoint.consecutive_ejections};
  std::size_t restored = 0;
  for (auto& dependency : dependencies_) {
    if (dependency.spec.name != endpoint.dependency) continue;
    for (std::uint32_t i = 0; i < dependency.endpoints.slot_count(); ++i)
      if (dependency.endpoints.address(i) == address && dependency.endpoints.restore(i, stats, now))
        ++restored;
  }
  return restored;
}

}  // namespace granitegap::deps
