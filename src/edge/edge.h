// The protocol-neutral core of the tile server: admits, runs and answers requests. The edge keeps the open
// requests, the idempotency keys, the timers, and the state of health, drain and recovery; the admission
// controller makes the admission decisions.
//
// The edge reads no clock and does no I/O: its owner passes in Inputs with the time and carries out the
// Outputs in order. All data is exchanged by value.
//
// Each open request has exactly one entry, in OpenRequests, and one stage. The entry is removed when the work
// for the request has ended and its response was made. A response is made in one place only, and only once.
//
// Threads: one thread at a time, without reentrant calls. Errors: no content of an input causes an exception;
// inputs about unknown or finished requests are ignored.
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

// How a process that shares its listening socket leases an idempotency key before it runs the request.
struct KeyLeaseHooks {
  // Returns whether this process now holds the lease, so that the request may run here. The lease lasts for
  // `retention` from the request's arrival.
  std::function<bool(const Request& request, Duration retention, UnixTime now)> acquire;
  // Releases the lease of a request that never ran.
  std::function<void(const Request& request)> release;
};

// The status that this process publishes to its fleet.
struct MemberStatus {
  membership::Stage stage = membership::Stage::starting;
  std::uint8_t warmup_percent = 0;  // 100: warmed up
  std::uint8_t load_percent = 0;    // derived from the advertised credit; 100: no capacity is left
  std::vector<membership::EndpointHealth> endpoint_health;
  membership::RecoveryStatus recovery_status;
};

// Admits, runs and answers requests, as the head of this file describes.
class Edge {
 public:
  // `seed` seeds all random choices: equal inputs and seeds give equal outputs.
  Edge(ParsedSettings settings, NameRegistry names, std::uint64_t seed);

  // ---- Optional features; each is enabled at most once, before the first step ----

  // Combines the kernel's result and the gathered parts into one payload.
  using Compose = std::function<Payload(std::string result, const std::vector<GatheredPart>& parts)>;
  // Lets requests gather parts from downstream dependencies before they run, as `spec` declares by class.
  // With `guarded` false there are no retry budgets, limits or circuit breakers: a baseline for measurements.
  void enable_dependencies(std::shared_ptr<const deps::Spec> spec, Compose compose, bool guarded = true);
  // Rejects requests with an idempotency key for as long as a previous incarnation may have run them.
  // `max_clock_setback`: the maximum by which the wall clock may have been set back. `has_state_directory`:
  // whether a shutdown record may exist.
  void enable_restart_quarantine(Duration max_clock_setback, bool has_state_directory, TimePoint started);
  // Limits admission while this process recovers from a restart.
  void enable_recovery_ramp(const recovery::RecoveryOptions& options, TimePoint started);
  // For processes that share the listening socket with another one: leases keys before their requests run.
  void set_key_lease_hooks(KeyLeaseHooks hooks) { key_leases_ = std::move(hooks); }

  // ---- Work ----

  // Handles all inputs since the last step, in order. Returns the outputs to carry out, in order.
  [[nodiscard]] std::vector<Output> step(Now now, std::vector<Input> inputs);
  // Returns when the next step is due if no input arrives; nullopt: not before the next input.
  [[nodiscard]] std::optional<TimePoint> next_timer();

  // ---- State ----

  // The lifecycle state that operators and the shutdown set. A change must be followed by a LifecycleChanged.
  lifecycle::Lifecycle& lifecycle() { return lifecycle_; }
  const lifecycle::Lifecycle& lifecycle() const { return lifecycle_; }
  // Returns whether health checks succeed.
  [[nodiscard]] bool healthy() const { return controller_healthy_ && lifecycle_.accepts_traffic(); }
  // Returns whether the admission controller reports bad health, regardless of the lifecycle.
  [[nodiscard]] bool controller_unhealthy() const { return !controller_healthy_; }
  // Returns whether every request has its response.
  [[nodiscard]] bool has_no_pending_responses() const { return pending_responses_ == 0; }
  // Number of requests whose work has not ended, answered or not.
  [[nodiscard]] std::size_t open_requests() const { return open_.size(); }
  // Returns null without a recovery ramp. The pointer is valid for the lifetime of the edge.
  [[nodiscard]] const recovery::RecoveryController* recovery() const {
    return recovery_ ? &*recovery_ : nullptr;
  }
  [[nodiscard]] MemberStatus member_status(TimePoint now) const;
  // Returns the remaining time of the restart quarantine; Duration::max() if its end is not known yet.
  [[nodiscard]] Duration key_quarantine_left(TimePoint now) const;
  // Returns the maximum, over all classes, of the time for which a key must not run again.
  [[nodiscard]] Duration longest_key_retention() const;
  // Returns the warm state that the next incarnation of this process, or another member, can start from.
  [[nodiscard]] warm_state::WarmState export_warm_state(TimePoint now) const;

