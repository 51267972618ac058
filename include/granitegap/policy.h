// The public interface of granitegap: the settings, events and actions of the admission controller of one
// server instance. The credit pool and its delay targets follow CoreSync (joint core and credit control);
// docs/design.md describes where the controller departs from it.
//
// Contract
//  - Threads: one controller belongs to one instance; calls must not overlap. The controller starts no
//    thread, reads no clock and does no I/O. Two controllers share no state.
//  - Time: the host passes `now` with each batch, on any steady scale. Equal times are valid; a time before
//    the latest one seen is treated as the latest one.
//  - Ownership: everything is a value. handle() returns the actions to apply at once, in order.
//  - The host guarantees that ids are not reused during an instance's lifetime, that it reports the end of
//    every Run, ReuseResult and Call, and that a timer fires no earlier than requested and never within the
//    batch that set it.
//  - Errors: none are thrown. A duplicate id, an event about an unknown or finished request, or an unknown
//    timer token is ignored. Missing, contradictory or non-finite settings are replaced by conservative ones
//    and named in one Log.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace granitegap {

using Duration = std::chrono::microseconds;

/// The clock type of TimePoint. It has no now(): the host supplies the time.
struct HostClock {
  // The names that the C++ standard requires of a clock.
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<HostClock, Duration>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)
};
using TimePoint = HostClock::time_point;

/// Identifies a request during the lifetime of the instance.
enum class RequestId : std::uint32_t {};
/// The position of a class in Settings::classes.
enum class ClassId : std::uint32_t {};
/// The position of a tenant in Settings::tenants.
enum class TenantId : std::uint32_t {};
/// Identifies a caller, for example a client proxy.
enum class CallerId : std::uint32_t {};
/// Identifies a timer between SetTimer and TimerFired.
enum class TimerToken : std::uint32_t {};
/// Memory in thousandths of a kilobyte; an integer, so that sums are exact.
enum class MemorySize : std::int64_t {};

// ---- Settings ----

/// Whether a request may run more than once.
enum class Idempotency {
  idempotent,  ///< any attempt may run
  with_key,    ///< of the attempts with one idempotency key, one may run within the class's window
  none,        ///< must not run again after it has run
};

/// How the host can stop a running request.
enum class SuspendKind {
  none,   ///< not at all
  drop,   ///< stop it and discard its progress; it is queued again
  pause,  ///< stop it and keep its progress and its memory
};

/// Destination of the calls that requests make.
enum class Downstream {
  none,
  shared,     ///< one dependency shared by all servers
  next_tier,  ///< servers that run the same controller
};

/// Meaning of the number in AdvertiseCredit to callers.
enum class AdvertisedValue {
  none,
  credits,             ///< number of outstanding requests that each caller may have at this server
  min_rank,            ///< minimum rank of the requests that callers send
  accept_probability,  ///< probability that a caller does not skip this server
};

/// One request class. An absent value is replaced by a conservative one.
struct ClassSettings {
  std::optional<Duration> latency_objective;       ///< answers within this time earn the full weight
  std::optional<Duration> deadline;                ///< for all attempts of one request together
  std::optional<Duration> idempotency_window;      ///< how long attempts with the same key may arrive
  std::optional<double> priority_weight;           ///< weight of one request
  std::optional<double> late_weight_fraction;      ///< part of the weight for an answer after the objective
  std::optional<double> degraded_weight_fraction;  ///< part of the weight for an answer without its call
  std::optional<double> objective_stretch;  ///< extension of the objective per unit of the request's work
  std::optional<Idempotency> idempotency;
  std::optional<bool> makes_calls;
};

/// Settings of one tenant.
struct TenantSettings {
  std::optional<double> quota_per_s;  ///< requests per second over all servers
  std::optional<double> share;        ///< fraction of the service's capacity
};

/// A setting whose value could not be read.
struct InvalidSetting {
  std::string key;
  std::string value;
};

