// The decisions of granitegap. Interface: include/granitegap/policy.h. Design and exceptions: docs/design.md.
//
// Reads as the design does: tuned values, what is known of a request, then one function a concern:
// the pool and its update, arrivals and refusals, the order of the hold and the run limit, calls below,
// answers by the due time, suspension, drain.
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <utility>

#include "granitegap/policy.h"

namespace granitegap {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

// ---- Tuned values: ratios and counts, none from one site ----
constexpr double kTargetRuns = 2.5;       // D_t in median run times
constexpr double kDropRatio = 2.0;        // D_drop / D_t, as in the paper
constexpr double kTargetAimShare = 0.3;   // D_t never over this part of the aim: it must leave time to run
constexpr double kGuessAimShare = 0.1;    // a run's length as part of its aim, before any sample or hint
constexpr double kBeta = 0.02;            // the paper's decrease per update
constexpr double kAlphaShare = 0.001;     // the paper's alpha, as a part of the pool
constexpr double kMaxDecrease = 0.5;      // the paper's bound on one decrease
constexpr double kOvercommit = 2.0;       // credit over what the busiest caller has in hand
constexpr double kIdleGrowth = 0.1;       // the pool's growth while cores idle with work held
constexpr double kBusyCores = 0.92;       // core use under which cores count as idle
constexpr double kLimitStep = 0.05;       // growth of the run limit per update, in cores
constexpr double kLimitCrowdShare = 0.6;  // the run limit's ceiling in survivable crowds
constexpr double kCrowdShare = 0.85;      // all begun runs, those at calls too, in survivable crowds
constexpr double kMemoryShare = 0.97;     // of the memory; the rest covers rounding
constexpr double kCallShare = 0.9;        // of the share of calls, on the mean of its window
constexpr double kCallSlowdown = 3.0;     // times its best at which a call counts as slow
constexpr int kCallSamples = 8;           // calls before their mean time means something
constexpr Duration kCallStay = milliseconds(100);  // least time a call is taken to stay
constexpr Duration kCallStart = seconds(1);        // of the window granted to a fresh instance at once
constexpr double kLeastAdmitted = 0.1;             // of what arrives, however long the waits
constexpr double kAdmitStep = 0.3;                 // growth of the part admitted, per second
constexpr double kUnreadSeconds = 0.5;             // over which unread waits are smoothed
constexpr std::size_t kValues = 64;                // recent arrivals that a request's worth is ranked among
constexpr double kServeMargin = 1.5;        // an arrival's wait and this many times its run must fit its aim
constexpr double kOverSharePressure = 0.5;  // worst ratio from which work over a tenant's share is refused
constexpr double kShareSavings = 10;        // requests that a small share of a tenant saves up
constexpr double kFreshUrgency = 0.3;       // what a request counts for in the hold before it has waited
constexpr double kPauseRuns = 2.0;          // runs this many medians old may be paused for fresher work
constexpr double kPauseGain = 2.0;          // and only for work worth this much more
constexpr double kPaceGain = 0.1;           // weight of the newest run in the pace
constexpr double kPersistent = 0.15;  // part of recent updates that decreased, from which overload persists
constexpr double kPersistSeconds = 3.0;  // how recent
constexpr double kSlowed =
    2.5;  // times its best pace, for the crowd it has, at which a machine counts as slow
constexpr std::size_t kPaceRuns = 30;                // runs before a best pace means something
constexpr Duration kOffTheList = seconds(6);         // a slow machine's stay off it, before it tries again
constexpr Duration kDrainQuiet = milliseconds(300);  // before the grace ends, callers are sent away
constexpr int kUpdateTicks = 4;                      // ticks of the host between updates
constexpr Duration kRegimeLasts = seconds(2);        // before overload is logged as begun or over
constexpr int kCallTries = 3;         // tries of one call that may have had its effect, where it may repeat
constexpr std::size_t kSamples = 21;  // runs in a class's median
constexpr TimerToken kUpdateToken{0};

// ---- What is known of a request ----
enum class Phase { held, running, paused, at_call, calling, reusing };

struct Request {
  RequestArrived in;
  TimePoint reached, due, useful_until, since;  // since: start of the present phase
  Phase phase = Phase::held;
  bool ran = false, answered = false, gone = false, over_share = false, stopping = false;
  bool call_may_have_run = false;
  int call_tries = 0;
  TimePoint call_again;
  Duration on_cores{}, at_calls{};
};

struct ClassState {
  Duration aim{}, deadline{}, window{};
  double worth = 1, late_worth = 0, skip_worth = 0, aim_stretch = 0;
  Effect effect = Effect::once_unsafe;
  std::deque<Duration> runs;  // newest last
  Duration median{};          // zero until there is a sample
  Duration call_time{};       // mean time at calls of one request
};

struct TenantState {
  double allowance = 0, tokens = 0;  // of this instance, per second
};

double sec(Duration d) { return Seconds(d).count(); }
Duration dur(double s) { return std::chrono::duration_cast<Duration>(Seconds(std::clamp(s, -1e6, 1e6))); }
std::int64_t units(Kilobytes kb) { return std::int64_t(kb); }

}  // namespace

