// The protocol-neutral tile server: open requests, keys, timers, health and drain round the decision module.
// It reads no clock and does no I/O; a front end hands in Requests and receives Answers.
//
// Each request has one owner, its entry here, and one state. It leaves when its work is over and its answer
// given; an answer is made in one place only, and only once.
#pragma once
#include <functional>
#include <map>
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
#include "settings/settings.h"

namespace granitegap::edge {

class Edge {
 public:
  Edge(ParsedSettings settings, NameRegistry catalog, std::uint64_t seed);

  // Has classes gather parts from the services below; before the first step. `compose` makes one answer of
  // the kernel's result and the parts.
  using Compose = std::function<Product(std::string result, const std::vector<GatheredPart>& parts)>;
  void declare(std::shared_ptr<const deps::Spec> spec, Compose compose, bool guarded = true);

  // Keyed requests wait out what an earlier life may have run; before the first step. `margin` and the like
  // are the rules' own, windows come from the settings.
  void wait_out_lost_memory(Duration max_clock_back, bool has_folder, TimePoint started);

  // How it comes back is guided: before the first step.
  void guide_return(const recovery::RecoveryOptions& rules, TimePoint started);
  const recovery::RecoveryController* course() const { return course_ ? &*course_ : nullptr; }

  // Another process may stand at the same door: keyed requests are claimed for all of them before they run.
  // Before the first step. `claim` is false where it must not run here; its window, counted from `reached`,
  // and margin are `span`.
  struct KeyLeaseHooks {
    std::function<bool(const Request& request, Duration span, UnixTime now)> claim;
    std::function<void(const Request& request)> never_ran;
  };
  void claim_keyed(KeyLeaseHooks hooks) { claims_ = std::move(hooks); }
  Duration longest_span() const;  // of the keyed classes

  // The one state that all who tell others of this process read. Whoever changes it hands in a
  // LifecycleChanged, so that the list hears of it.
  lifecycle::Lifecycle& lifecycle() { return lifecycle_; }
  const lifecycle::Lifecycle& lifecycle() const { return lifecycle_; }
  // Whether checks hear good of it.
  bool fit() const { return good_ && lifecycle_.welcomes(); }
  // The module holds its machine unfit, whatever operators say.
  bool held_unfit() const { return !good_; }

  // All that came since the last step, in order; what is to be done now, in order.
  std::vector<Output> step(Now now, std::vector<Input> inputs);
  std::optional<TimePoint> next_timer();
  // Nothing is owed: no request here waits for its answer.
  bool owes_nothing() const { return unanswered_ == 0; }
  std::size_t open_requests() const { return open_.size(); }
  // What this process may say of itself to its fleet.
  struct Standing {
    membership::Stage stage = membership::Stage::starting;
    std::uint8_t warmth = 0, pressed = 0;  // in 100
    std::vector<membership::EndpointHealth> endpoint_health;
    membership::RecoveryStatus recovery_status;
  };
  Standing standing(TimePoint now) const;
  // How long keyed requests still wait for what an earlier life may have run; the greatest where no end is
  // seen.
  Duration keyed_wait(TimePoint now) const;
  // What another life of this process could use.
  warm_state::WarmState learned(TimePoint now) const;

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
  void on(const UnusableRequest& request) { turn_away(request.from); }
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
  void on(const DeepCheckDone& done);
  void on(const deps::CallCompletion& report);
  void on(const DependencySpecUpdate& fresh);
  void on(const MembershipUpdate& news);
  void on(const PreviousIncarnationFound& news);
  void on(const WarmStateReceived& news);
  void on(const StateTransferFinished& over);
  void on(const Closing& closing);
  void on(const CacheFillQuery& asked);
  void mind_course();
  void tell_course();
  bool waits_out(const Request& request);
  void say_how_long();
  void fire_timers();

  void apply(const Run& a);
  void apply(const Reject& a);
  void apply(const Fail& a);
  void apply(const Suspend& a);
  void apply(const CacheResult& a);
  void apply(const EvictResult& a);
  void apply(const ReuseResult& a);
  void apply(const SetHealth& a);
  void apply(const AdvertiseCredit& a);
  void apply(const CloseIdleConnections& a);
  void apply(const SetTimer& a);
  void apply(const Log& a);
  void apply(const Call& a);
  void apply(const SkipCall& a);

  bool gathers(const Open& o) const {
    return gatherer_ && o.parts.empty() && gatherer_->has_gather(o.request.cls);
  }
  void begin_gather(RequestId id, Open& o, Duration limit, bool may_call);
  void pass_on_calls();  // to whoever carries them out, and notes the gathers that ended
  void gather_ended(const deps::GatherEnded& ended);
  void begin_run(RequestId id, Open& o);
  void drop_work(RequestId id, Open& o);
  Result product_of(Open& o, std::string result);
  Open* find(RequestId id);
  bool untimely(const Request& request) const;
  bool past_grace() const;
  void abandon(RequestId id, Open& o);
  void answer(Open& o, Outcome outcome, Result result = nullptr, Duration backoff = {}, bool last = false);
  void turn_away(const Origin& to);
  void end(RequestId id, IdempotencyTable::RunState state, Result result);
  void settle_follower(RequestId id, IdempotencyTable::RunState state, const Result& result);
  void never_ran(const Open& o, RequestId id);
  void finish_run(RequestId id, RunResult how, Duration took, Result result);
  void report_health();
  Duration aim_of(ClassId cls) const;
  Duration keep_off(Duration advised);
  void remark(std::string text, std::string_view event, std::string subject = {}) {
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
  std::map<std::uint64_t, Origin> deep_checks_;
  std::vector<float> gauges_;
  TimePoint gauges_at_, swept_at_;
  std::optional<double> hint_;
  lifecycle::Lifecycle lifecycle_;
  KeyLeaseHooks claims_;
  std::optional<UnixTime> drain_from_;
  struct Fleet {
    double missing = 0;  // share of the agreed fleet
    std::mt19937_64 random;
  };
  std::unique_ptr<Fleet> fleet_;                            // where membership is declared
  std::optional<recovery::RestartQuarantine> lost_memory_;  // where it is declared
  std::optional<recovery::RecoveryController> course_;      // the same
  std::mt19937_64 spread_;                                  // of advice while it comes back
  AdmissionLimits bound_;                                   // as the module holds it
  TimePoint course_at_{};
  TimePoint born_{};  // the kernel
  std::uint64_t batch_ = 0, timer_order_ = 0, next_check_ = 1;
  std::uint32_t next_id_ = 1;
  std::size_t unanswered_ = 0;
  bool from_store_ = false, good_ = true, closing_ = false, told_of_calls_ = false;
};

}  // namespace granitegap::edge
