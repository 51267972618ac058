// A small host for the module's tests: cores shared by all that runs, a hold, a table of remembered keys,
// calls that end in every way, callers that leave. It checks the four rules as it goes and lists what was
// broken.
#pragma once
#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

#include "granitegap/policy.h"

namespace granitegap::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Script {
  std::uint64_t seed = 1;
  double arrivals_per_s = 30;
  int steps = 2000;  // of 5 ms
  int drain_at = -1;
  int call_ms = 300;
  int callers = 4;
  double full_table = -1;  // open connections from this many on: the gauge stands and every read waits
  bool together = false;   // calls hang, then all end well at once
  bool hang = false;       // runs stop ending for a while
};

class FakeHost {
 public:
  FakeHost(Settings settings, Script script)
      : s_(settings), script_(script), rng_(script.seed), controller_(settings, script.seed, now_) {
    apply(controller_.start());
  }
  void play() {
    for (step_ = 0; step_ < script_.steps && !stopped_; ++step_) step(step_ < script_.steps - 1600);
    for (auto& [id, r] : requests_)
      if (!r.answered && !r.gone) broken.insert("lost: never answered");
  }
  std::set<std::string> broken;
  int served = 0, refused = 0, failed = 0, reused = 0, runs = 0, skipped = 0, calls = 0;

 private:
  enum class State { held, running, at_call, calling, paused, reusing, over };
  struct Req {
    RequestArrived in;
    TimePoint reached, due, call_ends;
    State state = State::held;
    bool ran = false, answered = false, gone = false, call_may_have_run = false;
    double work = 0, call_at = -1;
    RequestId original{};
  };
  static constexpr Duration kTick = milliseconds(5);

  double roll() { return std::uniform_real_distribution<double>(0, 1)(rng_); }
  const ClassSettings& cls(const Req& r) { return s_.classes[std::size_t(r.in.class_id)]; }
  bool once(const Req& r) { return *cls(r).idempotency != Idempotency::idempotent; }