struct AdmissionController::Impl {
  Impl(Settings settings, std::uint64_t seed, TimePoint at)
      : s(std::move(settings)), now(at), born(at), random(seed) {
    read_settings();
    limit = cores;
    pool = floor_of_pool();
  }

  // ---- Settings, with what an absent one means ----
  Settings s;
  TimePoint now, born;
  std::mt19937_64 random;
  double cores = 1, overload = 1, cold_from = 1, run_factor = 1, servers = 1, told_callers = 1;
  double call_share = 0;
  std::int64_t memory_limit = 0, key_units = 0;
  Duration update_every{}, slack{}, call_window{}, call_linger{};
  SuspendKind suspend = SuspendKind::none;
  Downstream below = Downstream::none;

  std::vector<ClassState> classes;
  std::vector<TenantState> tenants;
  std::map<RequestId, Request> requests;
  std::map<RequestId, TimePoint> entries;  // the table of remembered requests and when each expires
  std::map<std::uint32_t, RequestId> due_timers;
  std::map<CallerId, TimePoint> callers;
  std::vector<Action> out;
  std::uint32_t next_token = 1;
  double pool = 0, limit = 0, worst_ratio = 0, arrival_ratio = 0, decreases = 0, said = -1, core_use = -1;
  double newest_unread = 0, unread_ratio = 0;  // unread wait over D_t: the newest arrival's, a smoothed one
  double admitted = 1;               // part of what arrives that is taken, by worth; under 1 in deep overload
  std::deque<double> recent_values;  // of arrivals, newest last
  double pace = 1;                   // time on the cores per unit of hinted work
  TimePoint last_refill, regime_since;
  bool overloaded = false;
  std::optional<double> most_wait;       // a bound set by the host
  double offered = 1;                    // of the credit, set by the host
  double on_cores = 0, paced_crowd = 0;  // the gauge; its mean over the runs that make up the pace
  double best_pace = 0;                  // the least that the pace has been
  std::size_t paced_runs = 0;
  std::optional<TimePoint> off_list_until;
  std::optional<TimePoint> drain_from, stop_at;
  std::deque<std::pair<TimePoint, int>> call_history;  // calls in hand from that time on
  std::deque<TimePoint> lingering;                     // when abandoned calls leave the dependency's hands
  Duration call_mean{};
  int calls_ended = 0;
  double call_best = 0;  // the least mean time of calls so far, s

  void read_settings() {
    std::string poor;
    const auto note = [&](const char* name) { poor += poor.empty() ? name : std::string(" ") + name; };
    const auto take = [&](std::optional<double> v, double least, double instead, const char* name) {
      if (v && std::isfinite(*v) && *v >= least) return *v;
      note(name);
      return instead;
    };
    cores = std::floor(take(s.cores, 1, 1, "cores"));
    servers = take(s.servers, 1, 1, "servers");
    told_callers = std::min(take(s.callers, 1, 1, "callers"), 1e6);
    overload = take(s.overload_factor, 1, 2, "overload_factor");
    cold_from = std::clamp(take(s.cold_from, 0, 0.1, "cold_from"), 0.0, 1.0);
    run_factor = take(s.run_factor, 1, 16, "run_factor");
    memory_limit =
        std::llround(std::min(take(s.memory_kb, 1, 16384, "memory_kb"), 1e12) * 1000 * kMemoryShare);
    key_units = std::llround(std::min(take(s.key_kb, 0, 256, "key_kb"), 1e9) * 1000);
    slack = s.answer_slack.value_or(Duration{});
    suspend = s.suspend.value_or(SuspendKind::none);
    below = s.downstream.value_or(Downstream::shared);
    call_window = s.call_window.value_or(seconds(5));
    call_linger = s.call_linger.value_or(milliseconds(200));
    call_share = std::min(take(s.call_share, 0, 0, "call_share"), 1e9);
    update_every = std::max<Duration>(s.tick.value_or(milliseconds(5)) * kUpdateTicks, milliseconds(20));
    if (s.classes.empty()) note("classes");
    for (const auto& c : s.classes) {
      ClassState k;
      k.deadline = c.deadline.value_or(c.aim.value_or(seconds(1)));
      k.aim = std::clamp(c.aim.value_or(k.deadline), Duration(milliseconds(1)),
                         std::max<Duration>(k.deadline, milliseconds(1)));
      k.window = c.repeat_window.value_or(seconds(60));
      k.worth = std::max(c.worth.value_or(1), 1e-3);
      k.late_worth = std::clamp(c.late_worth.value_or(0), 0.0, 1.0);
      k.skip_worth = std::clamp(c.skip_worth.value_or(0), 0.0, 1.0);
      k.aim_stretch = std::max(c.aim_stretch.value_or(0), 0.0);
      k.effect = c.effect.value_or(Effect::once_unsafe);  // the most careful reading
      if (!c.deadline || !c.aim || !c.effect) note("class");
      classes.push_back(k);
    }
    for (const auto& t : s.tenants) {
      const double per_server = take(t.allowance_per_s, 0, 1e9, "allowance") / servers;
      tenants.push_back({per_server, per_server});
    }
    for (const auto& key : s.unusable) note(key.c_str());
    last_refill = regime_since = now;
    pace = 1 / warmth();
    if (!poor.empty()) log("settings missing or unusable, read with caution: " + poor);
  }