 private:
  struct Timer {
    TimePoint at;
    std::uint64_t order;  // breaks ties: timers due at the same time fire in the order they were set
    TimerToken token;
    bool operator>(const Timer& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  struct Fleet {
    double missing_share = 0;  // share of the agreed members that is missing
    std::mt19937_64 retry_jitter;
  };
  // A graceful shutdown that has begun.
  struct ActiveDrain {
    Now began;
    Duration time_limit;  // from its beginning until the process is stopped
  };
  struct RetryAdvice {
    Duration retry_after{};  // 0: no Retry-After
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

  // ---- Actions of the admission controller ----
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
  void send_command(KernelCommand to_send) {
    outputs_.emplace_back(std::in_place_type<Command>, std::move(to_send));
  }

  // ---- Requests: edge_requests.cpp ----
  bool is_acceptable(const Request& request) const;
  bool has_invalid_arrival_time(const Request& request) const;
  bool is_past_drain_grace() const;
  void abandon(RequestId id, OpenRequest& open);
  void stop_work(RequestId id, OpenRequest& open);
  // Makes the response to an open request. No other function does; further calls for the request do nothing.
  void respond(OpenRequest& open, Outcome outcome, PayloadPtr payload = nullptr,
               RetryAdvice advice = {{}, false});
  // Rejects a request that has no entry in the table.
  void reject(const ReplyAddress& to, Duration retry_after = {});
  Duration spread_retry_after(Duration advised);
  void finish_follower(RequestId id, IdempotencyTable::RunState state, const PayloadPtr& payload);
  // Removes the request's entry and answers its followers with the payload.
  void close_request(RequestId id, IdempotencyTable::RunState state, const PayloadPtr& payload);

  // ---- Runs: edge_runs.cpp ----
  void enter_stage(OpenRequest& open, RequestStage stage);
  void start_run(RequestId id, OpenRequest& open);
  // Returns true if the request must not run; it is then answered and closed.
  bool close_if_run_forbidden(RequestId id, OpenRequest& open);
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
  // Returns true if the request was rejected.
  bool reject_quarantined(const Request& request);
  void update_recovery();
  void log_recovery();
  membership::RecoveryStatus recovery_status() const;
  double warmup_fraction(TimePoint now) const;
  Duration warm_up_time() const;
  membership::Stage member_stage(std::uint8_t warmup_percent) const;

  // ---- Health and shutdown: edge_health.cpp ----
  void start_controller(bool cold, TimePoint started_at);
  void report_drain();
  void publish_load_report();
  void fail_deep_checks();

  ParsedSettings settings_;
  NameRegistry names_;
  std::uint64_t seed_;
  std::optional<AdmissionController> controller_;  // created at the kernel's first start

  // State of the current step.
  Now now_{};
  std::uint64_t batch_ = 0;
  std::vector<Event> events_;  // to be reported to the controller
  std::vector<Output> outputs_;
  std::vector<deps::GatherEnded> ended_gathers_;

  OpenRequests open_;
  IdempotencyTable keys_;
  KeyLeaseHooks key_leases_;
  std::uint32_t next_id_ = 1;
  std::size_t pending_responses_ = 0;
  TimePoint keys_expired_at_;

  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t next_timer_order_ = 0;
  std::vector<float> gauges_;
  TimePoint gauges_received_at_;

  std::optional<deps::ScatterGather> scatter_gather_;  // empty unless dependencies are enabled
  Compose compose_;
  std::map<RequestId, std::uint64_t>
      cache_fills_;                   // cache fills for other members: the tags of their queries
  bool logged_call_request_ = false;  // that line is logged once per process

  lifecycle::Lifecycle lifecycle_;
  bool controller_healthy_ = true;
  bool health_from_state_ = false;
  std::optional<double> advertised_credit_;  // none before the controller advertises it
  std::map<std::uint64_t, ReplyAddress> deep_checks_;
  std::uint64_t next_deep_check_tag_ = 1;
  TimePoint kernel_started_at_{};
  std::optional<ActiveDrain> drain_;  // empty before the shutdown
  bool admission_closed_ = false;

  std::optional<Fleet> fleet_;                             // empty until the first membership view
  std::optional<recovery::RestartQuarantine> quarantine_;  // empty unless the quarantine is enabled
  std::optional<recovery::RecoveryController> recovery_;   // empty unless the ramp is enabled
  std::mt19937_64 retry_jitter_;                           // spreads Retry-After during a recovery
  AdmissionLimits admission_limits_;                       // the limits last reported to the controller
  TimePoint recovery_ticked_at_{};
};

}  // namespace granitegap::edge
