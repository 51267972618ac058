// The state of one admission controller and the declarations of its decision steps. Internal to the
// granitegap library: each step is defined in the src/policy/ file of its concern, and only
// include/granitegap/policy.h is public.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "granitegap/policy.h"
#include "request_state.h"

namespace granitegap {

struct AdmissionController::Impl {
  using Request = policy::Request;
  using Phase = policy::Phase;
  using ClassState = policy::ClassState;
  using TenantState = policy::TenantState;

  Impl(Settings settings, std::uint64_t seed, TimePoint at);

  // ---- Settings, with what an absent one means ----
  Settings s;
  TimePoint now, born;
  std::mt19937_64 random;
  double cores = 1, overload = 1, cold_from = 1, run_factor = 1, servers = 1, configured_callers = 1;
  double call_share = 0;
  std::int64_t memory_limit = 0, key_units = 0;
  Duration update_every{}, slack{}, call_window{}, call_linger{};
  SuspendKind suspend = SuspendKind::none;
  Downstream below = Downstream::none;

  std::vector<ClassState> classes;
  std::vector<TenantState> tenants;
  std::map<RequestId, Request> requests;
  std::map<RequestId, TimePoint> cached_results;  // the table of remembered requests and when each expires
  std::map<std::uint32_t, RequestId> due_timers;
  std::map<CallerId, TimePoint> callers;
  std::vector<Action> out;
  std::uint32_t next_token = 1;
  double pool = 0, limit = 0, worst_ratio = 0, arrival_ratio = 0, decreases = 0, advertised_credit = -1,
         core_use = -1;
  double newest_unread = 0, unread_ratio = 0;  // unread wait over D_t: the newest arrival's, a smoothed one
  double admitted = 1;               // part of what arrives that is taken, by worth; under 1 in deep overload
  std::deque<double> recent_values;  // of arrivals, newest last
  double pace = 1;                   // time on the cores per unit of hinted work
  TimePoint last_refill, regime_since;
  bool overloaded = false;
  std::optional<double> max_wait;        // a bound set by the host
  double offered = 1;                    // of the credit, set by the host
  double on_cores = 0, paced_crowd = 0;  // the gauge; its mean over the runs that make up the pace
  double best_pace = 0;                  // the least that the pace has been
  std::size_t paced_runs = 0;
  std::optional<TimePoint> unhealthy_until;
  std::optional<TimePoint> drain_from, stop_at;
  std::deque<std::pair<TimePoint, int>> call_history;  // calls in hand from that time on
  std::deque<TimePoint> lingering;                     // when abandoned calls leave the dependency's hands
  Duration call_mean{};
  int calls_ended = 0;
  double call_best = 0;  // the least mean time of calls so far, s

  void read_settings();

  // ---- Small helpers ----
  template <class A>
  void act(A a) {
    out.emplace_back(std::move(a));
  }
  void log(std::string text);

  ClassState* class_of(const RequestArrived& in);
  ClassState& cls(const Request& r);
  bool once(const Request& r);
  Request* find(RequestId id);
  void enter(Request& r, Phase phase);
  int count(Phase phase) const;
  int begun() const;

  double warmth() const;
  double crowd() const;

  // ---- Estimates ----
  Duration run_time(const RequestArrived& in);
  Duration target(Request& r);
  double value(Request& r);
  double score(Request& r);
  Duration attained(const Request& r) const;
  double work_ahead(Request& r);
  Duration expected_wait(Request& r);
  Duration time_needed(Request& r);

  // ---- Memory: held + run_factor x running + keys ----
  double memory_of(bool held_only) const;
  std::int64_t memory_in_use() const;
  bool memory_for_run(const Request& r) const;

  bool memory_leaves_a_run(const Request& r, std::int64_t key) const;

  // ---- The pool: delay-driven AIMD over the worst class ----
  double active_callers() const;
  double floor_of_pool() const;
  double ceiling_of_pool() const;
  bool cores_idle() const;

  double ratio_of_worst_class();
  static double decrease(double ratio);
  double weight_of_update(double over) const;
  void update_pool();
  void update_endpoint_health();
  double crowding() const;
  void note_regime();
  bool persistent_overload() const;
  void advertise();
  void forget_quiet_callers();

  // ---- Ending requests: one final answer each ----
  void forget_entry(Request& r);
  void refuse(Request& r, bool last, Duration keep_off = {});
  void fail(Request& r);
  static bool off_the_cores(const Request& r);
  void end_answer(Request& r);
  void reject_or_fail(Request& r, bool last);
  void stop_work(Request& r);

  // ---- Arrivals ----
  void on(const RequestArrived& in);
  bool below_admission_threshold(Request& r);
  double rank_by_worth(double own);
  enum class Reason { leaving, no_memory, too_late, waits_too_long, over_share };
  std::optional<Reason> shed_reason(Request& r);
  double oldest_wait(ClassId id) const;
  bool quota_exhausted(TenantId tenant) const;
  void consume_quota(TenantId tenant);
  void refill_quotas();

  // ---- Repeats ----
  bool may_reuse(const Request& r);
  bool reads_are_shared() const;
  void reuse(Request& r);
  void remember(Request& r, Duration keep);
  void drop_expired_entries();

  // ---- Answers by the due time ----
  void set_due_timer(Request& r);
  void answer_due(TimerToken token);
  TimePoint last_answer() const;

  // ---- Runs: order of the hold, run limit ----
  void update_limit();
  Request* next_to_run();
  void start_queued();
  void begin(Request& r);
  void shed_hopeless();
  void on(const RunEnded& e);
  void learn(Request& r);
  void pause_long_runs();

  // ---- Calls below ----
  void on(const CallNeeded& e);
  void on(const CallEnded& e);
  int calls_in_hand() const;
  void note_calls();
  void leave_call(bool abandoned);
  double call_allowance() const;
  bool call_allowed();
  void make_calls();
  void decide_call(Request& r);

  // ---- Callers that leave; drain ----
  void on(const RequestAbandoned& e);
  bool takes_work() const;
  void on(const DrainStarted& e);

  void on(const AdmissionLimits& e);

  // ---- The update ----
  void on(const TimerFired& e);
  std::vector<Action> start();
  std::vector<Action> handle(TimePoint at, std::span<const Event> events);
};

}  // namespace granitegap