/// Settings of one instance. The controller replaces absent values by defaults.
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;

  // The server and its fleet.
  std::optional<double> cores;
  std::optional<double> servers;            ///< number of servers in the endpoint list at the start
  std::optional<double> callers;            ///< number of callers at the start
  std::optional<double> tier;               ///< 0 is the outermost tier
  std::optional<bool> cold;                 ///< the server starts cold
  std::optional<double> cold_speed;         ///< fraction of full speed at a cold start
  std::optional<Duration> warm_up;          ///< maximum time from a cold start to full speed
  std::optional<double> overload_factor;    ///< concurrent requests per core that a warm server survives
  std::optional<Duration> overload_window;  ///< averaging window of that concurrency
  std::optional<Duration> tick_interval;    ///< minimum time between two batches
  std::optional<SuspendKind> suspend;

  // Memory, in kilobytes.
  std::optional<double> memory_kb;
  std::optional<double> table_entry_kb;      ///< memory of one cached result
  std::optional<double> run_memory_factor;   ///< memory of a running request over that of a queued one
  std::optional<Duration> response_max_age;  ///< how long the result of a read may be reused; 0: never

  // Calls to the dependency.
  std::optional<Downstream> downstream;
  std::optional<double> call_quota;     ///< mean number of concurrent calls that this server may have open
  std::optional<Duration> call_window;  ///< averaging window of that mean
  std::optional<Duration> abandoned_call_linger;  ///< how long an abandoned call may occupy the dependency

  // Weights and prices.
  std::optional<double> over_quota_weight_fraction;  ///< part of the weight of requests over a tenant's quota
  std::optional<bool> weight_by_work;                ///< the weight counts per unit of work, not per request
  std::optional<double> price_call, price_connection, price_waste;

  // Answers and callers.
  std::optional<Duration> answer_slack;  ///< time after the due time in which an answer still counts
  std::optional<Duration> drain_grace;   ///< time after the drain starts in which arrivals may still run
  std::optional<bool> passes_deadline;   ///< requests carry the time that their caller waits
  std::optional<bool> reports_cancellation;
  std::optional<bool> marks_retries;
  std::optional<bool> forwards_retry_after;
  std::optional<Duration> max_retry_after;
  std::optional<Duration> idle_connection_timeout;
  std::optional<AdvertisedValue> advertised_value;
  std::optional<Duration> advertised_value_ttl;  ///< how long callers use the value

  // Health.
  std::optional<bool> deep_health_checks;
  std::optional<bool> endpoint_list_follows_health;

  std::vector<InvalidSetting> invalid_settings;  ///< reported in one Log
};

// ---- Events ----

/// How a run ended.
enum class RunResult {
  ok,
  error,
  cancelled,
  moot,  ///< no run was started, because the request had already ended
};
/// How a call to the dependency ended.
enum class CallResult {
  ok,
  error,
  rejected,  ///< the call never ran
  timed_out,
  unreachable,      ///< the call never ran
  connection_lost,  ///< the call may have run
};

