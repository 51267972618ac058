#include "fleet/recovery_simulation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <unordered_map>

namespace granitegap::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(5), kViewEvery = milliseconds(500), kTickEvery = milliseconds(100);
constexpr Duration kAim = milliseconds(1900), kDeadline = milliseconds(4900), kSlack = milliseconds(100);
constexpr double kMeanGain = 0.1;  // of one step in the mean use of a core

double sec(Duration d) { return std::chrono::duration<double>(d).count(); }

Settings settings_of(const RecoverySimulationOptions& o, bool cold) {
  Settings s;
  ClassSettings c;
  c.latency_objective = kAim;
  c.deadline = kDeadline;
  c.priority_weight = 1;
  c.late_weight_fraction = 0.2;
  c.idempotency = Idempotency::idempotent;
  s.classes = {c};
  s.cores = 1;
  s.servers = double(o.servers);
  s.callers = 16;
  s.run_memory_factor = 8;
  s.overload_factor = 8;
  s.cold_speed = o.cold_from;
  s.call_quota = 0;
  s.memory_kb = 49134;
  s.table_entry_kb = 200;
  s.answer_slack = kSlack;
  s.drain_grace = seconds(2);
  s.warm_up = o.warm_up;
  s.advertised_value_ttl = seconds(1);
  s.tick_interval = milliseconds(2);
  s.max_retry_after = seconds(1);
  s.cold = cold;
  s.forwards_retry_after = s.weight_by_work = true;
  s.suspend = SuspendKind::none;
  s.downstream = Downstream::none;
  s.advertised_value = AdvertisedValue::credits;
  return s;
}

struct Want {  // one first try and what became of it
  TimePoint at, due;
  std::uint32_t tries = 0;
  bool over = false;
};

class Play {
 public:
  explicit Play(const RecoverySimulationOptions& o) : o_(o), random_(o.seed), servers_(o.servers) {
    for (auto& s : servers_) start(s, false);
  }

  RecoverySimulationResult run() {
    const auto hit = kBegin + o_.warm_period, end = hit + o_.observed_period;
    f_.served.resize(std::size_t(sec(o_.warm_period + o_.observed_period)) + 1);
    f_.advertised_share.resize(f_.served.size());
    bool struck = false;
    TimePoint next_arrival = kBegin;
    const double rate = o_.load * double(o_.servers) / sec(o_.run_cost);
    for (now_ = kBegin; now_ < end; now_ += kStep) {
      if (!struck && now_ >= hit) {
        struck = true;
        strike();
      }
      while (next_arrival <= now_) {
        wants_.push_back({next_arrival, next_arrival + kDeadline, 0, false});
        attempt(std::uint32_t(wants_.size() - 1));
        next_arrival += Duration(std::int64_t(-std::log(1 - roll()) / rate * 1e6) + 1);
      }
      while (!later_.empty() && later_.top().at <= now_) {
        const auto l = later_.top();
        later_.pop();
        auto& w = wants_[l.want];
        if (!w.over && (!l.patience || w.tries == l.number)) attempt(l.want);
      }
      if ((now_ - kBegin) % kViewEvery < kStep) look();
      for (auto& s : servers_) step(s);
    }
    return figures();
  }

 private:
  static constexpr TimePoint kBegin{seconds(1000)};
  struct Try {
    std::uint32_t want = 0, number = 0;
    TimePoint reached;
    double left = 0;  // core seconds
    bool running = false, answered = false;
  };
  struct Timer {
    TimePoint at;
    TimerToken token;
    bool operator>(const Timer& other) const { return at > other.at; }
  };
  struct Server {
    std::optional<AdmissionController> module;
    std::optional<recovery::RecoveryController> recovery;
    std::map<RequestId, Try> open;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
    std::vector<Event> events;
    std::vector<RequestId> running;
    TimePoint warm_from{};
    bool cold = false;
    double use = 0;
    std::uint32_t next_id = 1;
    TimePoint ticked{};
    AdmissionLimits bound;
  };
  struct Later {
    TimePoint at;
    std::uint32_t want, number;
    bool patience;
    bool operator>(const Later& other) const { return at > other.at; }
  };