  void step(bool arrivals) {
    now_ += kTick;
    std::vector<Event> events;
    if (script_.drain_at >= 0 && step_ == script_.drain_at) {
      drained_ = now_;
      stop_ = now_ + milliseconds(4000);
      events.push_back(DrainStarted{milliseconds(4000)});
    }
    work(events);
    end_calls(events);
    leave(events);
    if (arrivals && roll() < script_.arrivals_per_s * 0.005) arrive(events);
    for (auto it = timers_.begin(); it != timers_.end() && it->first <= now_;) {
      TimerFired fired;
      fired.token = it->second;
      fired.core_utilization = running() >= int(*s_.cores) ? 1.0 : double(running()) / *s_.cores;
      if (script_.full_table > 0) fired.connections = script_.full_table;
      events.push_back(fired);
      it = timers_.erase(it);
    }
    if (!events.empty()) apply(controller_.handle(now_, events));
    check();
  }
  int running() const {
    return int(std::count_if(requests_.begin(), requests_.end(),
                             [](auto& e) { return e.second.state == State::running; }));
  }
  void settle(Req& r, RunResult result, std::vector<Event>& events) {
    if (result == RunResult::ok || result == RunResult::error) answer(r);
    if (result == RunResult::ok) ++served;
    r.state = State::over;
    events.push_back(RunEnded{r.in.id, result, milliseconds(1)});
  }
  void answer(Req& r) {
    if (now_ > r.due + *s_.answer_slack && !r.gone && !r.answered) broken.insert("lost: answered late");
    r.answered = true;
  }
  void work(std::vector<Event>& events) {
    if (script_.hang && step_ > 300 && step_ < 900) return;
    const int n = running();
    const double share = n ? 0.005 * std::min(1.0, *s_.cores / n) : 0;
    for (auto& [id, r] : requests_) {
      if (r.state == State::reusing) {
        const auto it = requests_.find(r.original);
        const bool over = it == requests_.end() || it->second.state == State::over;
        if (over)
          settle(r, it != requests_.end() && it->second.ran ? RunResult::ok : RunResult::error, events);
      }
      if (r.state != State::running) continue;
      r.work -= share;
      if (r.call_at >= 0 && r.work <= r.call_at) {
        r.call_at = -1;
        if (r.answered || r.gone) {
          settle(r, RunResult::cancelled, events);
          continue;
        }
        r.state = State::at_call;
        r.call_may_have_run = false;
        events.push_back(CallNeeded{id});
      } else if (r.work <= 0) {
        if (r.answered || r.gone)
          r.state = State::over, events.push_back(RunEnded{id, RunResult::ok, milliseconds(1)});
        else
          settle(r, roll() < 0.02 ? RunResult::error : RunResult::ok, events);
      }
    }
  }
  void end_calls(std::vector<Event>& events) {
    for (auto& [id, r] : requests_) {
      if ((r.state == State::at_call || r.state == State::calling || r.state == State::paused) &&
          (r.answered || r.gone)) {
        if (r.state == State::calling) lingering_.push_back(now_ + *s_.abandoned_call_linger);
        settle(r, RunResult::cancelled, events);
        continue;
      }
      if (r.state != State::calling || r.call_ends > now_) continue;
      const double p = script_.together ? 0 : roll();
      const auto result = p < 0.7    ? CallResult::ok
                          : p < 0.8  ? CallResult::rejected
                          : p < 0.85 ? CallResult::unreachable
                          : p < 0.9  ? CallResult::error
                          : p < 0.95 ? CallResult::timed_out
                                     : CallResult::connection_lost;
      if (result == CallResult::timed_out) lingering_.push_back(now_ + *s_.abandoned_call_linger);
      r.state = result == CallResult::ok ? State::running : State::at_call;
      if (result != CallResult::ok && result != CallResult::rejected && result != CallResult::unreachable)
        r.call_may_have_run = true;
      events.push_back(CallEnded{id, result, milliseconds(100)});
    }
  }
  void leave(std::vector<Event>& events) {
    if (!*s_.reports_cancellation || roll() > 0.01) return;
    for (auto& [id, r] : requests_) {
      if (r.answered || r.gone || r.state == State::over || roll() > 0.1) continue;
      r.gone = true;
      if (r.state == State::held || r.state == State::paused || r.state == State::reusing)
        r.state = State::over;
      events.push_back(RequestAbandoned{id});
      return;
    }
  }
  void arrive(std::vector<Event>& events) {
    Req r;
    r.in.id = RequestId(next_id_++);
    r.in.class_id = ClassId(std::uint32_t(roll() * double(s_.classes.size())));
    r.in.tenant = TenantId(std::uint32_t(roll() * 2));
    r.in.caller = CallerId(std::uint32_t(roll() * script_.callers));
    r.in.memory = MemorySize(std::int64_t(10000 + roll() * 60000));
    r.in.unread_wait = milliseconds(int(roll() * (script_.full_table > 0 ? 1500 : 200)));
    r.reached = now_ - r.in.unread_wait;
    if (*s_.passes_deadline) r.in.caller_timeout = milliseconds(int(50 + roll() * 2000));
    r.due =
        std::max(now_, r.in.caller_timeout ? now_ + *r.in.caller_timeout
                                           : r.reached + *s_.classes[std::size_t(r.in.class_id)].deadline);
    r.work = 0.02 + roll() * roll() * 0.8;
    if (roll() < 0.7)
      r.in.cost_hint = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(r.work));
    if (roll() < 0.6) r.call_at = r.work * roll();
    if (*s_.classes[std::size_t(r.in.class_id)].idempotency == Idempotency::with_key) {
      const auto key = std::uint64_t(roll() * 12);
      keys_[r.in.id] = key;
      const auto it = table_.find(key);
      if (it != table_.end() && it->second.second >= r.reached) r.in.duplicate_of = it->second.first;
    }
    events.push_back(r.in);
    requests_.emplace(r.in.id, r);
  }
  void may_run(Req& r) {
    ++runs;
    if (drained_ && r.reached > *drained_ + *s_.drain_grace)
      broken.insert("drain: ran what came after the grace");
    if (r.ran && r.state == State::held && once(r)) broken.insert("duplicate: ran anew after a drop");
    const auto key = keys_.find(r.in.id);
    if (key == keys_.end() || r.ran) return;
    const auto last = last_run_.find(key->second);
    if (last != last_run_.end() && r.reached <= last->second + *cls(r).idempotency_window)
      broken.insert("duplicate: two tries of one key ran");
    last_run_[key->second] = r.reached;
  }
  void apply(const std::vector<Action>& actions) {
    std::vector<Event> events;
    for (const auto& a : actions) std::visit([&](const auto& x) { on(x, events); }, a);
    if (!events.empty()) apply(controller_.handle(now_, events));
  }
  Req* get(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) broken.insert("named an unknown request");
    return it == requests_.end() ? nullptr : &it->second;
  }
  void on(const Run& a, std::vector<Event>& events) {
    auto* r = get(a.id);
    if (!r || r->state == State::running) return;
    if (r->state == State::over) return events.push_back(RunEnded{a.id, RunResult::moot, {}});
    if (r->state != State::held && r->state != State::paused) return;
    may_run(*r);
    r->ran = true;
    r->state = State::running;
  }
  void end_by(Req& r) {
    if (r.answered) broken.insert("lost: answered twice");
    answer(r);
    if (r.state == State::held || r.state == State::paused || r.state == State::reusing)
      r.state = State::over;
  }
  void on(const Reject& a, std::vector<Event>&) {
    auto* r = get(a.id);
    if (!r || r->state == State::over) return;
    if (r->ran && once(*r)) broken.insert("duplicate: refused what had run");
    ++refused;
    end_by(*r);
  }
  void on(const Fail& a, std::vector<Event>&) {
    auto* r = get(a.id);
    if (!r || r->state == State::over) return;
    ++failed;
    end_by(*r);
  }
  void on(const Suspend& a, std::vector<Event>& events) {
    auto* r = get(a.id);
    if (*s_.suspend == SuspendKind::none) broken.insert("suspended where it can't be");
    if (!r || r->state != State::running) return;
    if (script_.hang && step_ > 300 && step_ < 900) return;  // the cores stand still: nothing is stopped
    r->state = r->answered || r->gone              ? State::over
               : *s_.suspend == SuspendKind::pause ? State::paused
                                                   : State::held;
    events.push_back(RunEnded{a.id, RunResult::cancelled, {}});
  }
  void on(const Call& a, std::vector<Event>&) {
    auto* r = get(a.id);
    if (!r || r->state != State::at_call) return;
    if (r->call_may_have_run && once(*r)) broken.insert("duplicate: repeated a call that may have run");
    ++calls;
    r->state = State::calling;
    r->call_ends = now_ + std::min<Duration>(a.timeout, milliseconds(int(10 + roll() * script_.call_ms)));
    if (script_.together) r->call_ends = TimePoint{} + ((now_ - TimePoint{}) / seconds(3) + 1) * seconds(3);
  }
  void on(const SkipCall& a, std::vector<Event>&) {
    auto* r = get(a.id);
    if (!r || r->state != State::at_call) return;
    if (cls(*r).degraded_weight_fraction.value_or(0) <= 0) broken.insert("skipped a call that can't be");
    ++skipped;
    r->state = State::running;
  }
  void on(const CacheResult& a, std::vector<Event>&) {
    const auto key = keys_.find(a.id);
    if (key != keys_.end()) table_[key->second] = {a.id, now_ + a.ttl};
  }
  void on(const EvictResult& a, std::vector<Event>&) {
    const auto key = keys_.find(a.id);
    if (key != keys_.end() && table_.count(key->second) && table_[key->second].first == a.id)
      table_.erase(key->second);
  }
  void on(const ReuseResult& a, std::vector<Event>&) {
    auto* r = get(a.id);
    if (!r || r->state != State::held) return;
    if (!r->in.duplicate_of) broken.insert("reused what repeats nothing");
    ++reused;
    r->original = r->in.duplicate_of.value_or(RequestId{});
    r->state = State::reusing;
  }
  void on(const SetTimer& a, std::vector<Event>&) {
    timers_.emplace(now_ + std::max<Duration>(a.delay, Duration(1)), a.token);
  }
  void on(const SetHealth&, std::vector<Event>&) {}
  void on(const AdvertiseCredit& a, std::vector<Event>&) {
    if (!(a.credit >= 0)) broken.insert("advertised no number");
  }
  void on(const CloseIdleConnections&, std::vector<Event>&) {}
  void on(const Log&, std::vector<Event>&) {}

  void check() {
    double memory = 0;
    std::erase_if(table_,
                  [&](auto& e) { return e.second.second + seconds(1) < now_; });  // late reads still find it
    const auto kept =
        std::count_if(table_.begin(), table_.end(), [&](auto& e) { return e.second.second >= now_; });
    std::erase_if(lingering_, [&](auto t) { return t <= now_; });
    int on_calls = int(lingering_.size());
    memory += double(kept) * *s_.table_entry_kb;
    for (auto& [id, r] : requests_) {
      if (r.state == State::over) continue;
      if (!r.answered && !r.gone && now_ > r.due + *s_.answer_slack) broken.insert("lost: answer overdue");
      on_calls += r.state == State::calling;
      memory += double(std::int64_t(r.in.memory)) / 1000 *
                (r.state == State::held || r.state == State::reusing ? 1 : *s_.run_memory_factor);
    }
    if (memory > *s_.memory_kb) broken.insert("fall-over: memory");
    mean(crowd_, running(), *s_.overload_window, *s_.cores * (1 + (*s_.overload_factor - 1) * warmth()),
         "fall-over: crowd");
    mean(in_hand_, on_calls, *s_.call_window, *s_.call_quota, "fall-over: calls");
    if (stop_ && now_ >= *stop_) {
      stopped_ = true;
      for (auto& [id, r] : requests_)
        if (!r.answered && !r.gone && r.state != State::over) broken.insert("drain: unanswered at the kill");
    }
  }
  double warmth() const {
    if (!*s_.cold) return 1;
    const double part = double(now_.time_since_epoch().count()) / double(s_.warm_up->count());
    return *s_.cold_speed + (1 - *s_.cold_speed) * std::min(1.0, part);
  }
  void mean(std::deque<double>& samples, double value, Duration window, double bound, const char* name) {
    const auto n = std::size_t(window / kTick);
    samples.push_back(value);
    if (samples.size() > n) samples.pop_front();
    double sum = 0;
    for (const double v : samples) sum += v;
    if (sum / double(n) > bound + 1e-9) broken.insert(name);
  }

  Settings s_;
  Script script_;
  std::mt19937_64 rng_;
  TimePoint now_{};
  AdmissionController controller_;
  std::map<RequestId, Req> requests_;
  std::map<RequestId, std::uint64_t> keys_;
  std::map<std::uint64_t, std::pair<RequestId, TimePoint>> table_;
  std::map<std::uint64_t, TimePoint> last_run_;
  std::multimap<TimePoint, TimerToken> timers_;
  std::vector<TimePoint> lingering_;
  std::deque<double> crowd_, in_hand_;
  std::optional<TimePoint> drained_, stop_;
  bool stopped_ = false;
  int step_ = 0;
  std::uint32_t next_id_ = 1;
};

