// Gathers the parts that requests need from the dependencies. Decides what to call, when to retry, hedge or
// shed, and when to continue without a part.
//
//   begin() -> for each part that depends on no other:
//     cached within its fresh age ................................ settled: fresh
//     its path failed recently, or the circuit breaker is open ... falls back
//     the same call is in flight ................................. joins it
//     another member of the fleet owns its key ................... requested from that member first
//     within the concurrency limit ............................... called
//     room in the queue .......................................... queued until the limit admits it
//     otherwise .................................................. falls back: shed
//   Falling back: cached within its stale age -> stale; a declared default -> fallback; else absent.
//
// A part settles once. When all parts have settled, or a required part is absent, GatherEnded follows exactly
// once and no later than the end of the gather's budget.
//
// A call is shared by all parts that need the same path of the same dependency. Its attempts are the first
// one, a hedged request (Dean and Barroso, "The Tail at Scale", 2013) and retries with backoff; all but the
// first are charged to the RetryBudget. A call ends with its first successful response, when its attempts are
// used up, or when no part waits for it any more; attempts still in flight are then cancelled.
//
// Makes decisions only: no socket, no clock, deterministic for a given seed. Used by one thread. Throws
// nothing; errors are statuses of parts. actions() accumulates until clear_actions(), and the results of a
// gather stay until release().
//
// Source files: scatter_gather.cpp has the public interface and the timers, scatter_gather_parts.cpp resolves
// parts, scatter_gather_calls.cpp makes calls, scatter_gather_fleet.cpp works with the other members of the
// fleet.
#pragma once
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "deps/actions.h"
#include "deps/cache_fill.h"
#include "deps/call_table.h"
#include "deps/dependency_state.h"
#include "deps/gather_table.h"
#include "deps/loaded_spec.h"
#include "deps/negative_cache.h"
#include "deps/response_cache.h"
#include "deps/spec.h"
#include "deps/timer_queue.h"
#include "membership/views.h"
#include "warm_state/warm_state.h"

namespace granitegap::deps {

class ScatterGather {
 public:
  // `seed` determines every random decision and the keys of the cache. With `guarded` false the plain policy
  // applies, the baseline of the benchmarks: one attempt, no concurrency limit, no circuit breaker, and no
  // timeout except the end of the budget.
  ScatterGather(std::shared_ptr<const Spec> spec, std::uint64_t seed, bool guarded = true);

  // ---- Gathers ----

  // Returns whether requests of the class gather anything.
  bool has_gather(ClassId cls) const;

  // The request's values that are substituted into path templates.
  struct RequestAttributes {
    std::uint64_t obj = 0;
    std::string_view body, cls;
  };
  // Begins the gather of a request; GatherEnded follows. No effect when the class gathers nothing or `id` is
  // in use. `budget` is bounded by the declared one. With `may_call` false only cached responses and declared
  // defaults are used.
  void begin(RequestId id, ClassId cls, const RequestAttributes& attributes, Duration budget, bool may_call,
             TimePoint now);
  // Begins a cache fill that another member requests from this one as the owner of a key. GatherEnded
  // follows, and parts() then has a single part. Returns false when the dependency is not declared with
  // `fleet_cache_fill`, when `id` is in use, or under the plain policy.
  [[nodiscard]] bool begin_cache_fill(RequestId id, const CacheFillRequest& request, TimePoint now);
  // Ends a gather without GatherEnded and releases it.
  void cancel(RequestId id, TimePoint now);
  // Returns the results of the gather in the order of declaration; empty when no gather has this id.
  std::vector<PartResult> parts(RequestId id) const;
  // Releases a gather that has ended.
  void release(RequestId id);

  // ---- Events ----

  // Handles the end of a started call. Ignored when the call has been cancelled.
  void on_call_completed(const CallCompletion& completion, TimePoint now);
  // Fires the timers that are due. Must be called no later than next_timer().
  void tick(TimePoint now);
  // Returns the time of the earliest timer; absent when none is set.
  std::optional<TimePoint> next_timer();

  // Actions to carry out, in order, since the last clear_actions().
  std::span<const Action> actions() const { return actions_; }
  void clear_actions() { actions_.clear(); }

  // Applies a new declaration. Calls in flight continue, and gathers keep the declaration under which they
  // began. Dependencies and endpoints that remain declared keep their latencies, limits and ejections.
  void update_spec(std::shared_ptr<const Spec> spec, TimePoint now);

  // ---- The fleet ----

  // Applies a new view of the members. It determines the owners of keys, the shares of fleet-wide limits, and
  // which member probes an endpoint for the fleet.
  void on_membership_view(std::shared_ptr<const membership::View> view, TimePoint now);
  // Returns the results of this process's probes, for dissemination to the other members.
  std::vector<membership::EndpointHealth> endpoint_health(TimePoint now) const;

  // ---- Warm state ----

  // Adds the statistics of the endpoints and the hottest cached responses to `state`.
  void export_state(warm_state::WarmState& state, TimePoint now) const;
  // The number of endpoints and cached responses that restore() applied.
  struct Restored {
    std::size_t endpoints = 0, responses = 0;
  };
  // Applies the state of another process. Does not change endpoints for which this process has statistics of
  // its own, nor cached responses that are at least as recent.
  Restored restore(const warm_state::WarmState& state, TimePoint now);

  // ---- Observation ----