  // ---- Small helpers ----
  template <class A>
  void act(A a) {
    out.emplace_back(std::move(a));
  }
  void log(std::string text) { act(Log{std::move(text)}); }

  ClassState* class_of(const RequestArrived& in) {
    const auto i = std::size_t(in.cls);
    return i < classes.size() ? &classes[i] : nullptr;
  }
  ClassState& cls(const Request& r) { return classes[std::size_t(r.in.cls)]; }
  bool once(const Request& r) { return cls(r).effect != Effect::repeatable; }
  Request* find(RequestId id) {
    const auto it = requests.find(id);
    return it == requests.end() ? nullptr : &it->second;
  }
  void enter(Request& r, Phase phase) {
    if (r.phase == Phase::running) r.on_cores += now - r.since;
    if (r.phase == Phase::at_call || r.phase == Phase::calling) r.at_calls += now - r.since;
    r.phase = phase;
    r.since = now;
  }
  int count(Phase phase) const {
    return int(
        std::count_if(requests.begin(), requests.end(), [&](auto& e) { return e.second.phase == phase; }));
  }
  // Begun and able to be on the cores, now or unannounced when a call ends.
  int begun() const { return count(Phase::running) + count(Phase::at_call) + count(Phase::calling); }

  double warmth() const {
    const double part =
        s.cold.value_or(true) ? sec(now - born) / std::max(sec(s.warm_up.value_or(seconds(60))), 1e-3) : 1;
    return std::max(cold_from + (1 - cold_from) * std::clamp(part, 0.0, 1.0), 1e-2);
  }
  double crowd() const { return cores * (1 + (overload - 1) * warmth()); }

  // ---- Estimates ----
  Duration run_time(const RequestArrived& in) {
    auto& c = *class_of(in);
    if (in.cost_hint) return dur(sec(*in.cost_hint) * pace);
    return c.median.count() ? c.median : dur(sec(c.aim) * kGuessAimShare / warmth());
  }
  Duration target(Request& r) {
    const auto& c = cls(r);
    const Duration run = c.median.count() ? c.median : run_time(r.in);
    return std::max<Duration>(std::min(dur(sec(run) * kTargetRuns), dur(sec(c.aim) * kTargetAimShare)),
                              milliseconds(1));
  }
  double value(Request& r) {
    const auto& c = cls(r);
    double v = c.worth * (r.over_share ? s.over_share_worth.value_or(0.05) : 1);
    if (!s.worth_by_work.value_or(false)) v /= std::max(sec(run_time(r.in)), 1e-3);
    return now > r.useful_until ? v * c.late_worth : v;
  }
  // The order of the hold: worth for work, growing with the wait in units of the class's own target.
  double score(Request& r) {
    const double aged = sec(attained(r)) / std::max(sec(run_time(r.in)), 1e-3);
    return value(r) * (kFreshUrgency + sec(now - r.reached) / sec(target(r))) / std::max(1.0, aged);
  }
  Duration attained(const Request& r) const {
    return r.phase == Phase::running ? r.on_cores + (now - r.since) : r.on_cores;
  }
  double work_ahead(Request& r) {
    double work = 0;
    for (auto& [id, other] : requests) {
      const double full = sec(run_time(other.in));
      if (other.phase == Phase::running)
        work += std::max(full - sec(attained(other)), full / 4);
      else if (other.phase == Phase::held && &other != &r && cls(other).worth >= cls(r).worth)
        work += full;
    }
    return work;
  }
  Duration expected_wait(Request& r) { return dur(work_ahead(r) / limit); }
  Duration time_needed(Request& r) { return run_time(r.in) + cls(r).call_time; }

  // ---- Memory: held + run_factor x running + keys ----
  double memory_of(bool held_only) const {
    double sum = double(key_units) * double(entries.size());
    for (const auto& [id, r] : requests) {
      const bool held = r.phase == Phase::held;
      if (held || !held_only) sum += double(units(r.in.memory)) * (held ? 1 : run_factor);
    }
    return sum;
  }
  std::int64_t memory_in_use() const { return std::llround(memory_of(false)); }
  bool memory_for_run(const Request& r) const {
    return memory_in_use() + std::llround(double(units(r.in.memory)) * (run_factor - 1)) <= memory_limit;
  }

  // Guards against a hold so full that nothing held could ever run.
  bool memory_leaves_a_run(const Request& r, std::int64_t key) const {
    const double own_run = double(units(r.in.memory)) * (run_factor - 1);
    return memory_of(true) + double(key) + own_run <= double(memory_limit);
  }

