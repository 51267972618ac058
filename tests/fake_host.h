// A simulated host for the tests of the admission controller: cores shared by all running requests, queued
// requests, a table of cached results, calls with every possible result, and callers that give up. It checks
// the rules after every step and collects the violations. It is single-threaded and uses simulated time and
// fixed seeds.
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

// The load and the faults of one simulation; times are in steps of 5 ms.
struct Scenario {
  std::uint64_t seed = 1;
  double arrivals_per_s = 30;
  int steps = 2000;
  int drain_at = -1;  // step at which a drain starts; negative: none
  int call_ms = 300;
  int callers = 4;
  double open_connections = -1;     // above 0: reported as a constant gauge, and requests wait long unread
  bool calls_end_together = false;  // calls hang and then all succeed at the same time
  bool runs_hang = false;           // no run ends between steps 300 and 900
};

// Runs one AdmissionController under a Scenario.
class FakeHost {
 public:
  FakeHost(const Settings& settings, Scenario scenario)
      : settings_(settings),
        scenario_(scenario),
        random_(scenario.seed),
        controller_(settings, scenario.seed, now_) {
    apply(controller_.start());
  }
  // Runs the scenario to its end. Nothing arrives in the last 1600 steps, so that every request can be
  // answered.
  void run() {
    for (step_ = 0; step_ < scenario_.steps && !stopped_; ++step_) step(step_ < scenario_.steps - 1600);
    for (auto& [id, request] : requests_)
      if (!request.answered && !request.abandoned) violations.insert("request lost: never answered");
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
    double work = 0;      // remaining core seconds
    double call_at = -1;  // remaining core seconds at which the call is made; negative: no call
    RequestId original{};
  };
  static constexpr Duration kTick = milliseconds(5);

  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  const ClassSettings& class_settings(const SimulatedRequest& request) {
    return settings_.classes[std::size_t(request.arrival.class_id)];
  }
  bool runs_at_most_once(const SimulatedRequest& request) {
    return *class_settings(request).idempotency != Idempotency::idempotent;
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
      fired.core_utilization =
          running() >= int(*settings_.cores) ? 1.0 : double(running()) / *settings_.cores;
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
  void end_run(SimulatedRequest& request, RunResult result, std::vector<Event>& events) {
    if (result == RunResult::ok || result == RunResult::error) answer(request);
    if (result == RunResult::ok) ++served;
    request.state = State::ended;
    events.push_back(RunEnded{request.arrival.id, result, milliseconds(1)});
  }
  void answer(SimulatedRequest& request) {
    if (now_ > request.due + *settings_.answer_slack && !request.abandoned && !request.answered)
      violations.insert("request lost: answered late");
    request.answered = true;
  }
  void run_cores(std::vector<Event>& events) {
    if (scenario_.runs_hang && step_ > 300 && step_ < 900) return;
    const int running_count = running();
    const double share = running_count ? 0.005 * std::min(1.0, *settings_.cores / running_count) : 0;
    for (auto& [id, request] : requests_) {
      if (request.state == State::awaiting_result) {
        const auto it = requests_.find(request.original);
        const bool original_ended = it == requests_.end() || it->second.state == State::ended;
        if (original_ended)
          end_run(request, it != requests_.end() && it->second.has_run ? RunResult::ok : RunResult::error,
                  events);
      }
      if (request.state != State::running) continue;
      request.work -= share;
      if (request.call_at >= 0 && request.work <= request.call_at) {
        request.call_at = -1;
        if (request.answered || request.abandoned) {
          end_run(request, RunResult::cancelled, events);
          continue;
        }
        request.state = State::awaiting_call;
        request.call_may_have_run = false;
        events.push_back(CallNeeded{id});
      } else if (request.work <= 0) {
        if (request.answered || request.abandoned) {
          request.state = State::ended;
          events.push_back(RunEnded{id, RunResult::ok, milliseconds(1)});
        } else
          end_run(request, random_fraction() < 0.02 ? RunResult::error : RunResult::ok, events);
      }
    }
  }
  void end_calls(std::vector<Event>& events) {
    for (auto& [id, request] : requests_) {
      if ((request.state == State::awaiting_call || request.state == State::calling ||
           request.state == State::paused) &&
          (request.answered || request.abandoned)) {
        if (request.state == State::calling)
          abandoned_calls_.push_back(now_ + *settings_.abandoned_call_linger);
        end_run(request, RunResult::cancelled, events);
        continue;
      }
      if (request.state != State::calling || request.call_ends > now_) continue;
      const double outcome = scenario_.calls_end_together ? 0 : random_fraction();
      const auto result = outcome < 0.7    ? CallResult::ok
                          : outcome < 0.8  ? CallResult::rejected
                          : outcome < 0.85 ? CallResult::unreachable
                          : outcome < 0.9  ? CallResult::error
                          : outcome < 0.95 ? CallResult::timed_out
                                           : CallResult::connection_lost;
      if (result == CallResult::timed_out)
        abandoned_calls_.push_back(now_ + *settings_.abandoned_call_linger);
      request.state = result == CallResult::ok ? State::running : State::awaiting_call;
      if (result != CallResult::ok && result != CallResult::rejected && result != CallResult::unreachable)
        request.call_may_have_run = true;
      events.push_back(CallEnded{id, result, milliseconds(100)});
    }
  }
  void abandon_one(std::vector<Event>& events) {
    if (!*settings_.reports_cancellation || random_fraction() > 0.01) return;
    for (auto& [id, request] : requests_) {
      if (request.answered || request.abandoned || request.state == State::ended || random_fraction() > 0.1)
        continue;
      request.abandoned = true;
      if (request.state == State::queued || request.state == State::paused ||
          request.state == State::awaiting_result)
        request.state = State::ended;
      events.push_back(RequestAbandoned{id});
      return;
    }
  }
  void arrive(std::vector<Event>& events) {
    SimulatedRequest request;
    request.arrival.id = RequestId(next_id_++);
    request.arrival.class_id = ClassId(std::uint32_t(random_fraction() * double(settings_.classes.size())));
    request.arrival.tenant = TenantId(std::uint32_t(random_fraction() * 2));
    request.arrival.caller = CallerId(std::uint32_t(random_fraction() * scenario_.callers));
    request.arrival.memory = MemorySize(std::int64_t(10000 + random_fraction() * 60000));
    request.arrival.unread_wait =
        milliseconds(int(random_fraction() * (scenario_.open_connections > 0 ? 1500 : 200)));
    request.arrived_at = now_ - request.arrival.unread_wait;
    if (*settings_.passes_deadline)
      request.arrival.caller_timeout = milliseconds(int(50 + random_fraction() * 2000));
    request.due = std::max(
        now_, request.arrival.caller_timeout
                  ? now_ + *request.arrival.caller_timeout
                  : request.arrived_at + *settings_.classes[std::size_t(request.arrival.class_id)].deadline);
    request.work = 0.02 + random_fraction() * random_fraction() * 0.8;
    if (random_fraction() < 0.7)
      request.arrival.cost_hint =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(request.work));
    if (random_fraction() < 0.6) request.call_at = request.work * random_fraction();
    if (*settings_.classes[std::size_t(request.arrival.class_id)].idempotency == Idempotency::with_key) {
      const auto key = std::uint64_t(random_fraction() * 12);
      key_by_request_[request.arrival.id] = key;
      const auto it = cached_results_.find(key);
      if (it != cached_results_.end() && it->second.second >= request.arrived_at)
        request.arrival.duplicate_of = it->second.first;
    }
    events.push_back(request.arrival);
    requests_.emplace(request.arrival.id, request);
  }
  void check_run(SimulatedRequest& request) {
    ++runs;
    if (drain_started_ && request.arrived_at > *drain_started_ + *settings_.drain_grace)
      violations.insert("drain: ran a request that arrived after the grace");
    if (request.has_run && request.state == State::queued && runs_at_most_once(request))
      violations.insert("duplicate: ran again after a drop");
    const auto key = key_by_request_.find(request.arrival.id);
    if (key == key_by_request_.end() || request.has_run) return;
    const auto last = last_run_.find(key->second);
    if (last != last_run_.end() &&
        request.arrived_at <= last->second + *class_settings(request).idempotency_window)
      violations.insert("duplicate: two attempts with one key ran");
    last_run_[key->second] = request.arrived_at;
  }
  void apply(const std::vector<Action>& actions) {
    std::vector<Event> events;
    for (const auto& action : actions) std::visit([&](const auto& typed) { on(typed, events); }, action);
    if (!events.empty()) apply(controller_.handle(now_, events));
  }
  SimulatedRequest* find(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) violations.insert("action for an unknown request id");
    return it == requests_.end() ? nullptr : &it->second;
  }
  void on(const Run& action, std::vector<Event>& events) {
    auto* request = find(action.id);
    if (!request || request->state == State::running) return;
    if (request->state == State::ended) return events.push_back(RunEnded{action.id, RunResult::moot, {}});
    if (request->state != State::queued && request->state != State::paused) return;
    check_run(*request);
    request->has_run = true;
    request->state = State::running;
  }
  void finish_answer(SimulatedRequest& request) {
    if (request.answered) violations.insert("request answered twice");
    answer(request);
    if (request.state == State::queued || request.state == State::paused ||
        request.state == State::awaiting_result)
      request.state = State::ended;
  }
  void on(const Reject& action, std::vector<Event>&) {
    auto* request = find(action.id);
    if (!request || request->state == State::ended) return;
    if (request->has_run && runs_at_most_once(*request))
      violations.insert("duplicate: rejected a request that had run");
    ++rejected;
    finish_answer(*request);
  }
  void on(const Fail& action, std::vector<Event>&) {
    auto* request = find(action.id);
    if (!request || request->state == State::ended) return;
    ++failed;
    finish_answer(*request);
  }
  void on(const Suspend& action, std::vector<Event>& events) {
    auto* request = find(action.id);
    if (*settings_.suspend == SuspendKind::none) violations.insert("suspend where the host cannot suspend");
    if (!request || request->state != State::running) return;
    if (scenario_.runs_hang && step_ > 300 && step_ < 900)
      return;  // the cores make no progress, so no run stops
    request->state = request->answered || request->abandoned    ? State::ended
                     : *settings_.suspend == SuspendKind::pause ? State::paused
                                                                : State::queued;
    events.push_back(RunEnded{action.id, RunResult::cancelled, {}});
  }
  void on(const Call& action, std::vector<Event>&) {
    auto* request = find(action.id);
    if (!request || request->state != State::awaiting_call) return;
    if (request->call_may_have_run && runs_at_most_once(*request))
      violations.insert("duplicate: repeated a call that may have run");
    ++calls;
    request->state = State::calling;
    request->call_ends =
        now_ +
        std::min<Duration>(action.timeout, milliseconds(int(10 + random_fraction() * scenario_.call_ms)));
    if (scenario_.calls_end_together)
      request->call_ends = TimePoint{} + ((now_ - TimePoint{}) / seconds(3) + 1) * seconds(3);
  }
  void on(const SkipCall& action, std::vector<Event>&) {
    auto* request = find(action.id);
    if (!request || request->state != State::awaiting_call) return;
    if (class_settings(*request).degraded_weight_fraction.value_or(0) <= 0)
      violations.insert("skipped the call of a class without degraded answers");
    ++skipped;
    request->state = State::running;
  }
  void on(const CacheResult& action, std::vector<Event>&) {
    const auto key = key_by_request_.find(action.id);
    if (key != key_by_request_.end()) cached_results_[key->second] = {action.id, now_ + action.ttl};
  }
  void on(const EvictResult& action, std::vector<Event>&) {
    const auto key = key_by_request_.find(action.id);
    if (key != key_by_request_.end() && cached_results_.count(key->second) &&
        cached_results_[key->second].first == action.id)
      cached_results_.erase(key->second);
  }
  void on(const ReuseResult& action, std::vector<Event>&) {
    auto* request = find(action.id);
    if (!request || request->state != State::queued) return;
    if (!request->arrival.duplicate_of)
      violations.insert("reused a result for a request that is no duplicate");
    ++reused;
    request->original = request->arrival.duplicate_of.value_or(RequestId{});
    request->state = State::awaiting_result;
  }
  void on(const SetTimer& action, std::vector<Event>&) {
    timers_.emplace(now_ + std::max<Duration>(action.delay, Duration(1)), action.token);
  }
  void on(const SetHealth&, std::vector<Event>&) {}
  void on(const AdvertiseCredit& action, std::vector<Event>&) {
    if (!(action.credit >= 0)) violations.insert("advertised a credit that is negative or not a number");
  }
  void on(const CloseIdleConnections&, std::vector<Event>&) {}
  void on(const Log&, std::vector<Event>&) {}

  void check_rules() {
    double memory = 0;
    std::erase_if(cached_results_, [&](auto& e) {
      return e.second.second + seconds(1) < now_;
    });  // kept 1 s longer for requests read late
    const auto cached_count = std::count_if(cached_results_.begin(), cached_results_.end(),
                                            [&](auto& e) { return e.second.second >= now_; });
    std::erase_if(abandoned_calls_, [&](auto t) { return t <= now_; });
    int open_calls = int(abandoned_calls_.size());
    memory += double(cached_count) * *settings_.table_entry_kb;
    for (auto& [id, request] : requests_) {
      if (request.state == State::ended) continue;
      if (!request.answered && !request.abandoned && now_ > request.due + *settings_.answer_slack)
        violations.insert("request lost: answer overdue");
      open_calls += request.state == State::calling;
      memory += double(std::int64_t(request.arrival.memory)) / 1000 *
                (request.state == State::queued || request.state == State::awaiting_result
                     ? 1
                     : *settings_.run_memory_factor);
    }
    if (memory > *settings_.memory_kb) violations.insert("overload: memory limit exceeded");
    check_mean(running_samples_, running(), *settings_.overload_window,
               *settings_.cores * (1 + (*settings_.overload_factor - 1) * warm_speed()),
               "overload: mean concurrency above the survivable concurrency");
    check_mean(open_call_samples_, open_calls, *settings_.call_window, *settings_.call_quota,
               "overload: mean open calls above the call quota");
    if (stop_ && now_ >= *stop_) {
      stopped_ = true;
      for (auto& [id, request] : requests_)
        if (!request.answered && !request.abandoned && request.state != State::ended)
          violations.insert("drain: request unanswered when the process stops");
    }
  }
  double warm_speed() const {
    if (!*settings_.cold) return 1;
    const double part = double(now_.time_since_epoch().count()) / double(settings_.warm_up->count());
    return *settings_.cold_speed + (1 - *settings_.cold_speed) * std::min(1.0, part);
  }
  void check_mean(std::deque<double>& samples, double value, Duration window, double bound,
                  const char* name) {
    const auto sample_count = std::size_t(window / kTick);
    samples.push_back(value);
    if (samples.size() > sample_count) samples.pop_front();
    double sum = 0;
    for (const double v : samples) sum += v;
    if (sum / double(sample_count) > bound + 1e-9) violations.insert(name);
  }

  Settings settings_;
  Scenario scenario_;
  std::mt19937_64 random_;
  TimePoint now_{};
  AdmissionController controller_;
  std::map<RequestId, SimulatedRequest> requests_;
  std::map<RequestId, std::uint64_t> key_by_request_;
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
  Settings settings;
  settings.classes.resize(3);
  for (auto& class_settings : settings.classes) {
    class_settings.latency_objective = milliseconds(1500);
    class_settings.deadline = milliseconds(4000);
    class_settings.idempotency_window = milliseconds(6000);
    class_settings.priority_weight = 1;
    class_settings.late_weight_fraction = 0;
    class_settings.degraded_weight_fraction = 0;
    class_settings.makes_calls = true;
  }
  settings.classes[0].idempotency = Idempotency::idempotent;
  settings.classes[0].degraded_weight_fraction = 0.5;
  settings.classes[1].idempotency = Idempotency::with_key;
  settings.classes[1].priority_weight = 3;
  settings.classes[2].idempotency = Idempotency::none;
  settings.tenants.resize(2);
  for (auto& tenant : settings.tenants) {
    tenant.quota_per_s = 200;
    tenant.share = 0.5;
  }
  settings.cores = 2;
  settings.servers = 10;
  settings.callers = 4;
  settings.tier = 0;
  settings.run_memory_factor = 8;
  settings.overload_factor = 3;
  settings.cold_speed = 0.2;
  settings.call_quota = 1.2;
  settings.memory_kb = 4000;
  settings.table_entry_kb = 60;
  settings.over_quota_weight_fraction = 0.05;
  settings.answer_slack = milliseconds(80);
  settings.drain_grace = milliseconds(1000);
  settings.overload_window = milliseconds(1500);
  settings.warm_up = seconds(8);
  settings.call_window = milliseconds(5000);
  settings.abandoned_call_linger = milliseconds(200);
  settings.response_max_age = Duration{};
  settings.advertised_value_ttl = seconds(1);
  settings.tick_interval = milliseconds(5);
  settings.max_retry_after = seconds(1);
  settings.cold = false;
  settings.passes_deadline = true;
  settings.reports_cancellation = true;
  settings.deep_health_checks = false;
  settings.weight_by_work = true;
  settings.suspend = SuspendKind::drop;
  settings.downstream = Downstream::shared;
  settings.advertised_value = AdvertisedValue::credits;
  return settings;
}

}  // namespace granitegap::testing
