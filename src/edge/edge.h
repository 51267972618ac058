// The protocol-neutral core of the tile server: admits, runs and answers requests. It keeps the open
// requests, the idempotency keys, the timers, and the state of health, drain and recovery around the
// admission controller, which takes the decisions.
//
// It reads no clock and does no I/O: whoever owns it hands in Inputs with the time, and carries out the
// Outputs in order. Everything is exchanged by value.
//
// Each open request has one owner, its entry here, and one state. The entry goes when the work for it is over
// and its response given; a response is made in one place only, and only once.
//
// Threads: one thread at a time, with no call during another. Errors: none are thrown for what an input
// holds; inputs about unknown or finished requests are ignored.
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "edge/idempotency_table.h"
#include "edge/open_requests.h"
#include "edge/types.h"
#include "granitegap/policy.h"
#include "lifecycle/lifecycle.h"
#include "recovery/recovery_controller.h"
#include "settings/settings.h"

namespace granitegap::edge {

// How one process at a shared listening socket leases an idempotency key before it runs the request.
struct KeyLeaseHooks {
  // Whether this process now holds the lease, so that the request may run here. The lease lasts for
  // `retention`, counted from the request's arrival.
  std::function<bool(const Request& request, Duration retention, UnixTime now)> acquire;
  // Gives the lease back: the request never ran.
  std::function<void(const Request& request)> release;
};

// What this process publishes of itself to its fleet.
struct MemberStatus {
  membership::Stage stage = membership::Stage::starting;
  std::uint8_t warmup_percent = 0;  // 100: warmed up
  std::uint8_t load_percent = 0;    // from the credit advertised; 100: no capacity is left
  std::vector<membership::EndpointHealth> endpoint_health;
  membership::RecoveryStatus recovery_status;
};

class Edge {
 public:
  // `seed` feeds all random choices: the same inputs then give the same outputs.
  Edge(ParsedSettings settings, NameRegistry catalog, std::uint64_t seed);

  // ---- Optional parts; each at most once, before the first step ----

  // Makes one payload of the kernel's result and the gathered parts.
  using Compose = std::function<Payload(std::string result, const std::vector<GatheredPart>& parts)>;
  // Has classes gather parts from downstream dependencies before they run. With `guarded` false there are no
  // retry budgets, limits or circuit breakers: a baseline for measurements.
  void enable_dependencies(std::shared_ptr<const deps::Spec> spec, Compose compose, bool guarded = true);
  // Rejects requests with an idempotency key for as long as an earlier incarnation may have run them.
  // `max_clock_back`: how far the wall clock may have been set back. `has_folder`: whether a shutdown record
  // may exist.
  void enable_restart_quarantine(Duration max_clock_back, bool has_folder, TimePoint started);
  // Limits admission while this process recovers from a restart.
  void enable_recovery_ramp(const recovery::RecoveryOptions& options, TimePoint started);
  // Another process may serve at the same listening socket: keys are leased before their requests run.
  void set_key_lease_hooks(KeyLeaseHooks hooks) { key_leases_ = std::move(hooks); }

  // ---- Work ----

  // Handles all inputs since the last step, in order. Returns what to do now, in order.
  [[nodiscard]] std::vector<Output> step(Now now, std::vector<Input> inputs);
  // When the next step is due without an input; nothing: not before one comes.
  [[nodiscard]] std::optional<TimePoint> next_timer();

  // ---- State, for the components around ----