  // ---- The pool: delay-driven AIMD over the worst class ----
  double active_callers() const { return std::max<double>(1, double(callers.size())); }
  double floor_of_pool() const { return limit + std::max(told_callers, active_callers()); }
  // Room for every active caller to double what the busiest of them has here: a hot caller is never held back
  // while calm, and overload never starts from a pool that must first be talked down.
  double ceiling_of_pool() const {
    std::map<CallerId, int> in_hand;
    int most = 0;
    for (const auto& [id, r] : requests) most = std::max(most, ++in_hand[r.in.caller]);
    return std::max(floor_of_pool(), active_callers() * kOvercommit * (1 + most));
  }
  // The use of the cores is a mean over some past, the crowd is now: guards against a limit that goes on
  // growing, past where a machine thrashes, until the mean has caught up with a rush.
  bool cores_idle() const { return core_use >= 0 && core_use < kBusyCores && on_cores < cores; }

  double ratio_of_worst_class() {
    double worst = std::exchange(arrival_ratio, 0);
    for (auto& [id, r] : requests)
      if (r.phase == Phase::held) worst = std::max(worst, sec(now - r.reached) / sec(target(r)));
    return worst;
  }
  // The paper's decrease, bounded, for a wait of so many times its bound.
  static double decrease(double ratio) { return std::max(1 - kBeta * (ratio - 1), kMaxDecrease); }
  // The part of a mean over so many seconds that one update makes up.
  double weight_of_update(double over) const { return std::min(1.0, sec(update_every) / over); }
  void update_pool() {
    worst_ratio = ratio_of_worst_class();
    if (worst_ratio > 1) {
      pool *= decrease(worst_ratio);
    } else {
      const double step = std::max(kAlphaShare * pool, active_callers());
      pool += cores_idle() && count(Phase::held) > 0 ? step * kIdleGrowth : step;
    }
    const double floor = worst_ratio > 1 ? limit : floor_of_pool();
    pool = std::clamp(pool, floor, std::max(ceiling_of_pool(), floor));
    decreases += ((worst_ratio > 1) - decreases) * weight_of_update(kPersistSeconds);
    unread_ratio += (newest_unread - unread_ratio) * weight_of_update(kUnreadSeconds);
    const double drop = cores_idle() ? 0 : unread_ratio / kDropRatio;
    admitted = drop > 1 ? std::max(admitted * decrease(drop), kLeastAdmitted)
                        : std::min(admitted + kAdmitStep * sec(update_every), 1.0);
    note_regime();
    mind_the_list();
  }
  // A machine that turns slow reads slowly too: what deaf callers send it waits unread, where nothing here
  // can refuse it in time, and only the list can keep it away. Never for waits alone: in an overload that all
  // share, those that left would only add to the others' load. After a while it tries again, on new waits.
  void mind_the_list() {
    if (drain_from || !s.list_follows.value_or(false)) return;
    if (off_list_until && now < *off_list_until) return;
    const bool slow = paced_runs >= kPaceRuns && pace > kSlowed * best_pace * crowding();
    if (slow && unread_ratio > kDropRatio && !off_list_until) {
      off_list_until = now + kOffTheList;
      act(SetHealth{true, false});
      log("slow: off the list for a while, pace " + std::to_string(pace / best_pace) +
          " of its best on a crowd of " + std::to_string(paced_crowd / cores) + " a core");
    } else if (off_list_until) {
      off_list_until.reset();
      newest_unread = unread_ratio = 0;
      act(SetHealth{true, true});
    }
  }
  // What the crowd on the cores, reading included, may by itself make of the pace: a share, and thrashing.
  // Seen by the same runs as the pace, or a rush that the one shows before the other would read as a slow
  // machine.
  double crowding() const { return std::pow(std::max(1.0, paced_crowd / cores), 2); }
  // Logged only when a regime has lasted, so that a line means something to those on call.
  void note_regime() {
    if ((worst_ratio > 1) == overloaded) regime_since = now;
    if (now - regime_since < kRegimeLasts) return;
    overloaded = !overloaded;
    regime_since = now;
    log(overloaded ? "overload: waits over target" : "overload over: waits under target");
  }
  // As in the paper, successive decreases tell persistent overload from a spike. Only then are callers asked
  // not to go elsewhere: elsewhere is likely the same, and each refusal costs a reading.
  bool persistent_overload() const { return decreases > kPersistent; }
  void advertise() {
    if (s.free_number.value_or(FreeNumber::none) != FreeNumber::credit) return;
    double credit = pool / active_callers();
    if (worst_ratio <= 1) credit = std::max(credit, 1.0);
    // All callers together, those that have not come yet too: guards against a cold server that falls by the
    // sum of what each was offered.
    if (warmth() < 1) credit = std::min(credit, crowd() / std::max(told_callers, active_callers()));
    credit = takes_work() ? credit * offered : 0;
    if (said >= 0 && std::abs(credit - said) < 0.02 * said) return;
    said = credit;
    act(AdvertiseCredit{credit});
  }
  void forget_quiet_callers() {
    const Duration quiet = std::max<Duration>(s.heeded.value_or(seconds(1)) * 5, seconds(5));
    std::erase_if(callers, [&](const auto& c) { return now - c.second > quiet; });
  }

