// The state of one admission controller and the declarations of its decision steps. Internal to the
// granitegap library: each step is defined in the src/policy/ file for its topic, and only
// include/granitegap/policy.h is public. Memory is counted in thousandths of a kilobyte; the comment at each
// double names its unit.
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

/// State and decision steps of one AdmissionController.
struct AdmissionController::Impl {
  using Request = policy::Request;
  using Phase = policy::Phase;
  using ClassState = policy::ClassState;
  using TenantState = policy::TenantState;

  Impl(Settings configured, std::uint64_t seed, TimePoint at);

  // ---- Settings, with the defaults applied ----
  Settings settings;
  TimePoint now;
  TimePoint started_at;
  std::mt19937_64 random;
  double cores = 1;
  double overload_factor = 1;  ///< concurrent requests per core that a warm server survives
  double cold_speed = 1;       ///< fraction of full speed at a cold start
  double run_memory_factor = 1;
  double servers = 1;
  double configured_callers = 1;
  double call_quota = 0;  ///< mean concurrent calls
  std::int64_t memory_limit = 0;
  std::int64_t entry_memory = 0;  ///< of one cached result
  Duration update_interval{};
  Duration answer_slack{};
  Duration call_window{};
  Duration abandoned_call_linger{};
  SuspendKind suspend = SuspendKind::none;
  Downstream downstream = Downstream::none;

  // ---- Requests, classes, tenants, callers ----
  std::vector<ClassState> classes;
  std::vector<TenantState> tenants;
  std::map<RequestId, Request> requests;
  std::map<RequestId, TimePoint> cached_results;  ///< when each entry of the host's table expires
  std::map<std::uint32_t, RequestId> deadline_timers;
  std::map<CallerId, TimePoint> caller_last_seen;
  std::vector<Action> actions;  ///< for the batch that is being handled
  std::uint32_t next_token = 1;
  TimePoint last_refill;  ///< when the tenants' token buckets were last refilled

  // ---- The credit pool ----
  double credit_pool = 0;
  double run_limit = 0;               ///< maximum number of running requests
  double worst_delay_ratio = 0;       ///< oldest wait over the delay target, in the worst class
  double arrival_delay_ratio = 0;     ///< the same, over the arrivals since the last update
  double newest_unread_ratio = 0;     ///< unread wait of the newest arrival over its delay target
  double unread_ratio = 0;            ///< smoothed mean of newest_unread_ratio
  double admitted_fraction = 1;       ///< admitted part of the arrivals, by weight; under 1 in deep overload
  std::deque<double> recent_weights;  ///< weights of recent arrivals, newest last
  double decrease_rate = 0;           ///< fraction of recent updates that decreased the pool
  double advertised_credit = -1;      ///< negative before the first advertisement
  bool overloaded = false;            ///< as last logged
  TimePoint overload_change_since;
  std::optional<double> max_wait_ratio;  ///< see AdmissionLimits
  double credit_fraction = 1;            ///< see AdmissionLimits

  // ---- Gauges and core speed ----
  double core_utilization = -1;  ///< negative until the host reports it
  double runnable_tasks = 0;
  double run_time_ratio = 1;       ///< smoothed core time of runs over their cost hints
  double best_run_time_ratio = 0;  ///< least run_time_ratio so far, 0 until it is known
  double mean_runnable_tasks = 0;  ///< mean of runnable_tasks over the same runs
  std::size_t run_time_ratio_samples = 0;
  std::optional<TimePoint> unhealthy_until;

  // ---- Drain ----
  std::optional<TimePoint> drain_started;
  std::optional<TimePoint> stop_at;

  // ---- Calls to the dependency ----
  std::deque<std::pair<TimePoint, int>> call_history;  ///< number of open calls from each time on
  std::deque<TimePoint> abandoned_calls;  ///< when each abandoned call stops occupying the dependency
  Duration mean_call_duration{};
  int calls_ended = 0;
  double best_call_seconds = 0;  ///< least mean_call_duration so far, 0 until it is known

  // ---- Settings ----
  void read_settings();
  double read_number(std::optional<double> value, double least, double fallback, const char* name,
                     std::string& rejected);
  void read_numbers(std::string& rejected);
  void read_classes(std::string& rejected);
  void read_tenants(std::string& rejected);