  // Dependencies are identified by the numbers that StartCall and CircuitBreakerChanged carry.
  const EndpointSpec& address(std::uint32_t dependency, std::uint32_t endpoint) const {
    return dependencies_[dependency].endpoints.address(endpoint);
  }
  const DependencySpec& dependency(std::uint32_t number) const { return dependencies_[number].spec; }
  const Counters& counters() const { return counters_; }
  // Returns the number of attempts in flight to a dependency.
  std::uint32_t in_flight(std::uint32_t dependency) const { return dependencies_[dependency].in_flight; }
  std::uint32_t concurrency_limit(std::uint32_t dependency) const {
    return dependencies_[dependency].limit.limit();
  }
  bool is_circuit_open(std::uint32_t dependency) const { return dependencies_[dependency].circuit.is_open(); }
  std::size_t active_gathers() const { return gathers_.size(); }
  std::size_t active_calls() const { return calls_.size(); }

 private:
  // Where the value of a part that is not cached comes from.
  enum class Route : std::uint8_t {
    owner_first,  // the key owner, then the dependency
    direct,       // the dependency only
  };

  void apply_spec(std::shared_ptr<const Spec> spec, TimePoint now);
  std::vector<std::uint32_t> update_dependencies(const Spec& spec);
  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  // ---- Timers: scatter_gather.cpp ----
  bool is_current(const Timer& timer) const;
  void fire(const Timer& timer, TimePoint now);
  void on_part_deadline(GatherSlot gather, std::uint32_t part, TimePoint now);
  void on_hedge_due(CallSlot call, TimePoint now);
  void on_retry_due(CallSlot call, TimePoint now);

  // ---- Parts: scatter_gather_parts.cpp ----
  void start_part(GatherSlot gather, std::uint32_t part, TimePoint now);
  // Expects the path of the part in path_.
  void resolve_part(GatherSlot gather, std::uint32_t part, std::uint32_t dependency, Duration max_age,
                    Route route, TimePoint now);
  TimePoint part_deadline(const Gather& gather, std::uint32_t part, TimePoint now) const;
  bool may_call_now(std::uint32_t dependency, const CacheKey& key, TimePoint now);
  void join_or_start_call(GatherSlot gather, std::uint32_t part, std::uint32_t dependency, Route route,
                          TimePoint now);
  void fall_back(GatherSlot gather, std::uint32_t part, TimePoint now);
  void settle_without_value(GatherSlot gather, std::uint32_t part, TimePoint now);
  void settle(GatherSlot gather, std::uint32_t part, PartStatus status, SharedBody body, Duration age,
              TimePoint now);
  void settle_dependent_parts(GatherSlot gather, std::uint32_t settled, TimePoint now);
  void end_gather(GatherSlot gather, bool required_parts_present, TimePoint now);
  void detach_part(GatherSlot gather, std::uint32_t part, TimePoint now);

  // ---- Calls: scatter_gather_calls.cpp ----
  void admit_call(CallSlot call, TimePoint now);
  void start_attempt(CallSlot call, TimePoint now);
  std::optional<std::uint32_t> choose_endpoint(const SharedCall& call, Duration remaining,
                                               const LatencySummary& summary, TimePoint now);
  Duration attempt_timeout(const SharedCall& call, Duration remaining, const LatencySummary& summary) const;
  void close_attempt(CallSlot call, std::uint32_t attempt);
  void cancel_attempts(CallSlot call);
  void on_attempt_succeeded(CallSlot call, std::uint32_t attempt, const CallCompletion& completion,
                            TimePoint now);
  // `is_fair`: the failure counts against the endpoint, that is, a short budget did not cause it.
  void on_attempt_failed(CallSlot call, std::uint32_t attempt, CallOutcome outcome, bool is_fair,
                         std::optional<Duration> retry_after, TimePoint now);
  void record_attempt_failure(const SharedCall& call, std::uint32_t attempt, CallOutcome outcome,
                              bool is_fair, std::optional<Duration> retry_after, TimePoint now);
  void on_attempt_timeout(CallSlot call, std::uint32_t attempt, TimePoint now);
  void record_success(std::uint32_t dependency, TimePoint now);
  void record_failure(std::uint32_t dependency, TimePoint now);
  void retry_or_give_up(CallSlot call, TimePoint now);
  bool try_schedule_retry(CallSlot call, TimePoint now);
  void deliver(CallSlot call, const SharedBody& body, Duration age, TimePoint now);
  void give_up(CallSlot call, TimePoint now);
  void release_call(CallSlot call);
  void start_queued_calls(std::uint32_t dependency, TimePoint now);
  TimePoint latest_deadline(const SharedCall& call) const;

  // ---- The fleet: scatter_gather_fleet.cpp ----
  bool request_from_owner(CallSlot call, Duration max_age, TimePoint now);
  void on_owner_completed(CallSlot call, const CallCompletion& completion, TimePoint now);
  void on_owner_timeout(CallSlot call, TimePoint now);
  void call_without_owner(CallSlot call, TimePoint now);
  void start_probe(std::uint32_t dependency, const CacheKey& key, const std::string& path, TimePoint now);
  std::optional<std::uint32_t> choose_endpoint_to_probe(DependencyState& dependency) const;
  void divide_fleet_limits();
  std::size_t restore_response(const warm_state::CachedResponse& response, TimePoint now);
  std::size_t restore_endpoint(const warm_state::Endpoint& endpoint, TimePoint now);

  bool guarded_;
  std::uint64_t hash_seed_;
  std::mt19937_64 random_;
  std::shared_ptr<const LoadedSpec> loaded_;
  std::deque<DependencyState> dependencies_;  // never shrinks, so that dependency numbers stay valid
  GatherTable gathers_;
  CallTable calls_;
  TimerQueue timers_;
  NegativeCache failures_;
  ResponseCache cache_;
  std::vector<Action> actions_;
  std::string path_;  // path of the part being resolved; a member so that its capacity is reused
  std::shared_ptr<const membership::View> view_;  // null when the process belongs to no fleet
  KeyOwnerSelector owners_;
  Counters counters_;
};

}  // namespace granitegap::deps