  // ---- Ending requests: one final answer each ----
  void forget_entry(Request& r) {
    if (!r.ran && entries.erase(r.in.id)) act(Forget{r.in.id});
  }
  void refuse(Request& r, bool last, Duration keep_off = {}) {
    act(Refuse{r.in.id, last, keep_off});
    end_answer(r);
  }
  // A request that has run is failed, never refused.
  void fail(Request& r) {
    act(Fail{r.in.id});
    end_answer(r);
  }
  // Over with its answer; the host reports the end of all others.
  static bool off_the_cores(const Request& r) {
    return r.phase == Phase::held || r.phase == Phase::paused || r.phase == Phase::reusing;
  }
  void end_answer(Request& r) {
    forget_entry(r);
    r.answered = true;
    if (off_the_cores(r))
      requests.erase(r.in.id);
    else
      stop_work(r);
  }
  void give_up(Request& r, bool last) {
    if (r.ran || r.phase == Phase::reusing)
      fail(r);
    else
      refuse(r, last);
  }
  // Work nobody waits for leaves the cores where the host can stop it.
  // A keyed run goes on while its aim lasts: its caller's next try reuses it (guards against tries shorter
  // than runs).
  void stop_work(Request& r) {
    if (r.phase != Phase::running || suspend == SuspendKind::none || r.stopping) return;
    if (cls(r).effect == Effect::once_by_key && now < r.reached + cls(r).aim) return;
    r.stopping = true;
    act(Suspend{r.in.id});
  }

  // ---- Arrivals ----
  void on(const RequestArrived& in) {
    if (requests.count(in.id)) return;
    if (!class_of(in)) {  // a class no one told of: nothing can be promised
      act(Refuse{in.id, false, {}});
      return;
    }
    callers[in.caller] = now;
    Request fresh;
    fresh.in = in;
    auto& r = requests.emplace(in.id, std::move(fresh)).first->second;
    const auto& c = cls(r);
    r.since = now;
    r.reached = now - std::clamp(in.waited_unread, Duration{}, Duration(seconds(3600)));
    r.due = std::max(in.caller_waits ? now + *in.caller_waits : r.reached + c.deadline, now);
    const auto stretch = in.cost_hint ? dur(sec(*in.cost_hint) * c.aim_stretch) : Duration{};
    r.useful_until = std::min(r.due, r.reached + std::min(c.aim + stretch, c.deadline));
    if (stop_at) r.due = std::min(r.due, last_answer());
    // What waited unread and is refused at once is never the oldest held: its wait counts all the same, or a
    // flood at the door would look calm and the pool would grow into it.
    newest_unread = sec(now - r.reached) / sec(target(r));
    arrival_ratio = std::max(arrival_ratio, newest_unread);
    r.over_share = share_spent(in.tenant);
    // Guards against a repeat read just before the kill, which no timer could still answer.
    if (drain_from && now >= last_answer()) return refuse(r, false);
    if (in.repeats && may_reuse(r)) return reuse(r);
    if (const auto reason = refusal(r)) {
      const bool pressed = *reason == Reason::waits_too_long || *reason == Reason::over_share;
      refuse(r, (pressed && persistent_overload()) || *reason == Reason::too_late,
             pressed ? std::min(s.max_advice.value_or(Duration{}), target(r)) : Duration{});
      return;
    }
    if (!r.over_share) take_share(in.tenant);
    if (c.effect == Effect::once_by_key) remember(r, c.window - (now - r.reached));
    set_due_timer(r);
  }
  // Past D_drop the least worth goes first, even with a core free: where requests wait unread, the queue is
  // outside the hold and its order can't be chosen. Guards against serving the patient classes and losing the
  // hasty ones; the part taken follows the waits as the pool does. Ties are broken by chance.
  bool under_the_bar(Request& r) {
    const double own = value(r);
    const bool under =
        admitted < 1 && recent_values.size() >= kValues / 2 && rank_by_worth(own) < 1 - admitted;
    recent_values.push_back(own);
    if (recent_values.size() > kValues) recent_values.pop_front();
    return under;
  }
  double rank_by_worth(double own) {
    double under = 0, ties = 0;
    for (const double v : recent_values) under += v < own, ties += v == own;
    const double drawn = std::uniform_real_distribution<double>(0, 1)(random);
    return (under + ties * drawn) / double(recent_values.size());
  }
  enum class Reason { leaving, no_memory, too_late, waits_too_long, over_share };
  std::optional<Reason> refusal(Request& r) {
    const auto& c = cls(r);
    if (drain_from && (r.reached > *drain_from + s.drain_grace.value_or(Duration{}) ||
                       now + time_needed(r) > last_answer()))
      return Reason::leaving;
    const auto key = c.effect == Effect::once_by_key ? key_units : 0;
    if (memory_in_use() + key > memory_limit || !memory_leaves_a_run(r, key)) return Reason::no_memory;
    if (now >= r.useful_until && c.late_worth <= 0) return Reason::too_late;
    if (under_the_bar(r)) return Reason::waits_too_long;
    if (count(Phase::running) < int(limit) && count(Phase::held) <= 1) return std::nullopt;
    if (oldest_wait(r.in.cls) > kDropRatio * sec(target(r))) return Reason::waits_too_long;
    // By what the cores can do, not by the oldest wait: guards against a burst that is taken while the hold
    // is empty and keeps everybody waiting past the patience of their callers, who are served when they are
    // gone.
    if (const double ahead = work_ahead(r) / cores; most_wait && ahead > *most_wait * sec(target(r))) {
      arrival_ratio = std::max(arrival_ratio, ahead / sec(target(r)));
      return Reason::waits_too_long;
    }
    const auto wait = expected_wait(r);
    if (now + wait + dur(kServeMargin * sec(time_needed(r))) > r.useful_until) {
      // The wait it would have met is a delay like any other: refusing early must not make the pool look
      // calm.
      arrival_ratio = std::max(arrival_ratio, sec(wait + (now - r.reached)) / sec(target(r)));
      return Reason::waits_too_long;
    }
    if (r.over_share && worst_ratio > kOverSharePressure) return Reason::over_share;
    return std::nullopt;
  }
  double oldest_wait(ClassId id) const {
    double worst = 0;
    for (const auto& [rid, r] : requests)
      if (r.phase == Phase::held && r.in.cls == id) worst = std::max(worst, sec(now - r.reached));
    return worst;
  }
  // The allowance counts what clients ask of the service: a tier further in sees calls and can't apply it,
  // and what is refused has used none of it (guards against retries and calls reading as traffic over a
  // share).
  bool share_spent(TenantId tenant) const {
    const auto i = std::size_t(tenant);
    return s.layer.value_or(0) < 1 && i < tenants.size() && tenants[i].tokens < 1;
  }
  void take_share(TenantId tenant) {
    if (const auto i = std::size_t(tenant); i < tenants.size())
      tenants[i].tokens = std::max(tenants[i].tokens - 1, 0.0);
  }
  // Two seconds' worth; where that is few requests, more, or chance alone would read as traffic over a share.
  // The price: a share that is overrun is noticed later.
  void refill_shares() {
    const double passed = sec(now - last_refill);
    last_refill = now;
    for (auto& t : tenants)
      t.tokens = std::min(t.tokens + t.allowance * passed, std::max(2 * t.allowance, kShareSavings));
  }

