// Gathers the parts that requests need from the services below: what to call, when to try again, when to go
// on without. No socket, no clock; deterministic under its seed.
//
//   begin -> for each part that needs no other:
//     kept and fresh ............................................. settled: fresh
//     the same call is in flight ................................. waits with it
//     may be kept, and another member fills it for the fleet ..... that one is asked; in vain: as below
//     failed a moment ago, dependency out or asked for quiet ..... fall_back
//     under the concurrency limit ................................ called
//     room among those that wait ................................. waits for a slot
//     else ....................................................... fall_back
//   fall_back: kept and stale within its bound -> stale; declared default -> fallback; else absent.
//   A part settles once; when all have, or a required one is absent, GatherEnded follows once, never later
//   than the gather's budget.
//
// A call is shared by all parts that ask the same of the same dependency. Its attempts: the first, a hedge,
// and retries, all but the first paid for by RetryBudget. It ends with its first good answer, when its
// attempts are spent, or when nobody waits for it any more; what is open of it then is abandoned.
//
// Ownership: the actions since the last take_actions() are kept here; a StartCall's path is valid until the
// next call of any member. A gather's parts stay until release().
#pragma once
#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "deps/cache_fill.h"
#include "deps/endpoints.h"
#include "deps/latency_window.h"
#include "deps/limits.h"
#include "deps/path_template.h"
#include "deps/response_cache.h"
#include "deps/slot_index.h"
#include "deps/spec.h"
#include "membership/views.h"
#include "warm_state/warm_state.h"

namespace granitegap::deps {

enum class CallId : std::uint64_t {};

enum class CallOutcome : std::uint8_t {
  ok,
  not_found,        // an answer that there is none (4xx): the dependency is well
  error,            // 5xx, or what is no HTTP
  overloaded,       // 429 or 503; `retry_after` tells for how long, where it does
  unreachable,      // no connection
  connection_lost,  // it ended in the middle
  limit_exceeded,   // over a bound of header, body or time per byte
};
struct CallCompletion {
  CallId id{};
  CallOutcome outcome{};
  Duration took{};
  std::optional<Duration> retry_after;
  SharedBody body;
};

struct StartCall {
  CallId id{};
  std::uint32_t dependency = 0, endpoint = 0;
  const std::string* path = nullptr;
  const KeyOwner* owner = nullptr;  // it goes to that member, not to an endpoint
};
struct CancelCall {
  CallId id{};
};
struct GatherEnded {
  RequestId id{};
  bool required_parts_present = false;  // every required part is there
};
struct CircuitBreakerChanged {  // for those on call
  std::uint32_t dependency = 0;
  bool is_open = false;
  Duration was_open_for{};  // the outage lasted
};
using Action = std::variant<StartCall, CancelCall, GatherEnded, CircuitBreakerChanged>;

enum class PartStatus : std::uint8_t { pending, fresh, stale, fallback, absent };
struct PartResult {
  std::string_view name;
  PartStatus status = PartStatus::pending;
  Duration age{};  // since the dependency answered
  SharedBody body;
};

struct Counters {
  std::uint64_t parts_needing_call = 0;  // parts that wanted a call
  std::uint64_t calls = 0, retries = 0, hedges = 0, probes = 0, coalesced = 0, shed = 0, late_completions = 0;
  std::uint64_t fresh = 0, stale = 0, fallback = 0, absent = 0, circuits_opened = 0;
  std::uint64_t owner_requests = 0, owner_hits = 0, cache_fills = 0;  // filled: asked by others
  std::uint32_t max_in_flight = 0;
};

class ScatterGather {
 public:
  // `guarded` false: the plain policy that measurements compare with: one try, no limit, no breaker, no
  // timeout but the budget's end.
  ScatterGather(std::shared_ptr<const Spec> spec, std::uint64_t seed, bool guarded = true);
  bool has_gather(ClassId cls) const;

  struct RequestAttributes {
    std::uint64_t obj = 0;
    std::string_view body, cls;
  };
  // `may_call` false: only what is kept or declared.
  void begin(RequestId id, ClassId cls, const RequestAttributes& attributes, Duration budget, bool may_call,
             TimePoint now);
  // What another member asks of this one, the owner of that key: GatherEnded follows, and parts() has the one
  // value where it is whole enough. False where nothing of the kind is declared here.
  bool begin_cache_fill(RequestId id, const CacheFillRequest& question, TimePoint now);
  void cancel(RequestId id, TimePoint now);  // no GatherEnded follows
  void on_call_completed(const CallCompletion& report, TimePoint now);
  void tick(TimePoint now);
  std::optional<TimePoint> next_timer();