  // What operators and the process end have set. Whoever changes it hands in a LifecycleChanged.
  lifecycle::Lifecycle& lifecycle() { return lifecycle_; }
  const lifecycle::Lifecycle& lifecycle() const { return lifecycle_; }
  // Whether health checks succeed.
  [[nodiscard]] bool healthy() const { return controller_healthy_ && lifecycle_.accepts_traffic(); }
  // The admission controller reports bad health, whatever operators have set.
  [[nodiscard]] bool controller_unhealthy() const { return !controller_healthy_; }
  // Every request has got its response.
  [[nodiscard]] bool has_no_pending_responses() const { return pending_responses_ == 0; }
  // Requests whose work is not over yet, answered or not.
  [[nodiscard]] std::size_t open_requests() const { return open_.size(); }
  // Null without a recovery ramp. Valid as long as the edge.
  [[nodiscard]] const recovery::RecoveryController* recovery() const {
    return recovery_ ? &*recovery_ : nullptr;
  }
  [[nodiscard]] MemberStatus member_status(TimePoint now) const;
  // How long the restart quarantine lasts from `now`; Duration::max() where its end is not known yet.
  [[nodiscard]] Duration key_quarantine_left(TimePoint now) const;
  // The longest time for which a key must not run again, over all classes.
  [[nodiscard]] Duration longest_key_retention() const;
  // What another incarnation of this process, or another member, can start from.
  [[nodiscard]] warm_state::WarmState export_warm_state(TimePoint now) const;