// Settings in which every rule can bind.
inline Settings tight_settings() {
  Settings s;
  s.classes.resize(3);
  for (auto& c : s.classes) {
    c.latency_objective = milliseconds(1500);
    c.deadline = milliseconds(4000);
    c.idempotency_window = milliseconds(6000);
    c.priority_weight = 1;
    c.late_weight_fraction = 0;
    c.degraded_weight_fraction = 0;
    c.makes_calls = true;
  }
  s.classes[0].idempotency = Idempotency::idempotent;
  s.classes[0].degraded_weight_fraction = 0.5;
  s.classes[1].idempotency = Idempotency::with_key;
  s.classes[1].priority_weight = 3;
  s.classes[2].idempotency = Idempotency::none;
  s.tenants.resize(2);
  for (auto& t : s.tenants) t.quota_per_s = 200, t.share = 0.5;
  s.cores = 2;
  s.servers = 10;
  s.callers = 4;
  s.tier = 0;
  s.run_memory_factor = 8;
  s.overload_factor = 3;
  s.cold_speed = 0.2;
  s.call_quota = 1.2;
  s.memory_kb = 4000;
  s.table_entry_kb = 60;
  s.over_quota_weight_fraction = 0.05;
  s.answer_slack = milliseconds(80);
  s.drain_grace = milliseconds(1000);
  s.overload_window = milliseconds(1500);
  s.warm_up = seconds(8);
  s.call_window = milliseconds(5000);
  s.abandoned_call_linger = milliseconds(200);
  s.response_max_age = Duration{};
  s.advertised_value_ttl = seconds(1);
  s.tick_interval = milliseconds(5);
  s.max_retry_after = seconds(1);
  s.cold = false;
  s.passes_deadline = true;
  s.reports_cancellation = true;
  s.deep_health_checks = false;
  s.weight_by_work = true;
  s.suspend = SuspendKind::drop;
  s.downstream = Downstream::shared;
  s.advertised_value = AdvertisedValue::credits;
  return s;
}

}  // namespace granitegap::testing