  // ---- Repeats ----
  bool may_reuse(const Request& r) {
    return cls(r).effect == Effect::once_by_key ||
           (cls(r).effect == Effect::repeatable && reads_are_shared());
  }
  bool reads_are_shared() const { return s.fresh.value_or(Duration{}).count() > 0; }
  void reuse(Request& r) {
    if (memory_in_use() > memory_limit) return refuse(r, false);
    enter(r, Phase::reusing);
    act(Reuse{r.in.id});
    set_due_timer(r);
  }
  void remember(Request& r, Duration keep) {
    keep += update_every;  // past the window's end, never short of it
    if (keep.count() <= 0) return;
    entries[r.in.id] = now + keep;
    act(Remember{r.in.id, keep});
  }
  void drop_expired_entries() {
    std::erase_if(entries, [&](const auto& e) { return e.second < now; });
  }

  // ---- Answers by the due time ----
  void set_due_timer(Request& r) {
    due_timers[next_token] = r.in.id;
    act(SetTimer{TimerToken(next_token++), std::max<Duration>(r.due - now, Duration(1))});
  }
  void answer_due(TimerToken token) {
    const auto it = due_timers.find(std::uint32_t(token));
    if (it == due_timers.end()) return;
    auto* r = find(it->second);
    due_timers.erase(it);
    if (r && !r->answered && !r->gone) give_up(*r, false);
  }
  TimePoint last_answer() const {
    return *stop_at - std::min<Duration>(2 * slack + update_every, (*stop_at - *drain_from) / 4);
  }

