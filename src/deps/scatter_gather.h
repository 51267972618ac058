// Gathers the parts that requests need from the dependencies: what to call, when to retry, hedge or shed, and
// when to go on without a part.
//
//   begin() -> for each part that depends on no other:
//     cached within its fresh age ................................ settled: fresh
//     the same call is in flight ................................. joins it
//     another member of the fleet owns its key ................... that member is asked first
//     failed a moment ago, or the circuit breaker is open ........ falls back
//     within the concurrency limit ............................... called
//     room in the queue .......................................... queued for the limit
//     else ....................................................... falls back: shed
//   Falling back: cached within its stale age -> stale; a declared default -> fallback; else absent.
//
// A part settles once. When all have settled, or a required one is absent, GatherEnded follows exactly once
// and no later than the gather's budget.
//
// A call is shared by all parts that need the same path of the same dependency. Its attempts are the first
// one, a hedged one (Dean and Barroso, "The Tail at Scale", 2013) and retries with backoff; all but the first
// are paid for by the RetryBudget. It ends with its first good response, when its attempts are used up, or
// when no part waits for it any more; the attempts still in flight then are cancelled.
//
// Pure decisions: no socket, no clock, deterministic under its seed. Used by one thread. Errors: none is
// thrown; they are statuses of parts. Ownership: actions() accumulates until clear_actions(), a gather's
// results stay until release().
//
// Sources: scatter_gather.cpp has the public interface and the timers, scatter_gather_parts.cpp resolves
// parts, scatter_gather_calls.cpp makes calls, scatter_gather_fleet.cpp works with the other members.
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
  // `seed`: of every random decision, and of the cache's keys. `guarded` false: the plain policy that
  // benchmarks compare with: one attempt, no limit, no circuit breaker, no timeout but the budget's end.
  ScatterGather(std::shared_ptr<const Spec> spec, std::uint64_t seed, bool guarded = true);

  // ---- Gathers ----

  // Whether requests of that class gather anything.
  bool has_gather(ClassId cls) const;

  // What the path templates are filled in with.
  struct RequestAttributes {
    std::uint64_t obj = 0;
    std::string_view body, cls;
  };
  // Begins a request's gather; GatherEnded follows. No effect when its class gathers nothing or `id` is in
  // use. `budget`: bounded by the declared one. `may_call` false: only cached responses and defaults.
  void begin(RequestId id, ClassId cls, const RequestAttributes& attributes, Duration budget, bool may_call,
             TimePoint now);
  // Begins what another member asks of this one as the owner of a key. GatherEnded follows, and parts() has
  // the single value if it is present. False when the dependency is not declared for it, or `id` is in use.
  [[nodiscard]] bool begin_cache_fill(RequestId id, const CacheFillRequest& request, TimePoint now);
  // Ends a gather without GatherEnded and releases it.
  void cancel(RequestId id, TimePoint now);
  // The gather's results, in the order of declaration; empty when there is no gather of that id.
  std::vector<PartResult> parts(RequestId id) const;
  // Forgets a gather that has ended.
  void release(RequestId id);

  // ---- Events ----

  // A started call has ended. Ignored when it had been cancelled.
  void on_call_completed(const CallCompletion& completion, TimePoint now);
  // Fires the timers that are due; to be called at next_timer() at the latest.
  void tick(TimePoint now);
  std::optional<TimePoint> next_timer();

  // What to carry out, in order, since the last clear_actions().
  std::span<const Action> actions() const { return actions_; }
  void clear_actions() { actions_.clear(); }

  // A new declaration. Calls in flight go on, gathers keep the one that they began under, and what has been
  // learned of the dependencies and endpoints that stay is kept.
  void update_spec(std::shared_ptr<const Spec> spec, TimePoint now);

  // ---- The fleet ----

  // A new view of the members: it determines the owners of keys, the shares of fleet-wide limits, and which
  // member probes an endpoint for all.
  void on_membership_view(std::shared_ptr<const membership::View> view, TimePoint now);
  // The results of this process's probes, to be gossiped.
  std::vector<membership::EndpointHealth> endpoint_health(TimePoint now) const;

  // ---- Warm state ----

  // Adds what is known of the endpoints, and the hottest cached responses, for another process.
  void export_state(warm_state::WarmState& to, TimePoint now) const;
  struct Restored {
    std::size_t endpoints = 0, responses = 0;
  };
  // Takes over what another process knew, unless this one knows better; the numbers that were of use.
  Restored restore(const warm_state::WarmState& from, TimePoint now);

  // ---- Observation ----

  // Dependencies have the numbers in StartCall and CircuitBreakerChanged.
  const EndpointSpec& address(std::uint32_t dependency, std::uint32_t endpoint) const {
    return dependencies_[dependency].endpoints.address(endpoint);
  }
  const DependencySpec& dependency(std::uint32_t number) const { return dependencies_[number].spec; }
  const Counters& counters() const { return counters_; }
  // Attempts in flight to a dependency.
  std::uint32_t in_flight(std::uint32_t dependency) const { return dependencies_[dependency].in_flight; }
  std::uint32_t concurrency_limit(std::uint32_t dependency) const {
    return dependencies_[dependency].limit.limit();
  }
  bool is_circuit_open(std::uint32_t dependency) const { return dependencies_[dependency].circuit.is_open(); }
  std::size_t active_gathers() const { return gathers_.size(); }
  std::size_t active_calls() const { return calls_.size(); }

 private:
  // Where a part gets its value from when it is not cached.
  enum class Route : std::uint8_t {
    owner_first,  // the key's owner, then the dependency
    direct,       // the dependency
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
  // The part's path is in path_.
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
  // `is_fair`: the failure is the endpoint's, not due to a short budget.
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
  bool ask_owner(CallSlot call, Duration max_age, TimePoint now);
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
  std::deque<DependencyState> dependencies_;  // never shrinks: numbers stay valid
  GatherTable gathers_;
  CallTable calls_;
  TimerQueue timers_;
  NegativeCache failures_;
  ResponseCache cache_;
  std::vector<Action> actions_;
  std::string path_;                              // of the part being resolved; kept for its capacity
  std::shared_ptr<const membership::View> view_;  // null: no fleet
  KeyOwnerSelector owners_;
  Counters counters_;
};

}  // namespace granitegap::deps