 private:
  struct Timer {
    TimePoint at;
    std::uint64_t order;  // timers due at the same time fire in the order in which they were set
    TimerToken token;
    bool operator>(const Timer& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Fleet {
    double missing_share = 0;  // of the members agreed on
    std::mt19937_64 retry_jitter;
  };
  struct RetryAdvice {
    Duration retry_after{};  // 0: none
    bool do_not_retry_elsewhere;
  };

  // ---- Inputs ----
  void on(Request request);
  void on(const MalformedRequest& request);
  void on(const PeerDisconnected& disconnected);
  void on(const RequestCancelled& cancelled);
  void on(const HealthCheck& check);
  void on(const DeepHealthCheckResult& result);
  void on(const LifecycleChanged& changed);
  void on(const Drain& drain);
  void on(const AdmissionClosed& closed);
  void on(const KernelStarted& started);
  void on(RunReport report);
  void on(const DependencyCallRequested& call);
  void on(const CommandRejected& rejected);
  void on(const Gauges& gauges);
  void on(const deps::CallCompletion& report);
  void on(const DependencySpecUpdate& update);
  void on(const CacheFillQuery& query);
  void on(const MembershipUpdate& update);
  void on(const PreviousIncarnationFound& found);
  void on(const WarmStateReceived& received);
  void on(const StateTransferFinished& finished);

  // ---- Actions of the controller ----
  void apply(const Run& run);
  void apply(const Reject& rejection);
  void apply(const Fail& failure);
  void apply(const Suspend& suspend);
  void apply(const CacheResult& cache);
  void apply(const EvictResult& evict);
  void apply(const ReuseResult& reuse);
  void apply(const SetHealth& health);
  void apply(const AdvertiseCredit& advertised);
  void apply(const CloseIdleConnections& close);
  void apply(const SetTimer& set);
  void apply(const Log& log);
  void apply(const Call& call);
  void apply(const SkipCall& skip);

  // ---- The step: edge.cpp ----
  void run_controller();
  void apply_all(const std::vector<Action>& actions);
  void expire_keys();
  void fire_timers();
  std::span<const float> fresh_gauges() const;
  void log_event(std::string text, std::string_view event, std::string subject = {});
  template <class KernelCommand>
  void command(KernelCommand to_send) {
    outputs_.emplace_back(std::in_place_type<Command>, std::move(to_send));
  }

  // ---- Requests: edge_requests.cpp ----
  bool is_acceptable(const Request& request) const;
  bool has_bad_stamp(const Request& request) const;
  bool is_past_grace() const;
  void abandon(RequestId id, OpenRequest& open);
  void stop_work(RequestId id, OpenRequest& open);
  // The only place where the response to an open request is made; further calls for it do nothing.
  void respond(OpenRequest& open, Outcome outcome, PayloadPtr payload = nullptr,
               RetryAdvice advice = {{}, false});
  // For requests that are not taken in.
  void reject(const ReplyAddress& to, Duration retry_after = {});
  Duration spread_retry_after(Duration advised);
  void finish_follower(RequestId id, IdempotencyTable::RunState state, const PayloadPtr& payload);
  // Ends the request; its followers get the payload.
  void close_request(RequestId id, IdempotencyTable::RunState state, const PayloadPtr& payload);

  // ---- Runs: edge_runs.cpp ----
  void enter_stage(OpenRequest& open, RequestStage stage);
  void start_run(RequestId id, OpenRequest& open);
  bool refuse_run(RequestId id, OpenRequest& open);  // true: it must not run, and is closed
  bool acquire_key_lease(const Request& request);
  std::optional<RequestId> find_running(const std::string& rid);
  void finish_run(RequestId id, RunResult result, Duration duration, const PayloadPtr& payload);
  void finish_preemption(RequestId id, OpenRequest& open, Duration duration);
  void discard_run(RequestId id, const OpenRequest& open);
  Duration latency_objective(ClassId cls) const;

  // ---- Downstream dependencies: edge_dependencies.cpp ----
  bool needs_gather(const OpenRequest& open) const;
  void begin_gather(RequestId id, OpenRequest& open, Duration budget, bool may_call);
  void finish_gather(const deps::GatherEnded& ended);
  void finish_cache_fill(const deps::GatherEnded& ended, std::uint64_t tag);
  PayloadPtr make_payload(OpenRequest& open, std::string result);
  void dispatch_calls();
  DependencyCall make_call(const deps::StartCall& start) const;
  void log_dependency_change(const deps::CircuitBreakerChanged& changed);
  void log_fleet_share(const deps::FleetShareChanged& changed);

  // ---- Recovery and membership: edge_recovery.cpp ----
  bool reject_quarantined(const Request& request);  // true: it is rejected
  void update_recovery();
  void log_recovery();
  membership::RecoveryStatus recovery_status() const;
  double warmup_fraction(TimePoint now) const;

  // ---- Health and shutdown: edge_health.cpp ----
  void start_controller(bool cold, TimePoint started_at);
  void publish_load_report();
  void fail_deep_checks();

  ParsedSettings settings_;
  NameRegistry catalog_;
  std::uint64_t seed_;
  std::optional<AdmissionController> controller_;  // from the kernel's first start on

  // Of the step under way.
  Now now_{};
  std::uint64_t batch_ = 0;
  std::vector<Event> events_;  // not reported to the controller yet
  std::vector<Output> outputs_;
  std::vector<deps::GatherEnded> ended_gathers_;

  OpenRequests open_;
  IdempotencyTable keys_;
  KeyLeaseHooks key_leases_;
  std::uint32_t next_id_ = 1;
  std::size_t pending_responses_ = 0;
  TimePoint keys_expired_at_;

  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t timer_order_ = 0;
  std::vector<float> gauges_;
  TimePoint gauges_received_at_;

  std::optional<deps::ScatterGather> scatter_gather_;  // where dependencies are declared
  Compose compose_;
  std::map<RequestId, std::uint64_t> cache_fills_;  // for other members: the tags of their queries
  bool logged_call_request_ = false;

  lifecycle::Lifecycle lifecycle_;
  bool controller_healthy_ = true;
  bool health_from_store_ = false;
  std::optional<double> credit_;  // as the controller advertises it
  std::map<std::uint64_t, ReplyAddress> deep_checks_;
  std::uint64_t next_deep_check_ = 1;
  TimePoint kernel_started_at_{};
  std::optional<UnixTime> draining_since_;
  bool admission_closed_ = false;

  std::optional<Fleet> fleet_;                             // once there is a membership view
  std::optional<recovery::RestartQuarantine> quarantine_;  // where it is enabled
  std::optional<recovery::RecoveryController> recovery_;   // where the ramp is enabled
  std::mt19937_64 retry_jitter_;                           // of Retry-After during the recovery
  AdmissionLimits admission_limits_;                       // as the controller knows it
  TimePoint recovery_ticked_at_{};
};

}  // namespace granitegap::edge