  // ---- Lookups ----
  template <class A>
  void act(A action) {
    actions.emplace_back(std::move(action));
  }
  void log(std::string message);
  ClassState* find_class(const RequestArrived& arrival);
  ClassState& class_state(const Request& request);
  bool runs_at_most_once(const Request& request);
  Request* find_request(RequestId id);
  void enter(Request& request, Phase phase);
  int count(Phase phase) const;
  int started_count() const;
  double warm_speed() const;
  double survivable_concurrency() const;

  // ---- Estimates ----
  Duration run_time(const RequestArrived& arrival);
  Duration delay_target(Request& request);
  double weight(Request& request);
  double queue_priority(Request& request);
  Duration core_time(const Request& request) const;
  double work_ahead(Request& request);
  Duration expected_wait(Request& request);
  Duration time_needed(Request& request);

  // ---- Memory ----
  double total_memory(bool queued_only) const;
  std::int64_t memory_in_use() const;
  bool has_memory_for_run(const Request& request) const;
  bool leaves_memory_for_run(const Request& request, std::int64_t entry) const;

  // ---- The credit pool ----
  double active_callers() const;
  double pool_floor() const;
  double pool_ceiling() const;
  bool cores_idle() const;
  double worst_class_delay_ratio();
  static double decrease_factor(double ratio);
  double update_weight(double window_s) const;
  void update_pool();
  void resize_pool();
  void update_admitted_fraction();
  void log_overload_change();
  bool persistent_overload() const;
  void advertise();
  void remove_inactive_callers();

  // ---- Health in the endpoint list ----
  void update_endpoint_health();
  double expected_slowdown() const;

  // ---- Final answers ----
  void evict_result(Request& request);
  void reject(Request& request, bool do_not_retry_elsewhere, Duration retry_after = {});
  void fail(Request& request);
  static bool ends_with_answer(const Request& request);
  void finish_answer(Request& request);
  void reject_or_fail(Request& request, bool do_not_retry_elsewhere);
  void stop_work(Request& request);

  // ---- Admission ----
  enum class RejectReason { draining, no_memory, too_late, waits_too_long, over_quota };
  void on(const RequestArrived& arrival);
  Request& add_request(const RequestArrived& arrival);
  void admit(Request& request);
  void reject_arrival(Request& request, RejectReason reason);
  bool below_admission_threshold(Request& request);
  double rank_by_weight(double request_weight);
  std::optional<RejectReason> reject_reason(Request& request);
  std::optional<RejectReason> wait_reject_reason(Request& request);
  bool arrives_too_late_for_drain(Request& request);
  double oldest_wait(ClassId id) const;

  // ---- Tenant quotas ----
  bool quota_exhausted(TenantId tenant) const;
  void consume_quota(TenantId tenant);
  void refill_quotas();

  // ---- Duplicates and cached results ----
  bool may_reuse(const Request& request);
  bool reads_are_shared() const;
  void reuse_result(Request& request);
  void cache_result(Request& request, Duration ttl);
  void drop_expired_entries();

  // ---- Deadlines ----
  void set_deadline_timer(Request& request);
  void on_deadline_timer(TimerToken token);
  TimePoint last_answer_time() const;

  // ---- The queue and the run limit ----
  void update_run_limit();
  Request* next_to_run();
  void start_queued();
  void start_run(Request& request);
  void shed_late_requests();
  bool will_miss_objective(Request& request);
  void on(const RunEnded& ended);
  void run_cancelled(Request& request);
  void record_run(Request& request);
  void record_run_time_ratio(const Request& request);
  void pause_long_runs();
  Request* least_valuable_long_run();

  // ---- Calls to the dependency ----
  void on(const CallNeeded& needed);
  void on(const CallEnded& ended);
  void record_call_duration(Duration duration);
  int open_calls() const;
  void record_open_calls();
  void record_call_end(bool abandoned);
  double usable_call_quota() const;
  bool call_allowed();
  void make_calls();
  void decide_call(Request& request);

  // ---- Abandoned requests, drain, limits set by the host ----
  void on(const RequestAbandoned& abandoned);
  bool accepts_work() const;
  void on(const DrainStarted& drain);
  void on(const AdmissionLimits& limits);

  // ---- The periodic update ----
  void on(const TimerFired& fired);
  std::vector<Action> start();
  std::vector<Action> handle(TimePoint at, std::span<const Event> events);
};

}  // namespace granitegap
