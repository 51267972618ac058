// The public interface of granitegap: the settings, events and actions of the admission controller of one
// server instance. The credit pool and its delay targets follow CoreSync (joint core and credit control);
// docs/design.md tells where the controller departs from it.
//
// Contract
//  - Threads: one controller belongs to one instance; calls must not overlap. It starts no thread, reads no
//    clock and does no I/O. Two controllers share nothing.
//  - Time: the host passes `now` with each batch, on any steady scale that only goes forward. Equal times are
//    fine; a time before the latest one seen is read as the latest one.
//  - Ownership: everything is a value. handle() returns the actions to apply at once, in order.
//  - The host guarantees: ids are not reused during an instance's life; it reports the end of every Run,
//    ReuseResult and Call; a timer fires no earlier than asked and never within the batch that set it.
//  - Errors: none are thrown. A duplicate id, an event about an unknown or finished request, or an unknown
//    timer token is ignored; missing, contradictory or non-finite settings are replaced by conservative ones
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

/// Gives TimePoint a type of its own. Never read: the host supplies the time.
struct HostClock {
  // The names that the standard gives a clock.
  // NOLINTBEGIN(readability-identifier-naming)
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<HostClock, Duration>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)
};
using TimePoint = HostClock::time_point;

enum class RequestId : std::uint32_t {};
/// The position of a class in Settings::classes.
enum class ClassId : std::uint32_t {};
/// The position of a tenant in Settings::tenants.
enum class TenantId : std::uint32_t {};
enum class CallerId : std::uint32_t {};
enum class TimerToken : std::uint32_t {};
/// Thousandths of a kilobyte, an integer so that sums are exact.
enum class MemorySize : std::int64_t {};

// ---- Settings ----

/// Whether a request may run more than once.
enum class Idempotency {
  idempotent,  ///< any attempt may run
  with_key,    ///< attempts with one idempotency key may run once within the class's window
  none,        ///< never again after it ran
};

/// What the host can do with a running request.
enum class SuspendKind {
  none,   ///< nothing
  drop,   ///< stop it and discard its progress; it is queued again
  pause,  ///< stop it and keep its progress and its memory
};

/// What a request's calls go to.
enum class Downstream {
  none,
  shared,     ///< one dependency that every server shares
  next_tier,  ///< servers that run this same controller
};

/// What callers understand by the number of AdvertiseCredit.
enum class AdvertisedValue {
  none,
  credits,             ///< outstanding requests that each caller may have here
  min_rank,            ///< the least rank that callers send
  accept_probability,  ///< how likely a caller is not to skip this server
};

/// One request class. An absent value is replaced by a conservative one.
struct ClassSettings {
  std::optional<Duration> latency_objective;       ///< answers within it earn the full weight
  std::optional<Duration> deadline;                ///< of all attempts of one request together
  std::optional<Duration> idempotency_window;      ///< how long a keyed request may arrive again
  std::optional<double> priority_weight;           ///< of one request
  std::optional<double> late_weight_fraction;      ///< of the weight, for an answer past the objective
  std::optional<double> degraded_weight_fraction;  ///< of the weight, for an answer without its call
  std::optional<double> objective_stretch;         ///< extends the objective, in units of the request's work
  std::optional<Idempotency> idempotency;
  std::optional<bool> makes_calls;
};

/// One tenant.
struct TenantSettings {
  std::optional<double> quota_per_s;  ///< requests a second over all servers
  std::optional<double> share;        ///< fraction of the service
};

/// A setting whose value could not be read.
struct InvalidSetting {
  std::string key;
  std::string value;
};

/// What an instance is configured with. The controller decides what an absent value means.
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;

  // The server and its fleet.
  std::optional<double> cores;
  std::optional<double> servers;            ///< in the endpoint list at the start
  std::optional<double> callers;            ///< at the start
  std::optional<double> tier;               ///< 0 is the outermost
  std::optional<bool> cold;                 ///< just started
  std::optional<double> cold_speed;         ///< fraction of full speed at a cold start
  std::optional<Duration> warm_up;          ///< from a cold start to full speed, at the latest
  std::optional<double> overload_factor;    ///< concurrent requests a core that a warm server survives
  std::optional<Duration> overload_window;  ///< over which that concurrency is averaged
  std::optional<Duration> tick_interval;    ///< least time between two batches
  std::optional<SuspendKind> suspend;

  // Memory, in kilobytes.
  std::optional<double> memory_kb;
  std::optional<double> table_entry_kb;      ///< of one cached result
  std::optional<double> run_memory_factor;   ///< memory of a running request over that of a queued one
  std::optional<Duration> response_max_age;  ///< how long the result of a read may serve others; 0: never

  // Calls to the dependency.
  std::optional<Downstream> downstream;
  std::optional<double> call_quota;               ///< mean concurrent calls that this server may have open
  std::optional<Duration> call_window;            ///< over which that mean is taken
  std::optional<Duration> abandoned_call_linger;  ///< how long an abandoned call may occupy the dependency

  // Weights and prices.
  std::optional<double> over_quota_weight_fraction;  ///< of the weight, for requests over a tenant's quota
  std::optional<bool> weight_by_work;  ///< the weight counts for each unit of work, not for each request
  std::optional<double> price_call, price_connection, price_waste;

  // Answers and callers.
  std::optional<Duration> answer_slack;  ///< after the due time, in which an answer still counts
  std::optional<Duration> drain_grace;   ///< what arrives later than this after the notice never runs
  std::optional<bool> passes_deadline;   ///< requests carry how long their caller waits
  std::optional<bool> reports_cancellation;
  std::optional<bool> marks_retries;
  std::optional<bool> forwards_retry_after;
  std::optional<Duration> max_retry_after;
  std::optional<Duration> idle_connection_timeout;
  std::optional<AdvertisedValue> advertised_value;
  std::optional<Duration> advertised_value_ttl;  ///< how long callers remember it

  // Health.
  std::optional<bool> deep_health_checks;
  std::optional<bool> endpoint_list_follows_health;

  std::vector<InvalidSetting> invalid_settings;  ///< named once in a Log
};