/// A request was read and needs a decision.
struct RequestArrived {
  RequestId id{};
  ClassId class_id{};
  TenantId tenant{};
  CallerId caller{};
  std::uint64_t key = 0;                   ///< identifies the data that a read returns; 0: none
  std::optional<Duration> caller_timeout;  ///< time from now until the caller gives up
  std::optional<Duration> cost_hint;       ///< estimated core time
  MemorySize memory{};                     ///< memory of the request while it is queued
  Duration unread_wait{};                  ///< time since the request reached the machine
  bool is_retry = false;
  std::optional<RequestId> duplicate_of;  ///< the cached request that this request duplicates
};
/// A run ended.
struct RunEnded {
  RequestId id{};
  RunResult result{};
  Duration duration{};
};
/// A running request waits for a call to the dependency.
struct CallNeeded {
  RequestId id{};
};
/// A call to the dependency ended.
struct CallEnded {
  RequestId id{};
  CallResult result{};
  Duration duration{};
};
/// The caller gave up on a request.
struct RequestAbandoned {
  RequestId id{};
};
/// Graceful shutdown began.
struct DrainStarted {
  Duration time_until_stop{};  ///< from now until the process is stopped
  Duration elapsed{};          ///< since the shutdown began, for a controller that is created during it
};
/// A timer fired. Carries the gauges that the host has.
struct TimerFired {
  TimerToken token{};
  std::optional<double> core_utilization;    ///< 0 to 1, recent mean
  std::optional<double> runnable_tasks;      ///< tasks on the cores or waiting for one now
  std::optional<double> memory_utilization;  ///< 0 to 1
  std::optional<double> connections;         ///< open connections
};
/// Limits from a host that has fleet-wide information, for example during the fleet's recovery. They apply
/// until the next AdmissionLimits.
struct AdmissionLimits {
  /// Maximum expected wait for the cores, in delay targets of the request's class. Arrivals above it are
  /// rejected. Absent: no such limit.
  std::optional<double> max_wait_ratio;
  double credit_fraction = 1;  ///< 0 to 1; scales the advertised credit
};
using Event = std::variant<RequestArrived, RunEnded, CallNeeded, CallEnded, RequestAbandoned, DrainStarted,
                           TimerFired, AdmissionLimits>;

// ---- Actions ----

/// Start a queued request, or resume a paused one.
struct Run {
  RequestId id{};
};
/// Final answer: the attempt is rejected and never ran.
struct Reject {
  RequestId id{};
  bool do_not_retry_elsewhere = false;
  Duration retry_after{};  ///< 0: none advised
};
/// Final answer: an error. The request may or may not have run.
struct Fail {
  RequestId id{};
};
/// Stop a running request in the way given by Settings::suspend.
struct Suspend {
  RequestId id{};
};
/// Make the call that a request waits for.
struct Call {
  RequestId id{};
  Duration timeout{};
};
/// Continue a request without its call; its answer is degraded.
struct SkipCall {
  RequestId id{};
};
/// Keep the result of this request for later duplicates of it.
struct CacheResult {
  RequestId id{};
  Duration ttl{};
};
/// Remove the entry that CacheResult added for this request.
struct EvictResult {
  RequestId id{};
};
/// Answer a request with the result of the request that it duplicates.
struct ReuseResult {
  RequestId id{};
};
/// Set the answer to health checks.
struct SetHealth {
  bool answer_from_state = false;  ///< answer without doing the work of a deep check
  bool healthy = true;
};
/// Set the number that answers and health checks carry; see AdvertisedValue.
struct AdvertiseCredit {
  double credit = 0;
};
/// Close connections that have been idle for at least `idle_for`.
struct CloseIdleConnections {
  Duration idle_for{};
};
/// Start a timer; the host reports it with TimerFired.
struct SetTimer {
  TimerToken token{};
  Duration delay{};
};
/// Write a line to the log.
struct Log {
  std::string message;
};
using Action = std::variant<Run, Reject, Fail, Suspend, Call, SkipCall, CacheResult, EvictResult, ReuseResult,
                            SetHealth, AdvertiseCredit, CloseIdleConnections, SetTimer, Log>;

/// Decides which requests one server instance admits, runs and answers, and how.
class AdmissionController {
 public:
  /// `seed` seeds the random numbers of the instance; `now` is its start time.
  AdmissionController(Settings settings, std::uint64_t seed, TimePoint now);
  AdmissionController(AdmissionController&&) noexcept;
  AdmissionController& operator=(AdmissionController&&) noexcept;
  ~AdmissionController();

  /// Returns the initial actions, including the first timer. Call once, before the first handle().
  std::vector<Action> start();
  /// Handles all events of one time, in the order in which they happened, and returns the actions to apply.
  std::vector<Action> handle(TimePoint now, std::span<const Event> events);

 private:
  struct Impl;  // src/policy/controller_state.h
  std::unique_ptr<Impl> impl_;
};

}  // namespace granitegap
