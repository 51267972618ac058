// A simulated host for the admission controller's tests: cores shared by all that runs, queued requests, a
// table of cached results, calls that end in every way, callers that give up. It checks the rules as it goes
// and collects the violations. One thread, simulated time, fixed seeds.
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

// What happens to the controller; times are in steps of 5 ms.
struct Scenario {
  std::uint64_t seed = 1;
  double arrivals_per_s = 30;
  int steps = 2000;
  int drain_at = -1;
  int call_ms = 300;
  int callers = 4;
  double open_connections = -1;     // above 0: this constant gauge, and every request waits long unread
  bool calls_end_together = false;  // calls hang, then all succeed at once
  bool runs_hang = false;           // runs stop ending for a while
};

class FakeHost {
 public:
  FakeHost(const Settings& settings, Scenario scenario)
      : s_(settings),
        scenario_(scenario),
        random_(scenario.seed),
        controller_(settings, scenario.seed, now_) {
    apply(controller_.start());
  }
  void play() {
    for (step_ = 0; step_ < scenario_.steps && !stopped_; ++step_) step(step_ < scenario_.steps - 1600);
    for (auto& [id, r] : requests_)
      if (!r.answered && !r.abandoned) violations.insert("lost: never answered");
  }
  std::set<std::string> violations;
  int served = 0;
  int rejected = 0;
  int failed = 0;
  int reused = 0;
  int runs = 0;
  int skipped = 0;
  int calls = 0;

 private:
  enum class State { queued, running, awaiting_call, calling, paused, awaiting_result, ended };
  struct SimulatedRequest {
    RequestArrived arrival;
    TimePoint arrived_at, due, call_ends;
    State state = State::queued;
    bool has_run = false;
    bool answered = false;
    bool abandoned = false;
    bool call_may_have_run = false;
    double work = 0;      // core seconds left
    double call_at = -1;  // calls when this much work is left; negative: never
    RequestId original{};
  };
  static constexpr Duration kTick = milliseconds(5);

  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  const ClassSettings& class_of(const SimulatedRequest& r) {
    return s_.classes[std::size_t(r.arrival.class_id)];
  }
  bool runs_at_most_once(const SimulatedRequest& r) {
    return *class_of(r).idempotency != Idempotency::idempotent;
  }