  double roll() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void start(Server& s, bool cold) {
    s = Server{};
    s.cold = cold;
    s.warm_from = now_;
    s.module.emplace(settings_of(o_, cold), random_(), now_);
    for (const auto& a : s.module->start()) carry_out(s, a);
    if (!o_.with_recovery) return;
    s.recovery.emplace(o_.recovery, now_);
    s.recovery->on_kernel_ready(cold, o_.warm_up, now_);
    if (!cold) s.recovery->on_state_transferred(0, now_);
  }

  void strike() {
    std::vector<std::size_t> order(servers_.size());
    for (std::size_t n = 0; n < order.size(); ++n) order[n] = n;
    std::shuffle(order.begin(), order.end(), random_);
    order.resize(std::size_t(std::lround(o_.restarted_share * double(order.size()))));
    for (const auto n : order) start(servers_[n], true);  // tries on it are lost: their patience runs out
  }

  // What each would see of the others.
  void look() {
    if (!o_.with_recovery) return;
    std::size_t able = 0;
    for (const auto& s : servers_) able += s.recovery->phase() == recovery::Phase::in_service;
    for (auto& s : servers_) {
      recovery::FleetStatus f;
      f.peers = servers_.size() - 1;
      f.peers_in_service = able - (s.recovery->phase() == recovery::Phase::in_service);
      f.recovering_share = f.peers ? double(f.peers - f.peers_in_service) / double(f.peers) : 0;
      f.certain = true;
      s.recovery->on_fleet_status(f, now_);
      if (f.peers_in_service == 0) s.recovery->on_state_transferred(0, now_);
    }
  }

  void attempt(std::uint32_t want) {
    auto& w = wants_[want];
    if (now_ >= w.due) {
      w.over = true;
      ++f_.unserved;
      return;
    }
    ++w.tries;
    ++f_.attempts;
    later_.push({std::min(now_ + o_.attempt_timeout, w.due), want, w.tries, true});
    auto& s = servers_[random_() % servers_.size()];
    const RequestId id{s.next_id++};
    s.open[id] = {want, w.tries, now_, sec(o_.run_cost), false, false};
    RequestArrived in;
    in.id = id;
    in.caller = CallerId(std::uint32_t(random_() % 16));
    in.cost_hint = o_.run_cost;
    in.memory = MemorySize(24500);
    s.events.emplace_back(in);
  }

  void refused(Try& t) {
    if (t.answered) return;
    t.answered = true;
    auto& w = wants_[t.want];
    if (!w.over && w.tries == t.number) later_.push({now_ + o_.round_trip, t.want, t.number, false});
  }

  void carry_out(Server& s, const Action& action) {
    if (const auto* run = std::get_if<Run>(&action)) {
      const auto it = s.open.find(run->id);
      if (it == s.open.end()) return s.events.emplace_back(RunEnded{run->id, RunResult::moot, {}}), void();
      it->second.running = true;
      s.running.push_back(run->id);
      ++f_.runs;
    } else if (const auto* refuse = std::get_if<Reject>(&action)) {
      if (s.recovery && refuse->retry_after.count() > 0) s.recovery->on_request_rejected(now_);
      give_up(s, refuse->id);
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      give_up(s, fail->id);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      s.timers.push({now_ + timer->delay, timer->token});
    }
  }

  void give_up(Server& s, RequestId id) {
    const auto it = s.open.find(id);
    if (it == s.open.end()) return;
    refused(it->second);
    if (!it->second.running) s.open.erase(it);
  }