  // ---- Runs: order of the hold, run limit ----
  void update_limit() {
    const bool waiting = count(Phase::held) + count(Phase::paused) > 0;
    if (cores_idle() && waiting && count(Phase::running) >= int(limit))
      limit += kLimitStep * cores;
    else if (!waiting || !cores_idle())
      limit -= kLimitStep * cores / 4;
    limit = std::clamp(limit, cores, std::max(cores, crowd() * kLimitCrowdShare));
  }
  Request* best_to_run() {
    Request* best = nullptr;
    double best_score = -1;
    for (auto& [id, r] : requests) {
      if (r.phase != Phase::held && r.phase != Phase::paused) continue;
      if (r.phase == Phase::held && r.ran && once(r)) continue;  // ran and was dropped: never again
      if (const double own = score(r); own > best_score) best = &r, best_score = own;
    }
    return best;
  }
  void run_held() {
    while (count(Phase::running) < int(limit) && begun() < std::max(1.0, std::floor(crowd() * kCrowdShare))) {
      auto* r = best_to_run();
      if (!r) return;
      if (r->phase == Phase::held && !memory_for_run(*r)) return;
      begin(*r);
    }
  }
  void begin(Request& r) {
    if (cls(r).effect == Effect::repeatable && r.in.key && reads_are_shared() &&
        memory_in_use() + key_units <= memory_limit && memory_for_run(r))
      remember(r, *s.fresh + time_needed(r));
    r.ran = true;
    r.stopping = false;
    enter(r, Phase::running);
    act(Run{r.in.id});
  }
  // A held request that can no longer earn anything goes; so does a run past its use, which keeps a core.
  void drop_hopeless() {
    for (auto it = requests.begin(); it != requests.end();) {
      auto& r = (it++)->second;
      if (r.answered || r.gone) {
        stop_work(r);
        continue;
      }
      if (r.phase == Phase::reusing || cls(r).late_worth > 0) continue;
      const bool late = now >= r.useful_until;
      if (r.phase == Phase::held ? late || now + time_needed(r) / 2 > r.useful_until : late) give_up(r, true);
    }
  }
  void on(const RunEnded& e) {
    auto* r = find(e.id);
    if (!r) return;
    const bool reused = r->phase == Phase::reusing;
    const bool whole = e.result == RunResult::ok && !reused;
    if (r->phase == Phase::calling) leave_call(true);
    enter(*r, r->phase);
    if (whole) learn(*r);
    if (e.result == RunResult::cancelled && !r->answered && !r->gone) {
      r->stopping = false;
      enter(*r, suspend == SuspendKind::pause ? Phase::paused : Phase::held);
      if (r->phase == Phase::held && once(*r)) fail(*r);
      return;
    }
    requests.erase(e.id);
  }
  void learn(Request& r) {
    auto& c = cls(r);
    c.runs.push_back(r.on_cores);
    if (c.runs.size() > kSamples) c.runs.pop_front();
    auto sorted = std::vector<Duration>(c.runs.begin(), c.runs.end());
    std::nth_element(sorted.begin(), sorted.begin() + std::ptrdiff_t(sorted.size() / 2), sorted.end());
    c.median = std::max<Duration>(sorted[sorted.size() / 2], milliseconds(1));
    c.call_time += dur((sec(r.at_calls) - sec(c.call_time)) * kPaceGain);
    if (!r.in.cost_hint) return;
    pace += kPaceGain * (std::clamp(sec(r.on_cores) / sec(*r.in.cost_hint), 0.01, 100.0) - pace);
    paced_crowd += kPaceGain * (on_cores - paced_crowd);
    if (warmth() >= 1 && ++paced_runs >= kPaceRuns)
      best_pace = best_pace > 0 ? std::min(best_pace, pace) : pace;
  }
  // Pause: long runs make way for work worth more per expected work (heavy tails).
  void pause_long_runs() {
    if (suspend != SuspendKind::pause || count(Phase::running) < int(limit)) return;
    auto* next = best_to_run();
    if (!next || (next->phase == Phase::held && !memory_for_run(*next))) return;
    Request* longest = nullptr;
    for (auto& [id, r] : requests) {
      if (r.phase != Phase::running || r.stopping || r.answered) continue;
      if (sec(attained(r)) < kPauseRuns * sec(run_time(r.in))) continue;
      if (!longest || score(r) < score(*longest)) longest = &r;
    }
    if (!longest || score(*next) < kPauseGain * score(*longest)) return;
    longest->stopping = true;
    act(Suspend{longest->in.id});
  }

  // ---- Calls below ----
  void on(const CallNeeded& e) {
    auto* r = find(e.id);
    if (!r) return;
    enter(*r, Phase::at_call);
    r->call_tries = 0;
    r->call_may_have_run = false;
    r->call_again = now;
    r->stopping = false;
  }
  void on(const CallEnded& e) {
    auto* r = find(e.id);
    if (!r || r->phase != Phase::calling) return;
    leave_call(e.result == CallResult::timed_out);
    call_mean += dur((sec(e.took) - sec(call_mean)) * (call_mean.count() ? kPaceGain : 1));
    if (++calls_ended >= kCallSamples)  // not before: a lucky first call is no yardstick
      call_best = call_best > 0 ? std::min(call_best, sec(call_mean)) : sec(call_mean);
    if (e.result == CallResult::ok) {
      enter(*r, Phase::running);
      return;
    }
    enter(*r, Phase::at_call);
    const bool never_ran = e.result == CallResult::refused || e.result == CallResult::unreachable;
    r->call_may_have_run |= !never_ran;
    r->call_tries += 1;
    r->call_again = now + update_every * (1 << std::min(r->call_tries, 5)) / 2;
  }
  int calls_in_hand() const { return count(Phase::calling) + int(lingering.size()); }
  void note_calls() {
    if (below != Downstream::shared) return;  // nothing binds there, and this runs with every batch
    std::erase_if(lingering, [&](TimePoint t) { return t <= now; });
    const int n = calls_in_hand();
    if (call_history.empty() || call_history.back().second != n) call_history.emplace_back(now, n);
    const auto from = now - call_window;
    while (call_history.size() > 1 && call_history[1].first <= from) call_history.pop_front();
  }
  void leave_call(bool abandoned) {
    if (abandoned && below == Downstream::shared) lingering.push_back(now + call_linger);
  }
  // The part of the share that may be used: less as calls slow down, since the dependency slows long before
  // it falls and others see the same. Guards against a fleet that fills a crowded dependency to the edge.
  double call_allowance() const {
    const double slower = call_best > 0 ? std::max(sec(call_mean) / call_best / kCallSlowdown, 1.0) : 1.0;
    return kCallShare * call_share / slower;
  }
  // The mean of calls in hand over the window, were one more begun: one in hand stays as long as is usual, or
  // as long again as it has stayed (a hung dependency). A fresh instance has had no window yet, and a fleet
  // of them must not spend a whole one in its first seconds. The call asked for may yet be abandoned.
  bool call_allowed() {
    if (below != Downstream::shared) return true;
    const double window = std::max(sec(call_window), 0.1);
    const TimePoint from = now - dur(window);
    const double stay = std::min(std::max(2 * sec(call_mean), sec(kCallStay)), window);
    double area = stay + sec(call_linger) * double(1 + lingering.size());
    for (std::size_t i = 0; i < call_history.size(); ++i) {
      const auto until = i + 1 < call_history.size() ? call_history[i + 1].first : now;
      area += call_history[i].second * sec(until - std::max(call_history[i].first, from));
    }
    for (const auto& [id, r] : requests)
      if (r.phase == Phase::calling) area += std::max(stay, sec(now - r.since));
    return area <= call_allowance() * std::min(window, sec(now - born) + sec(kCallStart));
  }
  void make_calls() {
    std::vector<Request*> waiting;
    for (auto& [id, r] : requests)
      if (r.phase == Phase::at_call && !r.answered && !r.gone) waiting.push_back(&r);
    std::stable_sort(waiting.begin(), waiting.end(), [&](auto* a, auto* b) { return value(*a) > value(*b); });
    for (auto* r : waiting) decide_call(*r);
  }
  void decide_call(Request& r) {
    const auto left = std::min(r.useful_until, r.due) - now;
    const bool may_skip = cls(r).skip_worth > 0;
    const bool spent = r.call_may_have_run && (once(r) || r.call_tries >= kCallTries);
    if (spent && !may_skip) return give_up(r, true);
    if (may_skip && (spent || left < 2 * run_time(r.in))) {
      enter(r, Phase::running);
      return act(SkipCall{r.in.id});
    }
    if (now < r.call_again || !call_allowed()) return;
    const auto limit_of_call =
        may_skip ? std::max<Duration>(left - run_time(r.in), milliseconds(10)) : r.due - now;
    enter(r, Phase::calling);
    act(Call{r.in.id, std::max<Duration>(limit_of_call, milliseconds(1))});
    note_calls();
  }