  void step(bool arrivals) {
    now_ += kTick;
    std::vector<Event> events;
    if (scenario_.drain_at >= 0 && step_ == scenario_.drain_at) {
      drain_started_ = now_;
      stop_ = now_ + milliseconds(4000);
      events.push_back(DrainStarted{milliseconds(4000)});
    }
    run_cores(events);
    end_calls(events);
    abandon_one(events);
    if (arrivals && random_fraction() < scenario_.arrivals_per_s * 0.005) arrive(events);
    for (auto it = timers_.begin(); it != timers_.end() && it->first <= now_;) {
      TimerFired fired;
      fired.token = it->second;
      fired.core_utilization = running() >= int(*s_.cores) ? 1.0 : double(running()) / *s_.cores;
      if (scenario_.open_connections > 0) fired.connections = scenario_.open_connections;
      events.push_back(fired);
      it = timers_.erase(it);
    }
    if (!events.empty()) apply(controller_.handle(now_, events));
    check_rules();
  }
  int running() const {
    return int(std::count_if(requests_.begin(), requests_.end(),
                             [](auto& e) { return e.second.state == State::running; }));
  }
  void settle(SimulatedRequest& r, RunResult result, std::vector<Event>& events) {
    if (result == RunResult::ok || result == RunResult::error) answer(r);
    if (result == RunResult::ok) ++served;
    r.state = State::ended;
    events.push_back(RunEnded{r.arrival.id, result, milliseconds(1)});
  }
  void answer(SimulatedRequest& r) {
    if (now_ > r.due + *s_.answer_slack && !r.abandoned && !r.answered)
      violations.insert("lost: answered late");
    r.answered = true;
  }
  void run_cores(std::vector<Event>& events) {
    if (scenario_.runs_hang && step_ > 300 && step_ < 900) return;
    const int n = running();
    const double share = n ? 0.005 * std::min(1.0, *s_.cores / n) : 0;
    for (auto& [id, r] : requests_) {
      if (r.state == State::awaiting_result) {
        const auto it = requests_.find(r.original);
        const bool over = it == requests_.end() || it->second.state == State::ended;
        if (over)
          settle(r, it != requests_.end() && it->second.has_run ? RunResult::ok : RunResult::error, events);
      }
      if (r.state != State::running) continue;
      r.work -= share;
      if (r.call_at >= 0 && r.work <= r.call_at) {
        r.call_at = -1;
        if (r.answered || r.abandoned) {
          settle(r, RunResult::cancelled, events);
          continue;
        }
        r.state = State::awaiting_call;
        r.call_may_have_run = false;
        events.push_back(CallNeeded{id});
      } else if (r.work <= 0) {
        if (r.answered || r.abandoned) {
          r.state = State::ended;
          events.push_back(RunEnded{id, RunResult::ok, milliseconds(1)});
        } else
          settle(r, random_fraction() < 0.02 ? RunResult::error : RunResult::ok, events);
      }
    }
  }
  void end_calls(std::vector<Event>& events) {
    for (auto& [id, r] : requests_) {
      if ((r.state == State::awaiting_call || r.state == State::calling || r.state == State::paused) &&
          (r.answered || r.abandoned)) {
        if (r.state == State::calling) abandoned_calls_.push_back(now_ + *s_.abandoned_call_linger);
        settle(r, RunResult::cancelled, events);
        continue;
      }
      if (r.state != State::calling || r.call_ends > now_) continue;
      const double p = scenario_.calls_end_together ? 0 : random_fraction();
      const auto result = p < 0.7    ? CallResult::ok
                          : p < 0.8  ? CallResult::rejected
                          : p < 0.85 ? CallResult::unreachable
                          : p < 0.9  ? CallResult::error
                          : p < 0.95 ? CallResult::timed_out
                                     : CallResult::connection_lost;
      if (result == CallResult::timed_out) abandoned_calls_.push_back(now_ + *s_.abandoned_call_linger);
      r.state = result == CallResult::ok ? State::running : State::awaiting_call;
      if (result != CallResult::ok && result != CallResult::rejected && result != CallResult::unreachable)
        r.call_may_have_run = true;
      events.push_back(CallEnded{id, result, milliseconds(100)});
    }
  }
  void abandon_one(std::vector<Event>& events) {
    if (!*s_.reports_cancellation || random_fraction() > 0.01) return;
    for (auto& [id, r] : requests_) {
      if (r.answered || r.abandoned || r.state == State::ended || random_fraction() > 0.1) continue;
      r.abandoned = true;
      if (r.state == State::queued || r.state == State::paused || r.state == State::awaiting_result)
        r.state = State::ended;
      events.push_back(RequestAbandoned{id});
      return;
    }
  }
  void arrive(std::vector<Event>& events) {
    SimulatedRequest r;
    r.arrival.id = RequestId(next_id_++);
    r.arrival.class_id = ClassId(std::uint32_t(random_fraction() * double(s_.classes.size())));
    r.arrival.tenant = TenantId(std::uint32_t(random_fraction() * 2));
    r.arrival.caller = CallerId(std::uint32_t(random_fraction() * scenario_.callers));
    r.arrival.memory = MemorySize(std::int64_t(10000 + random_fraction() * 60000));
    r.arrival.unread_wait =
        milliseconds(int(random_fraction() * (scenario_.open_connections > 0 ? 1500 : 200)));
    r.arrived_at = now_ - r.arrival.unread_wait;
    if (*s_.passes_deadline) r.arrival.caller_timeout = milliseconds(int(50 + random_fraction() * 2000));
    r.due = std::max(now_, r.arrival.caller_timeout
                               ? now_ + *r.arrival.caller_timeout
                               : r.arrived_at + *s_.classes[std::size_t(r.arrival.class_id)].deadline);
    r.work = 0.02 + random_fraction() * random_fraction() * 0.8;
    if (random_fraction() < 0.7)
      r.arrival.cost_hint = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(r.work));
    if (random_fraction() < 0.6) r.call_at = r.work * random_fraction();
    if (*s_.classes[std::size_t(r.arrival.class_id)].idempotency == Idempotency::with_key) {
      const auto key = std::uint64_t(random_fraction() * 12);
      key_of_[r.arrival.id] = key;
      const auto it = cached_results_.find(key);
      if (it != cached_results_.end() && it->second.second >= r.arrived_at)
        r.arrival.duplicate_of = it->second.first;
    }
    events.push_back(r.arrival);
    requests_.emplace(r.arrival.id, r);
  }
  void check_run(SimulatedRequest& r) {
    ++runs;
    if (drain_started_ && r.arrived_at > *drain_started_ + *s_.drain_grace)
      violations.insert("drain: ran what came after the grace");
    if (r.has_run && r.state == State::queued && runs_at_most_once(r))
      violations.insert("duplicate: ran anew after a drop");
    const auto key = key_of_.find(r.arrival.id);
    if (key == key_of_.end() || r.has_run) return;
    const auto last = last_run_.find(key->second);
    if (last != last_run_.end() && r.arrived_at <= last->second + *class_of(r).idempotency_window)
      violations.insert("duplicate: two tries of one key ran");
    last_run_[key->second] = r.arrived_at;
  }
  void apply(const std::vector<Action>& actions) {
    std::vector<Event> events;
    for (const auto& a : actions) std::visit([&](const auto& x) { on(x, events); }, a);
    if (!events.empty()) apply(controller_.handle(now_, events));
  }
  SimulatedRequest* find(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) violations.insert("named an unknown request");
    return it == requests_.end() ? nullptr : &it->second;
  }
  void on(const Run& a, std::vector<Event>& events) {
    auto* r = find(a.id);
    if (!r || r->state == State::running) return;
    if (r->state == State::ended) return events.push_back(RunEnded{a.id, RunResult::moot, {}});
    if (r->state != State::queued && r->state != State::paused) return;
    check_run(*r);
    r->has_run = true;
    r->state = State::running;
  }
  void finish_answer(SimulatedRequest& r) {
    if (r.answered) violations.insert("lost: answered twice");
    answer(r);
    if (r.state == State::queued || r.state == State::paused || r.state == State::awaiting_result)
      r.state = State::ended;
  }
  void on(const Reject& a, std::vector<Event>&) {
    auto* r = find(a.id);
    if (!r || r->state == State::ended) return;
    if (r->has_run && runs_at_most_once(*r)) violations.insert("duplicate: rejected what had run");
    ++rejected;
    finish_answer(*r);
  }
  void on(const Fail& a, std::vector<Event>&) {
    auto* r = find(a.id);
    if (!r || r->state == State::ended) return;
    ++failed;
    finish_answer(*r);
  }
  void on(const Suspend& a, std::vector<Event>& events) {
    auto* r = find(a.id);
    if (*s_.suspend == SuspendKind::none) violations.insert("suspended where it can't be");
    if (!r || r->state != State::running) return;
    if (scenario_.runs_hang && step_ > 300 && step_ < 900)
      return;  // the cores stand still: nothing is stopped
    r->state = r->answered || r->abandoned         ? State::ended
               : *s_.suspend == SuspendKind::pause ? State::paused
                                                   : State::queued;
    events.push_back(RunEnded{a.id, RunResult::cancelled, {}});
  }
  void on(const Call& a, std::vector<Event>&) {
    auto* r = find(a.id);
    if (!r || r->state != State::awaiting_call) return;
    if (r->call_may_have_run && runs_at_most_once(*r))
      violations.insert("duplicate: repeated a call that may have run");
    ++calls;
    r->state = State::calling;
    r->call_ends =
        now_ + std::min<Duration>(a.timeout, milliseconds(int(10 + random_fraction() * scenario_.call_ms)));
    if (scenario_.calls_end_together)
      r->call_ends = TimePoint{} + ((now_ - TimePoint{}) / seconds(3) + 1) * seconds(3);
  }
  void on(const SkipCall& a, std::vector<Event>&) {
    auto* r = find(a.id);
    if (!r || r->state != State::awaiting_call) return;
    if (class_of(*r).degraded_weight_fraction.value_or(0) <= 0)
      violations.insert("skipped a call that can't be");
    ++skipped;
    r->state = State::running;
  }
  void on(const CacheResult& a, std::vector<Event>&) {
    const auto key = key_of_.find(a.id);
    if (key != key_of_.end()) cached_results_[key->second] = {a.id, now_ + a.ttl};
  }
  void on(const EvictResult& a, std::vector<Event>&) {
    const auto key = key_of_.find(a.id);
    if (key != key_of_.end() && cached_results_.count(key->second) &&
        cached_results_[key->second].first == a.id)
      cached_results_.erase(key->second);
  }
  void on(const ReuseResult& a, std::vector<Event>&) {
    auto* r = find(a.id);
    if (!r || r->state != State::queued) return;
    if (!r->arrival.duplicate_of) violations.insert("reused what repeats nothing");
    ++reused;
    r->original = r->arrival.duplicate_of.value_or(RequestId{});
    r->state = State::awaiting_result;
  }
  void on(const SetTimer& a, std::vector<Event>&) {
    timers_.emplace(now_ + std::max<Duration>(a.delay, Duration(1)), a.token);
  }
  void on(const SetHealth&, std::vector<Event>&) {}
  void on(const AdvertiseCredit& a, std::vector<Event>&) {
    if (!(a.credit >= 0)) violations.insert("advertised no number");
  }
  void on(const CloseIdleConnections&, std::vector<Event>&) {}
  void on(const Log&, std::vector<Event>&) {}

  void check_rules() {
    double memory = 0;
    std::erase_if(cached_results_,
                  [&](auto& e) { return e.second.second + seconds(1) < now_; });  // late reads still find it
    const auto kept = std::count_if(cached_results_.begin(), cached_results_.end(),
                                    [&](auto& e) { return e.second.second >= now_; });
    std::erase_if(abandoned_calls_, [&](auto t) { return t <= now_; });
    int on_calls = int(abandoned_calls_.size());
    memory += double(kept) * *s_.table_entry_kb;
    for (auto& [id, r] : requests_) {
      if (r.state == State::ended) continue;
      if (!r.answered && !r.abandoned && now_ > r.due + *s_.answer_slack)
        violations.insert("lost: answer overdue");
      on_calls += r.state == State::calling;
      memory += double(std::int64_t(r.arrival.memory)) / 1000 *
                (r.state == State::queued || r.state == State::awaiting_result ? 1 : *s_.run_memory_factor);
    }
    if (memory > *s_.memory_kb) violations.insert("fall-over: memory");
    check_mean(running_samples_, running(), *s_.overload_window,
               *s_.cores * (1 + (*s_.overload_factor - 1) * warmth()), "fall-over: crowd");
    check_mean(open_call_samples_, on_calls, *s_.call_window, *s_.call_quota, "fall-over: calls");
    if (stop_ && now_ >= *stop_) {
      stopped_ = true;
      for (auto& [id, r] : requests_)
        if (!r.answered && !r.abandoned && r.state != State::ended)
          violations.insert("drain: unanswered at the kill");
    }
  }
  double warmth() const {
    if (!*s_.cold) return 1;
    const double part = double(now_.time_since_epoch().count()) / double(s_.warm_up->count());
    return *s_.cold_speed + (1 - *s_.cold_speed) * std::min(1.0, part);
  }
  void check_mean(std::deque<double>& samples, double value, Duration window, double bound,
                  const char* name) {
    const auto n = std::size_t(window / kTick);
    samples.push_back(value);
    if (samples.size() > n) samples.pop_front();
    double sum = 0;
    for (const double v : samples) sum += v;
    if (sum / double(n) > bound + 1e-9) violations.insert(name);
  }

  Settings s_;
  Scenario scenario_;
  std::mt19937_64 random_;
  TimePoint now_{};
  AdmissionController controller_;
  std::map<RequestId, SimulatedRequest> requests_;
  std::map<RequestId, std::uint64_t> key_of_;
  std::map<std::uint64_t, std::pair<RequestId, TimePoint>> cached_results_;
  std::map<std::uint64_t, TimePoint> last_run_;
  std::multimap<TimePoint, TimerToken> timers_;
  std::vector<TimePoint> abandoned_calls_;
  std::deque<double> running_samples_, open_call_samples_;
  std::optional<TimePoint> drain_started_, stop_;
  bool stopped_ = false;
  int step_ = 0;
  std::uint32_t next_id_ = 1;
};

// Settings under which every rule can be violated by a wrong decision.
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
  for (auto& tenant : s.tenants) {
    tenant.quota_per_s = 200;
    tenant.share = 0.5;
  }
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