  std::span<const Action> actions() const { return actions_; }
  void clear_actions() { actions_.clear(); }
  // By its id, from begin() to release(); names point into the spec in force at begin().
  std::vector<PartResult> parts(RequestId id) const;
  void release(RequestId id);

  // A new declaration. Calls in flight go on, gathers keep the one they began under, and what is known of
  // dependencies and endpoints that stay is kept.
  void update_spec(std::shared_ptr<const Spec> spec, TimePoint now);

  // Where there is a fleet: one member probes each endpoint of a dependency that is out for all, and says
  // what it finds.
  void on_membership_view(std::shared_ptr<const membership::View> view, TimePoint now);
  std::vector<membership::EndpointHealth> endpoint_health(TimePoint now) const;

  // What is known of endpoints and the hottest of what is kept, for another life; and what an earlier one
  // knew: the numbers that were of use. What was heard here since overrules it.
  void export_state(warm_state::WarmState& to, TimePoint now) const;
  struct Restored {
    std::size_t endpoints = 0, responses = 0;
  };
  Restored restore(const warm_state::WarmState& from, TimePoint now);

  const EndpointSpec& address(std::uint32_t dependency, std::uint32_t endpoint) const {
    return deps_[dependency].endpoints.address(endpoint);
  }
  const DependencySpec& dependency(std::uint32_t i) const { return deps_[i].spec; }
  const Counters& counters() const { return counters_; }
  std::uint32_t in_flight(std::uint32_t dependency) const { return deps_[dependency].open; }
  std::uint32_t concurrency_limit(std::uint32_t dependency) const { return deps_[dependency].limit.limit(); }
  bool is_circuit_open(std::uint32_t dependency) const { return deps_[dependency].circuit.is_open(); }
  std::size_t active_gathers() const { return by_request_.size(); }
  std::size_t active_calls() const { return by_key_.size(); }

 private:
  using Slot = SlotIndex::Slot;
  static constexpr Slot kNone = SlotIndex::kNone;
  static constexpr std::size_t kMaxAttempts = 4;
  static constexpr std::uint32_t kOwnerAttempt = 15;  // the number of the one that goes to a member

