// The interface of granitegap: the settings, events and actions of one server instance.
//
// Contract
//  - Threads: one controller belongs to one instance; calls must not overlap. It starts no thread, reads no
//    clock and does no I/O. Two controllers share nothing.
//  - Time: the host passes `now` with each batch, on any steady scale that only goes forward. Time that
//    stands still is fine; time that runs backward is read as the latest time seen.
//  - Ownership: everything is a value. handle() returns the actions to apply at once, in order.
//  - The host guarantees: ids are not reused within an instance's life; it reports the end of every Run,
//    Reuse and Call; a timer fires no earlier than asked and never within the batch that set it.
//  - Misuse: a duplicate id, an event about an unknown or finished request, or an unknown timer token is
//    ignored; missing, contradictory or non-finite settings are replaced by cautious ones and named in one
//    Log.
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
struct HostClock {  // never read: it only gives TimePoint a type of its own
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<HostClock, Duration>;
  static constexpr bool is_steady = true;
};
using TimePoint = HostClock::time_point;

enum class RequestId : std::uint32_t {};
enum class ClassId : std::uint32_t {};
enum class TenantId : std::uint32_t {};
enum class CallerId : std::uint32_t {};
enum class TimerToken : std::uint32_t {};
enum class Kilobytes : std::int64_t {};  // thousandths of a kilobyte, so that sums are exact

// ---- Settings: what an instance is told at its start; what an absent one means, the module decides ----
enum class Effect { repeatable, once_by_key, once_unsafe };
enum class SuspendKind { none, drop, pause };
enum class Downstream { none, shared, tier };
enum class FreeNumber { none, credit, level, weight };

struct ClassSettings {
  std::optional<Duration> aim, deadline, repeat_window;
  std::optional<double> worth, late_worth, skip_worth, aim_stretch;
  std::optional<Effect> effect;
  std::optional<bool> calls;
};
struct TenantSettings {
  std::optional<double> allowance_per_s, share;
};
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::optional<double> cores, servers, callers, layer, run_factor, overload_factor, cold_from, call_share;
  std::optional<double> memory_kb, key_kb, over_share_worth, price_call, price_connection, price_waste;
  std::optional<Duration> answer_slack, drain_grace, fall_window, warm_up, call_window, call_linger, fresh;
  std::optional<Duration> idle_connections, heeded, tick, max_advice;
  std::optional<bool> cold, passes_deadline, tells_gone, deep_checks, list_follows, marks_retry, advice;
  std::optional<bool> worth_by_work;
  std::optional<SuspendKind> suspend;
  std::optional<Downstream> downstream;
  std::optional<FreeNumber> free_number;
  std::vector<std::string> unusable;  // keys whose values could not be read; named once in a Log
};

// ---- Events ----
enum class RunResult { ok, error, cancelled, moot };
enum class CallResult { ok, error, refused, timed_out, unreachable, cut_off };

struct RequestArrived {
  RequestId id{};
  ClassId cls{};
  TenantId tenant{};
  CallerId caller{};
  std::uint64_t key = 0;                 // 0: none
  std::optional<Duration> caller_waits;  // from now
  std::optional<Duration> cost_hint;     // core time
  Kilobytes memory{};                    // while held
  Duration waited_unread{};              // since it reached the machine
  bool marked_retry = false;
  std::optional<RequestId> repeats;  // the remembered request that this one repeats
};
struct RunEnded {
  RequestId id{};
  RunResult result{};
  Duration took{};
};
struct CallNeeded {
  RequestId id{};
};
struct CallEnded {
  RequestId id{};
  CallResult result{};
  Duration took{};
};
struct CallerGone {
  RequestId id{};
};
struct DrainNotice {
  Duration until_stopped{};
};
struct TimerFired {
  TimerToken token{};
  std::optional<double> core_use, on_cores, memory_share, connections;  // gauges, where the host has them
};
// What a host that sees more than this instance asks of it for a while, as when a fleet comes back: arrivals
// whose expected wait on the cores exceeds `max_wait` times their class's target are refused (absent: no
// such bound), and the credit told is `offered` (0 to 1) of what it would be. Holds until the next one.
struct BoundSet {
  std::optional<double> max_wait;
  double offered = 1;
};
using Event = std::variant<RequestArrived, RunEnded, CallNeeded, CallEnded, CallerGone, DrainNotice,
                           TimerFired, BoundSet>;

// ---- Actions ----
struct Run {
  RequestId id{};
};
struct Refuse {
  RequestId id{};
  bool do_not_try_elsewhere = false;
  Duration keep_off{};
};
struct Fail {
  RequestId id{};
};
struct Suspend {
  RequestId id{};
};
struct Call {
  RequestId id{};
  Duration limit{};
};
struct SkipCall {
  RequestId id{};
};
struct Remember {
  RequestId id{};
  Duration keep_for{};
};
struct Forget {
  RequestId id{};
};
struct Reuse {
  RequestId id{};
};
struct SetHealth {
  bool from_store = false;
  bool good = true;
};
struct AdvertiseCredit {
  double credit = 0;
};
struct CloseIdle {
  Duration idle_for{};
};
struct SetTimer {
  TimerToken token{};
  Duration after{};
};
struct Log {
  std::string text;
};
using Action = std::variant<Run, Refuse, Fail, Suspend, Call, SkipCall, Remember, Forget, Reuse, SetHealth,
                            AdvertiseCredit, CloseIdle, SetTimer, Log>;

class AdmissionController {
 public:
  AdmissionController(Settings settings, std::uint64_t seed, TimePoint now);
  AdmissionController(AdmissionController&&) noexcept;
  AdmissionController& operator=(AdmissionController&&) noexcept;
  ~AdmissionController();

  // The actions owed from the start on (the first timer among them); call once, before the first handle().
  std::vector<Action> start();
  // All events of one moment, in the order in which they happened.
  std::vector<Action> handle(TimePoint now, std::span<const Event> events);

 private:
  struct Impl;  // src/balance.cpp
  std::unique_ptr<Impl> impl_;
};

}  // namespace granitegap