  // ---- Callers that leave; drain ----
  void on(const CallerGone& e) {
    auto* r = find(e.id);
    if (!r) return;
    r->gone = true;
    if (off_the_cores(*r)) {
      forget_entry(*r);
      requests.erase(e.id);
    } else {
      stop_work(*r);
    }
  }
  // Callers that heed are sent away only as the grace runs out: the successor is cold or not up yet, and
  // until then the others have no room for them. Leaves time for twice a usual run, and for the word to get
  // round.
  bool takes_work() const {
    if (!drain_from) return true;
    Duration run{};
    for (const auto& c : classes) run = std::max(run, c.median);
    return now + kDrainQuiet < *drain_from + s.drain_grace.value_or(Duration{}) &&
           now + 2 * run < last_answer();
  }
  void on(const DrainNotice& e) {
    if (drain_from) return;
    drain_from = now;
    stop_at = now + e.until_stopped;
    log("drain: leaving");
    act(SetHealth{true, false});
    for (auto& [id, r] : requests)
      if (!r.answered && r.due > last_answer()) {
        r.due = last_answer();
        set_due_timer(r);
      }
  }

  void on(const BoundSet& e) {
    most_wait = e.most_wait;
    offered = std::isfinite(e.offered) ? std::clamp(e.offered, 0.0, 1.0) : 1;
  }

  // ---- The update ----
  void on(const TimerFired& e) {
    if (e.token != kUpdateToken) return answer_due(e.token);
    if (e.core_use && std::isfinite(*e.core_use)) core_use = std::clamp(*e.core_use, 0.0, 1.0);
    if (e.on_cores && std::isfinite(*e.on_cores)) on_cores = std::clamp(*e.on_cores, 0.0, 1e6);
    refill_shares();
    drop_expired_entries();
    forget_quiet_callers();
    drop_hopeless();
    update_limit();
    update_pool();
    pause_long_runs();
    act(SetTimer{kUpdateToken, update_every});
  }
  std::vector<Action> start() {
    if (s.deep_checks.value_or(false)) act(SetHealth{true, true});
    act(SetTimer{kUpdateToken, update_every});
    advertise();
    return std::move(out);
  }
  std::vector<Action> handle(TimePoint at, std::span<const Event> events) {
    now = std::max(now, at);
    out.clear();
    for (const auto& event : events) std::visit([&](const auto& e) { on(e); }, event);
    note_calls();  // calls that ended too: guards against reading a quick call as in hand until the next one
    make_calls();
    run_held();
    advertise();
    return std::move(out);
  }
};

AdmissionController::AdmissionController(Settings settings, std::uint64_t seed, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
AdmissionController::AdmissionController(AdmissionController&&) noexcept = default;
AdmissionController& AdmissionController::operator=(AdmissionController&&) noexcept = default;
AdmissionController::~AdmissionController() = default;
std::vector<Action> AdmissionController::start() { return impl_->start(); }
std::vector<Action> AdmissionController::handle(TimePoint now, std::span<const Event> events) {
  return impl_->handle(now, events);
}

}  // namespace granitegap