  struct Loaded {  // a spec, made ready
    std::shared_ptr<const Spec> spec;
    std::vector<std::uint32_t> dependency;         // the spec's number -> ours
    std::vector<std::vector<PathTemplate>> paths;  // by gather and part
    std::vector<std::int32_t> gather_of;           // by class; -1: none
    std::shared_ptr<const Loaded> fills;           // a gather of one part for each of the dependencies
  };
  struct Part {
    PartStatus status = PartStatus::pending;
    bool begun = false;
    Slot flight = kNone;
    TimePoint deadline{};
    CacheKey key;
    Duration age{}, fresh{};  // fresh: the most that may be
    SharedBody body;
  };
  struct Gather {
    RequestId id{};
    std::uint32_t generation = 0;
    std::shared_ptr<const Loaded> loaded;
    std::size_t which = 0;  // of the spec's gathers
    std::size_t pending = 0;
    TimePoint began{}, deadline{};
    bool may_call = true, over = false;
    std::uint64_t obj = 0;
    std::string body, cls;
    std::vector<Part> parts;
  };
  struct Waiter {
    Slot gather = kNone;
    std::uint32_t part = 0;
  };
  struct Attempt {
    std::uint32_t endpoint = 0;
    bool open = false;
    TimePoint started{}, until{};
  };
  enum class FlightState : std::uint8_t { queued, calling, pausing };
  struct Flight {
    std::uint32_t generation = 0, dependency = 0;
    FlightState state = FlightState::queued;
    CacheKey key;
    std::string path;
    std::array<Attempt, kMaxAttempts> attempts;
    std::uint32_t attempts_made = 0;
    bool detached = false;                // a probe, for which nobody waits
    std::optional<std::uint32_t> only{};  // the endpoint that it is for
    bool used = false;
    struct Asking {  // the owner
      KeyOwner owner;
      std::string target;
      TimePoint since{};
      bool open = false;
    } asking{};
    Slot before = kNone, after = kNone;  // among those that wait for a slot
    std::vector<Waiter> waiters;
  };
  struct LatencySummary {  // of the recent latencies; zero where too few are known
    Duration median{}, high{}, hedge{};
  };
  struct Dependency {
    explicit Dependency(const DependencySpec& s);
    DependencySpec spec;
    EndpointSet endpoints;
    ConcurrencyLimit limit;
    RetryBudget budget;
    CircuitBreaker circuit;
    LatencyWindow latency;
    LatencySummary summary;
    TimePoint summary_taken_at{};
    std::uint32_t samples_since_summary = 0;
    void heard(Duration took, TimePoint now);
    const LatencySummary& latency_summary(TimePoint now);
    struct HealthCheckTraffic {  // as other members are told
      std::uint64_t key = 0;
      TimePoint at{};
      bool out = true;
    };
    std::vector<HealthCheckTraffic> probed;  // by endpoint
    std::uint32_t next_probed = 0;
    std::vector<std::uint64_t> fleet_keys;  // by endpoint: its name to other members
    void name_endpoints();                  // after every change of them
    void note_probe(std::uint32_t endpoint, bool out, TimePoint now);
    std::uint32_t open = 0, waiting = 0;
    Slot oldest = kNone, newest = kNone;  // of those that wait
  };
  struct Failure {
    CacheKey key;
    TimePoint until{};
  };
  enum class TimerKind : std::uint8_t { part, call, hedge, retry, owner };
  struct Timer {
    TimePoint at;
    std::uint64_t order;
    TimerKind kind;
    Slot slot;
    std::uint32_t generation, number;
    bool operator>(const Timer& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  std::shared_ptr<const membership::View> fleet_;
  KeyOwnerSelector owners_;
  void share_limits();
  // The longest that any part may still take a kept answer of it.
  Duration cached_for(std::uint32_t dependency) const;
  std::shared_ptr<const Loaded> load(std::shared_ptr<const Spec> spec, TimePoint now);
  const GatherSpec& what(const Gather& g) const { return g.loaded->spec->gathers[g.which]; }
  Slot find_gather(RequestId id) const;
  double roll() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  void set_timer(TimePoint at, TimerKind kind, Slot slot, std::uint32_t generation, std::uint32_t number);
  bool stands(const Timer& t) const;
  void fire(const Timer& t, TimePoint now);

  Slot new_gather(RequestId id, std::shared_ptr<const Loaded> loaded, std::size_t which);
  void start_part(Slot gather, std::uint32_t part, TimePoint now);
  // Once its path is in path_. `own`: not by asking another member.
  void seek(Slot gather, std::uint32_t part, std::uint32_t dependency, Duration fresh, bool own,
            TimePoint now);
  bool ask_owner(Slot flight, Duration fresh, TimePoint now);
  void owner_ended(Slot flight, const CallCompletion& report, TimePoint now);
  void owner_failed(Slot flight, TimePoint now);
  void fall_back(Slot gather, std::uint32_t part, TimePoint now);
  void settle(Slot gather, std::uint32_t part, PartStatus status, SharedBody body, Duration age,
              TimePoint now);
  void finish(Slot gather, bool required_parts_present, TimePoint now);
  void leave(Slot gather, std::uint32_t part, TimePoint now);

  Slot new_flight(std::uint32_t dependency, const CacheKey& key);
  void launch(Slot flight, TimePoint now);
  void start_attempt(Slot flight, TimePoint now);
  void end_attempt(Slot flight, std::uint32_t number);
  void attempt_failed(Slot flight, std::uint32_t number, CallOutcome outcome, bool fair,
                      std::optional<Duration> retry_after, TimePoint now);
  void time_out(Slot flight, std::uint32_t number, TimePoint now);
  void after_failure(Slot flight, TimePoint now);
  void answered(Slot flight, const SharedBody& body, Duration age, TimePoint now);
  void give_up(Slot flight, TimePoint now);
  void abandon_attempts(Slot flight);
  void free_flight(Slot flight);
  void unqueue(Slot flight);
  void pump(std::uint32_t dependency, TimePoint now);
  void probe(std::uint32_t dependency, const CacheKey& key, const std::string& path, TimePoint now);
  // Which endpoint is this one's to probe; absent where others probe all of them.
  std::optional<std::uint32_t> to_probe(Dependency& d) const;
  void note_success(Dependency& d, std::uint32_t number, TimePoint now);
  void note_failure(std::uint32_t number, TimePoint now);
  TimePoint latest_deadline(const Flight& f) const;
  bool any_open(const Flight& f) const;
  bool failed_lately(const CacheKey& key, TimePoint now) const;
  void remember_failure(const CacheKey& key, TimePoint now);
  CallId call_id(Slot flight, std::uint32_t number) const;

  bool guarded_;
  std::uint64_t hash_seed_;
  std::mt19937_64 random_;
  std::shared_ptr<const Loaded> loaded_;
  std::deque<Dependency> deps_;
  std::deque<Gather> gathers_;
  std::deque<Flight> flights_;
  std::vector<Slot> free_gathers_, free_flights_;
  SlotIndex by_request_, by_key_;
  std::vector<Timer> timers_;  // a heap
  std::uint64_t timer_order_ = 0;
  std::vector<Failure> failures_;  // direct-mapped: a newer failure may push an older one out
  std::vector<Action> actions_;
  std::string path_;  // being filled in
  ResponseCache cache_;
  Counters counters_;
};

}  // namespace granitegap::deps
