#include "standin/dependency_simulation.h"

#include <algorithm>

namespace granitegap::deps {

DependencySimulation::DependencySimulation(Spec spec, std::uint64_t seed, bool guarded)
    : spec_(std::make_shared<Spec>(std::move(spec))), random_(seed), scatter_gather(spec_, seed, guarded) {}

RequestId DependencySimulation::start_request(std::uint64_t obj, Duration budget, ClassId cls,
                                              bool may_call) {
  const RequestId id{next_id_};
  ++next_id_;
  deadlines_[id] = now + budget;
  scatter_gather.begin(id, cls, {obj, "body", "route-profile"}, budget, may_call, now);
  carry_out_actions();
  return id;
}

void DependencySimulation::cancel_request(RequestId id) {
  scatter_gather.cancel(id, now);
  deadlines_.erase(id);
  carry_out_actions();
}

void DependencySimulation::run_until(TimePoint until) {
  for (;;) {
    auto next = scatter_gather.next_timer().value_or(TimePoint::max());
    if (!completions_.empty()) next = std::min(next, completions_.top().at);
    if (next > until) break;
    now = std::max(now, next);
    complete_due_calls();
    scatter_gather.tick(now);
    carry_out_actions();
  }
  now = std::max(now, until);
}

// Cancelled calls complete too: a completion that was under way when the call was cancelled must do no harm.
void DependencySimulation::complete_due_calls() {
  while (!completions_.empty() && completions_.top().at <= now) {
    const auto due = completions_.top();
    completions_.pop();
    open_calls_.erase(due.completion.id);
    scatter_gather.on_call_completed(due.completion, now);
    carry_out_actions();
  }
}

void DependencySimulation::carry_out_actions() {
  const std::vector<Action> actions(scatter_gather.actions().begin(), scatter_gather.actions().end());
  // Carrying out an action may call a member, after which the paths in the actions are invalid.
  std::vector<std::string> call_paths;
  for (const auto& action : actions)
    if (const auto* start = std::get_if<StartCall>(&action)) call_paths.push_back(*start->path);
  scatter_gather.clear_actions();
  auto path = call_paths.begin();
  for (const auto& action : actions) {
    if (const auto* start = std::get_if<StartCall>(&action))
      carry_out(*start, *path++);
    else if (const auto* cancel = std::get_if<CancelCall>(&action))
      carry_out(*cancel);
    else if (const auto* ended = std::get_if<GatherEnded>(&action))
      carry_out(*ended);
    else if (const auto* change = std::get_if<CircuitBreakerChanged>(&action))
      carry_out(*change);
  }
  check_limits();
}

void DependencySimulation::carry_out(const StartCall& start, const std::string& path) {
  if (!open_calls_.insert(start.id).second) violations.insert("a call's number used twice");
  call_starts[start.dependency].push_back(now);
  paths.push_back(path);
  const auto reply = behaviour(start.dependency, start.endpoint, now);
  if (reply.never) return;
  auto body = std::make_shared<const std::string>("data of " + path);
  completions_.push(
      {now + reply.after, next_order_,
       CallCompletion{start.id, reply.outcome, reply.after, reply.retry_after, std::move(body)}});
  ++next_order_;
}

void DependencySimulation::carry_out(const CancelCall& cancel) {
  if (!open_calls_.erase(cancel.id)) violations.insert("cancelled a call that is not open");
}

void DependencySimulation::carry_out(const GatherEnded& ended) {
  const auto deadline = deadlines_.find(ended.id);
  if (deadline == deadlines_.end()) {
    violations.insert("a second end of a gather");
    return;
  }
  if (now > deadline->second) violations.insert("a gather ended after its budget");
  auto& outcome = outcomes[ended.id];
  outcome.required_parts_present = ended.required_parts_present;
  for (const auto& part : scatter_gather.parts(ended.id)) {
    outcome.parts.push_back(part.status);
    outcome.bodies.push_back(part.body ? *part.body : "");
  }
  deadlines_.erase(deadline);
  scatter_gather.release(ended.id);
}

void DependencySimulation::carry_out(const CircuitBreakerChanged& change) {
  circuit_changes.emplace_back(change.dependency, change.is_open);
}

void DependencySimulation::check_limits() {
  for (std::uint32_t d = 0; d < spec_->dependencies.size(); ++d)
    if (scatter_gather.in_flight(d) > spec_->dependencies[d].max_in_flight)
      violations.insert("open calls over the limit");
}

Spec two_dependencies() {
  Spec spec;
  DependencySpec dependency;
  dependency.name = "elevation.example.org";
  dependency.endpoints = {{"127.0.0.1", 9001}, {"127.0.0.1", 9002}};
  spec.dependencies.push_back(dependency);
  dependency.name = "names.example.org";
  dependency.endpoints = {{"127.0.0.1", 9003}, {"127.0.0.1", 9004}};
  spec.dependencies.push_back(dependency);
  PartSpec elevation;
  elevation.name = "elevation";
  elevation.path = "/e/{obj}";
  PartSpec names;
  names.name = "names";
  names.dependency = 1;
  names.path = "/n/{obj}";
  GatherSpec gather;
  gather.parts = {elevation, names};
  spec.gathers.push_back(gather);
  return spec;
}

}  // namespace granitegap::deps
