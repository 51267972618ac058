// A world of stand-in dependencies for the gatherer's tests, in simulated time: it plays what the gatherer
// asks for, and checks its bounds as it goes. No socket, no clock.
#pragma once
#include <functional>
#include <map>
#include <queue>
#include <set>

#include "deps/scatter_gather.h"

namespace granitegap::deps {

using std::chrono::milliseconds;
using std::chrono::seconds;

class DependencySimulation {
 public:
  struct Reply {
    CallOutcome outcome = CallOutcome::ok;
    Duration after = milliseconds(10);
    std::optional<Duration> retry_after = std::nullopt;
    bool never = false;
  };
  using Behaviour = std::function<Reply(std::uint32_t dependency, std::uint32_t endpoint, TimePoint now)>;

  DependencySimulation(Spec spec, std::uint64_t seed, bool guarded = true)
      : spec_(std::make_shared<Spec>(std::move(spec))), random_(seed), gatherer(spec_, seed, guarded) {}

  Behaviour behaviour = [](auto, auto, auto) { return Reply{}; };
  TimePoint now = TimePoint(seconds(1000));

  RequestId ask(std::uint64_t obj, Duration budget = milliseconds(400), ClassId cls = ClassId{0},
                bool may_call = true) {
    const RequestId id{next_id_++};
    due_[id] = now + budget;
    gatherer.begin(id, cls, {obj, "body", "route-profile"}, budget, may_call, now);
    settle();
    return id;
  }
  void drop(RequestId id) {
    gatherer.cancel(id, now);
    due_.erase(id);
    settle();
  }
  // Plays on until then, every event at its own moment.
  void run_until(TimePoint until) {
    for (;;) {
      auto next = gatherer.next_timer().value_or(TimePoint::max());
      if (!ends_.empty()) next = std::min(next, ends_.top().at);
      if (next > until) break;
      now = std::max(now, next);
      while (!ends_.empty() && ends_.top().at <= now) {
        const auto end = ends_.top();
        ends_.pop();
        // MemberMetadata even where it was abandoned: what crosses on the way must do no harm.
        open_.erase(end.report.id);
        gatherer.on_call_completed(end.report, now);
        settle();
      }
      gatherer.tick(now);
      settle();
    }
    now = std::max(now, until);
  }
  void run_for(Duration d) { run_until(now + d); }
  double roll() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  struct Outcome {
    bool required_parts_present = false;
    Duration took{};
    std::vector<PartStatus> parts;
    std::vector<std::string> bodies;
  };
  std::map<RequestId, Outcome> outcomes;
  std::set<std::string> broken;
  std::map<std::uint32_t, std::vector<TimePoint>> starts;  // by dependency
  std::vector<std::pair<std::uint32_t, bool>> changes;     // dependencies that went out (true) or came back
  std::vector<std::string> paths;
  std::size_t open_calls() const { return open_.size(); }
  std::size_t unanswered() const { return due_.size(); }
  std::shared_ptr<Spec> spec() { return spec_; }

 private:
  struct End {
    TimePoint at;
    std::uint64_t order;
    CallCompletion report;
    bool operator>(const End& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  void settle() {
    const std::vector<Action> actions(gatherer.actions().begin(), gatherer.actions().end());
    std::vector<std::string> paths_now;
    for (const auto& a : actions)
      if (const auto* start = std::get_if<StartCall>(&a)) paths_now.push_back(*start->path);
    gatherer.clear_actions();
    std::size_t path_at = 0;
    for (const auto& a : actions) {
      if (const auto* start = std::get_if<StartCall>(&a)) {
        if (!open_.insert(start->id).second) broken.insert("a call's number used twice");
        starts[start->dependency].push_back(now);
        paths.push_back(paths_now[path_at++]);
        const auto reply = behaviour(start->dependency, start->endpoint, now);
        if (reply.never) continue;
        ends_.push({now + reply.after, order_++,
                    CallCompletion{start->id, reply.outcome, reply.after, reply.retry_after,
                                   std::make_shared<const std::string>("data of " + paths.back())}});
      } else if (const auto* abandon = std::get_if<CancelCall>(&a)) {
        if (!open_.erase(abandon->id)) broken.insert("abandoned a call that is not open");
      } else if (const auto* end = std::get_if<GatherEnded>(&a)) {
        const auto due = due_.find(end->id);
        if (due == due_.end()) {
          broken.insert("a second end of a gather");
          continue;
        }
        if (now > due->second) broken.insert("a gather ended after its budget");
        auto& o = outcomes[end->id];
        o.required_parts_present = end->required_parts_present;
        for (const auto& p : gatherer.parts(end->id)) {
          o.parts.push_back(p.status);
          o.bodies.push_back(p.body ? *p.body : "");
        }
        due_.erase(due);
        gatherer.release(end->id);
      } else if (const auto* change = std::get_if<CircuitBreakerChanged>(&a)) {
        changes.emplace_back(change->dependency, change->is_open);
      }
    }
    for (std::uint32_t d = 0; d < spec_->dependencies.size(); ++d)
      if (gatherer.in_flight(d) > spec_->dependencies[d].max_in_flight)
        broken.insert("open calls over the limit");
  }

  std::shared_ptr<Spec> spec_;
  std::mt19937_64 random_;
  std::uint32_t next_id_ = 1;
  std::uint64_t order_ = 0;
  std::map<RequestId, TimePoint> due_;
  std::set<CallId> open_;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends_;

 public:
  ScatterGather gatherer;
};

// Two dependencies of two endpoints; a class whose parts are both optional.
inline Spec two_dependencies() {
  Spec spec;
  DependencySpec d;
  d.name = "elevation.example.org";
  d.endpoints = {{"127.0.0.1", 9001}, {"127.0.0.1", 9002}};
  spec.dependencies.push_back(d);
  d.name = "names.example.org";
  d.endpoints = {{"127.0.0.1", 9003}, {"127.0.0.1", 9004}};
  spec.dependencies.push_back(d);
  GatherSpec g;
  PartSpec elevation;
  elevation.name = "elevation";
  elevation.path = "/e/{obj}";
  PartSpec names;
  names.name = "names";
  names.dependency = 1;
  names.path = "/n/{obj}";
  g.parts = {elevation, names};
  spec.gathers.push_back(g);
  return spec;
}

}  // namespace granitegap::deps
