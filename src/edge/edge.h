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
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "edge/idempotency_table.h"
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
  std::uint8_t warmth_percent = 0;  // 100: warmed up
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
  [[nodiscard]] bool healthy() const { return good_ && lifecycle_.accepts_traffic(); }
  // The admission controller reports bad health, whatever operators have set.
  [[nodiscard]] bool controller_unhealthy() const { return !good_; }
  // Every request has got its response.
  [[nodiscard]] bool has_no_pending_responses() const { return unanswered_ == 0; }
  // Requests whose work is not over yet, answered or not.
  [[nodiscard]] std::size_t open_requests() const { return open_.size(); }
  // Null without a recovery ramp. Valid as long as the edge.
  [[nodiscard]] const recovery::RecoveryController* recovery() const { return course_ ? &*course_ : nullptr; }
  [[nodiscard]] MemberStatus member_status(TimePoint now) const;
  // How long the restart quarantine lasts from `now`; Duration::max() where its end is not known yet.
  [[nodiscard]] Duration key_quarantine_left(TimePoint now) const;
  // The longest time for which a key must not run again, over all classes.
  [[nodiscard]] Duration longest_key_retention() const;
  // What another incarnation of this process, or another member, can start from.
  [[nodiscard]] warm_state::WarmState export_warm_state(TimePoint now) const;

 private:
  // gathering: the module let it run, and what it needs from below is asked for first.
  enum class Work : std::uint8_t { held, gathering, running, paused, reusing };
  struct Open {
    Request request;
    TimePoint since;
    Work work = Work::held;
    bool ran = false, answered = false, stopped = false;  // stopped: a run of it was, once
    bool too_late = false;  // read so long after the notice to leave that it must not run
    std::optional<RequestId> repeats{};
    std::vector<RequestId> followers{};  // repeats that wait for this one's result
    bool calling = false;                // its gather has begun
    std::vector<GatheredPart> parts{};   // that it gathered, before its run
    TimePoint gathered{};
  };
  struct Timer {
    TimePoint at;
    std::uint64_t order;
    TimerToken token;
    bool operator>(const Timer& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  void on(Request request);
  void on(const MalformedRequest& request) { reject(request.reply_to); }
  void on(const HealthCheck& check);
  void on(const PeerDisconnected& gone);
  void on(const RequestCancelled& withdrawn);
  void on(const Drain& drain);
  void on(const LifecycleChanged&) { report_health(); }
  void on(const KernelStarted& booted);
  void on(RunReport report);
  void on(const DependencyCallRequested& wanted);
  void on(const CommandRejected& rejected);
  void on(const Gauges& gauges);
  void on(const DeepHealthCheckResult& done);
  void on(const deps::CallReport& report);
  void on(const DependencySpecUpdate& fresh);
  void on(const MembershipUpdate& news);
  void on(const PreviousIncarnationFound& news);
  void on(const WarmStateReceived& news);
  void on(const StateTransferFinished& over);
  void on(const AdmissionClosed& closing);
  void on(const CacheFillQuery& asked);
  void mind_course();
  void tell_course();
  bool reject_quarantined(const Request& request);
  void say_how_long();
  void fire_timers();

  void apply(const Run& a);
  void apply(const Refuse& a);
  void apply(const Fail& a);
  void apply(const Suspend& a);
  void apply(const Remember& a);
  void apply(const Forget& a);
  void apply(const Reuse& a);
  void apply(const SetHealth& a);
  void apply(const AdvertiseCredit& a);
  void apply(const CloseIdle& a);
  void apply(const SetTimer& a);
  void apply(const Log& a);
  void apply(const Call& a);
  void apply(const SkipCall& a);

  bool gathers(const Open& o) const {
    return gatherer_ && o.parts.empty() && gatherer_->gathers(o.request.cls);
  }
  void begin_gather(RequestId id, Open& o, Duration limit, bool may_call);
  void pass_on_calls();  // to whoever carries them out, and notes the gathers that ended
  void gather_ended(const deps::GatherEnded& ended);
  void begin_run(RequestId id, Open& o);
  void drop_work(RequestId id, Open& o);
  PayloadPtr product_of(Open& o, std::string result);
  Open* find(RequestId id);
  bool untimely(const Request& request) const;
  bool past_grace() const;
  void abandon(RequestId id, Open& o);
  void answer(Open& o, Outcome outcome, PayloadPtr result = nullptr, Duration backoff = {},
              bool last = false);
  void reject(const ReplyAddress& to);
  void end(RequestId id, IdempotencyTable::RunState state, PayloadPtr result);
  void settle_follower(RequestId id, IdempotencyTable::RunState state, const PayloadPtr& result);
  void never_ran(const Open& o, RequestId id);
  void finish_run(RequestId id, RunResult how, Duration took, PayloadPtr result);
  void report_health();
  Duration aim_of(ClassId cls) const;
  Duration retry_after(Duration advised);
  void log_event(std::string text, std::string_view event, std::string subject = {}) {
    out_.emplace_back(LogEvent{std::move(text), event, std::move(subject)});
  }
  template <class C>
  void command(C c) {
    out_.emplace_back(Command(std::move(c)));
  }

  ParsedSettings settings_;
  NameRegistry catalog_;
  std::uint64_t seed_;
  std::optional<AdmissionController> module_;
  Now now_{};
  std::vector<Event> events_;
  std::vector<Output> out_;
  std::map<RequestId, Open> open_;
  std::unordered_map<std::string, RequestId> by_rid_;
  std::map<PeerId, std::vector<RequestId>> by_peer_;  // what is open, in order of arrival
  IdempotencyTable keys_;
  std::optional<deps::ScatterGather> gatherer_;
  std::vector<deps::GatherEnded> ended_gathers_;
  std::map<RequestId, std::uint64_t> fills_;  // asked by other members: their tags
  Compose compose_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::map<std::uint64_t, ReplyAddress> deep_checks_;
  std::vector<float> gauges_;
  TimePoint gauges_at_, swept_at_;
  std::optional<double> hint_;
  lifecycle::Lifecycle lifecycle_;
  KeyLeaseHooks key_leases_;
  std::optional<UnixTime> drain_from_;
  struct Fleet {
    double missing = 0;  // share of the agreed fleet
    std::mt19937_64 random;
  };
  std::unique_ptr<Fleet> fleet_;                            // where membership is declared
  std::optional<recovery::RestartQuarantine> lost_memory_;  // where it is declared
  std::optional<recovery::RecoveryController> course_;      // the same
  std::mt19937_64 spread_;                                  // of advice while it comes back
  BoundSet bound_;                                          // as the module holds it
  TimePoint course_at_{};
  TimePoint born_{};  // the kernel
  std::uint64_t batch_ = 0, timer_order_ = 0, next_check_ = 1;
  std::uint32_t next_id_ = 1;
  std::size_t unanswered_ = 0;
  bool from_store_ = false, good_ = true, closing_ = false, told_of_calls_ = false;
};

}  // namespace granitegap::edge