// ---- Events ----

enum class RunResult {
  ok,
  error,
  cancelled,
  moot,  ///< nothing was started, as the request had ended
};
enum class CallResult {
  ok,
  error,
  rejected,  ///< never ran
  timed_out,
  unreachable,      ///< never ran
  connection_lost,  ///< may have run
};

/// A request was read and waits for a decision.
struct RequestArrived {
  RequestId id{};
  ClassId class_id{};
  TenantId tenant{};
  CallerId caller{};
  std::uint64_t key = 0;                   ///< what a read is about; 0: none
  std::optional<Duration> caller_timeout;  ///< from now until the caller gives up
  std::optional<Duration> cost_hint;       ///< core time
  MemorySize memory{};                     ///< while queued
  Duration unread_wait{};                  ///< since it reached the machine
  bool is_retry = false;
  std::optional<RequestId> duplicate_of;  ///< the cached request that this one repeats
};
struct RunEnded {
  RequestId id{};
  RunResult result{};
  Duration duration{};
};
/// A running request waits at a call to the dependency.
struct CallNeeded {
  RequestId id{};
};
struct CallEnded {
  RequestId id{};
  CallResult result{};
  Duration duration{};
};
/// The caller gave up.
struct RequestAbandoned {
  RequestId id{};
};
/// Graceful shutdown began.
struct DrainStarted {
  Duration time_until_stop{};
};
/// A timer fired, with the gauges that the host has.
struct TimerFired {
  TimerToken token{};
  std::optional<double> core_utilization;    ///< 0 to 1, recent mean
  std::optional<double> runnable_tasks;      ///< on the cores or waiting for one now
  std::optional<double> memory_utilization;  ///< 0 to 1
  std::optional<double> connections;         ///< open
};
/// Limits from a host that sees the whole fleet, as during its recovery. They hold until the next ones.
struct AdmissionLimits {
  /// Arrivals whose expected wait for the cores exceeds this many delay targets of their class are rejected;
  /// absent: no such limit.
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
/// Final answer: this attempt never ran.
struct Reject {
  RequestId id{};
  bool do_not_retry_elsewhere = false;
  Duration retry_after{};  ///< 0: no advice
};
/// Final answer: an error that promises nothing.
struct Fail {
  RequestId id{};
};
/// Stop a running request, as Settings::suspend tells.
struct Suspend {
  RequestId id{};
};
/// Make the call that a request waits for.
struct Call {
  RequestId id{};
  Duration timeout{};
};
/// Continue a request without its call, for a degraded answer.
struct SkipCall {
  RequestId id{};
};
/// Link later duplicates of this request to it.
struct CacheResult {
  RequestId id{};
  Duration ttl{};
};
struct EvictResult {
  RequestId id{};
};
/// Answer a request with the result of the one that it repeats.
struct ReuseResult {
  RequestId id{};
};
/// The answer to health checks from now on.
struct SetHealth {
  bool answer_from_state = false;  ///< without doing the work of a deep check
  bool healthy = true;
};
/// The number that answers and health checks carry from now on; see AdvertisedValue.
struct AdvertiseCredit {
  double credit = 0;
};
struct CloseIdleConnections {
  Duration idle_for{};
};
struct SetTimer {
  TimerToken token{};
  Duration delay{};
};
struct Log {
  std::string message;
};
using Action = std::variant<Run, Reject, Fail, Suspend, Call, SkipCall, CacheResult, EvictResult, ReuseResult,
                            SetHealth, AdvertiseCredit, CloseIdleConnections, SetTimer, Log>;

/// Decides for one server instance which requests are admitted, run, and answered, and how.
class AdmissionController {
 public:
  /// `seed` seeds the instance's random numbers; `now` is the time of its start.
  AdmissionController(Settings settings, std::uint64_t seed, TimePoint now);
  AdmissionController(AdmissionController&&) noexcept;
  AdmissionController& operator=(AdmissionController&&) noexcept;
  ~AdmissionController();

  /// The actions owed from the start on (the first timer among them); call once, before the first handle().
  std::vector<Action> start();
  /// The actions in answer to all events of one moment, given in the order in which they happened.
  std::vector<Action> handle(TimePoint now, std::span<const Event> events);

 private:
  struct Impl;  // src/policy/controller_state.h
  std::unique_ptr<Impl> impl_;
};

}  // namespace granitegap