  void work(Server& s) {
    const double part = s.cold ? std::min(1.0, sec(now_ - s.warm_from) / sec(o_.warm_up)) : 1;
    const double speed = o_.cold_from + (1 - o_.cold_from) * part;
    double time = sec(kStep);
    s.use += kMeanGain * ((s.running.empty() ? 0.0 : 1.0) - s.use);
    // Evenly shared, to the end of each in turn.
    while (!s.running.empty() && time > 0) {
      double least = 1e9;
      for (const auto id : s.running) least = std::min(least, s.open[id].left);
      const double n = double(s.running.size());
      const double spent = std::min(time, least * n / speed);
      time -= spent;
      for (const auto id : s.running) s.open[id].left -= spent * speed / n;
      for (std::size_t k = 0; k < s.running.size();) {
        if (s.open[s.running[k]].left > 1e-9) {
          ++k;
          continue;
        }
        ended(s, s.running[k]);
        s.running.erase(s.running.begin() + std::ptrdiff_t(k));
      }
    }
  }

  void ended(Server& s, RequestId id) {
    auto node = s.open.extract(id);
    const auto& t = node.mapped();
    s.events.emplace_back(RunEnded{id, RunResult::ok, now_ - t.reached});
    auto& w = wants_[t.want];
    const bool in_time = now_ - t.reached < o_.attempt_timeout && !w.over && !t.answered;
    if (s.recovery) s.recovery->on_run_finished(!t.answered && now_ - t.reached <= kAim, now_);
    if (!in_time) return;  // its caller has given this try up
    w.over = true;
    ++f_.answered;
    f_.served[std::size_t(sec(w.at - kBegin))] += 1;
  }

  void step(Server& s) {
    work(s);
    while (!s.timers.empty() && s.timers.top().at <= now_) {
      TimerFired fired;
      fired.token = s.timers.top().token;
      fired.core_utilization = s.use;
      fired.runnable_tasks = double(s.running.size());
      s.timers.pop();
      s.events.emplace_back(fired);
    }
    if (s.recovery && now_ - s.ticked >= kTickEvery) {
      s.ticked = now_;
      s.recovery->tick(now_);
      s.recovery->take_events();
      if (s.recovery->verified_share() > 0)
        f_.max_advertised_over_verified = std::max(
            f_.max_advertised_over_verified, s.recovery->advertised_share() / s.recovery->verified_share());
      f_.advertised_share[std::size_t(sec(now_ - kBegin))] +=
          s.recovery->advertised_share() * sec(kTickEvery) / double(servers_.size());
      const AdmissionLimits bound{s.recovery->max_wait_factor(), s.recovery->advertised_share()};
      if (bound.max_wait_ratio != s.bound.max_wait_ratio || bound.credit_fraction != s.bound.credit_fraction)
        s.events.emplace_back(s.bound = bound);
    }
    while (!s.events.empty()) {
      const auto events = std::exchange(s.events, {});
      for (const auto& a : s.module->handle(now_, events)) carry_out(s, a);
    }
  }

  RecoverySimulationResult figures() {
    const auto hit = std::size_t(sec(o_.warm_period)), last = f_.served.size() - 1;
    for (std::size_t k = 2; k + 1 < hit; ++k) f_.served_per_second_before += f_.served[k] / double(hit - 3);
    // Requests of the last seconds may still be on their way.
    const auto until = last - std::size_t(sec(kDeadline)) - 1;
    for (std::size_t k = hit; k < until; ++k)
      f_.lost_s += std::max(0.0, 1 - f_.served[k] / f_.served_per_second_before);
    for (std::size_t k = hit; k + 3 <= until && f_.full_service_s < 0; ++k)
      if (f_.served[k] + f_.served[k + 1] + f_.served[k + 2] >= 3 * 0.95 * f_.served_per_second_before)
        f_.full_service_s = double(k - hit);
    for (const auto& s : servers_)
      f_.not_in_service_at_end += s.recovery && s.recovery->phase() != recovery::Phase::in_service;
    return std::move(f_);
  }

  RecoverySimulationOptions o_;
  std::mt19937_64 random_;
  TimePoint now_ = kBegin;
  std::vector<Server> servers_;
  std::vector<Want> wants_;
  std::priority_queue<Later, std::vector<Later>, std::greater<>> later_;
  RecoverySimulationResult f_;
};

}  // namespace

RecoverySimulationResult simulate_recovery(const RecoverySimulationOptions& options) {
  return Play(options).run();
}

}  // namespace granitegap::fleet
