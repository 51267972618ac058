// Calls to downstream dependencies: the parts of a request, and cache fills for other members.
#include <chrono>
#include <utility>

#include "common/overloaded.h"
#include "edge/edge.h"

namespace granitegap::edge {

void Edge::enable_dependencies(std::shared_ptr<const deps::Spec> spec, Compose compose, bool guarded) {
  scatter_gather_.emplace(std::move(spec), seed_, guarded);
  compose_ = std::move(compose);
}

void Edge::on(const DependencySpecUpdate& update) {
  if (!scatter_gather_ || !update.spec) return;
  scatter_gather_->update_spec(update.spec, now_.steady);
  dispatch_calls();
}

// ---- The gather of a request ----

bool Edge::needs_gather(const OpenRequest& open) const {
  return scatter_gather_ && open.parts.empty() && scatter_gather_->has_gather(open.request.cls);
}

// Only requests that gather parts before their run make calls: the kernel's protocol has no calls.
void Edge::apply(const Call& call) {
  auto* open = open_.find(call.id);
  if (!open || open->stage != RequestStage::gathering) return apply(Fail{call.id});
  begin_gather(call.id, *open, call.timeout, true);
}

void Edge::apply(const SkipCall& skip) {
  auto* open = open_.find(skip.id);
  if (!open || open->stage != RequestStage::gathering) return apply(Fail{skip.id});
  begin_gather(skip.id, *open, {}, false);
}

void Edge::begin_gather(RequestId id, OpenRequest& open, Duration budget, bool may_call) {
  if (open.calls_began) return;
  if (!scatter_gather_->has_gather(open.request.cls)) {  // the declaration was replaced in the meantime
    if (may_call) events_.emplace_back(CallEnded{id, CallResult::ok, {}});
    return start_run(id, open);
  }
  open.calls_began = true;
  open.stage_began_at = now_.steady;
  const auto& cls = names_.classes[std::size_t(open.request.cls)];
  scatter_gather_->begin(id, open.request.cls, {open.request.read_key, open.request.body, cls}, budget,
                         may_call, now_.steady);
  dispatch_calls();
}

void Edge::finish_gather(const deps::GatherEnded& ended) {
  if (const auto fill = cache_fills_.find(ended.id); fill != cache_fills_.end()) {
    const auto tag = fill->second;
    cache_fills_.erase(fill);
    return finish_cache_fill(ended, tag);
  }
  auto* open = open_.find(ended.id);
  const bool is_gathering = open && open->stage == RequestStage::gathering;
  if (is_gathering && open->calls_began)
    for (const auto& part : scatter_gather_->parts(ended.id))
      open->parts.push_back({std::string(part.name), part.status, part.age, part.body});
  scatter_gather_->release(ended.id);
  if (!is_gathering) return;
  open->gathered_at = now_.steady;
  const auto result = ended.required_parts_present ? CallResult::ok : CallResult::error;
  events_.emplace_back(CallEnded{ended.id, result, now_.steady - open->stage_began_at});
  if (ended.required_parts_present) return start_run(ended.id, *open);
  events_.emplace_back(RunEnded{ended.id, RunResult::error, {}});
  respond(*open, Outcome::failed);
  close_request(ended.id, IdempotencyTable::RunState::failed, nullptr);
}

// Adds the time since the gather to the ages of the parts. Declared defaults have no age.
PayloadPtr Edge::make_payload(OpenRequest& open, std::string result) {
  if (open.parts.empty() || !compose_)
    return std::make_shared<const Payload>(Payload{std::move(result), {}, {}});
  for (auto& part : open.parts)
    if (part.body && part.status != deps::PartStatus::fallback) part.age += now_.steady - open.gathered_at;
  return std::make_shared<const Payload>(compose_(std::move(result), open.parts));
}

// ---- Cache fills for other members ----

void Edge::on(const CacheFillQuery& query) {
  const RequestId id{next_id_++};
  cache_fills_.emplace(id, query.tag);
  if (scatter_gather_ && scatter_gather_->begin_cache_fill(id, query.request, now_.steady))
    return dispatch_calls();
  cache_fills_.erase(id);
  outputs_.emplace_back(CacheFillReply{query.tag, nullptr, {}});
}

void Edge::finish_cache_fill(const deps::GatherEnded& ended, std::uint64_t tag) {
  CacheFillReply reply{tag, nullptr, {}};
  const auto parts = scatter_gather_->parts(ended.id);
  if (ended.required_parts_present && parts.size() == 1) {
    reply.body = parts[0].body;
    reply.age = parts[0].age;
  }
  scatter_gather_->release(ended.id);
  outputs_.emplace_back(std::move(reply));
}

// ---- Calls ----

void Edge::on(const deps::CallCompletion& report) {
  if (!scatter_gather_) return;
  scatter_gather_->on_call_completed(report, now_.steady);
  dispatch_calls();
}

// Converts the pending actions into outputs. Must be called right after the actions were made, because the
// path of a StartCall is only borrowed. The ends of gathers are deferred to the next round of
// run_controller(): they may close requests that a caller of this function still references.
void Edge::dispatch_calls() {
  const Overloaded dispatch{
      [this](const deps::StartCall& start) { outputs_.emplace_back(make_call(start)); },
      [this](const deps::CancelCall& call) { outputs_.emplace_back(CancelDependencyCall{call.id}); },
      [this](const deps::GatherEnded& ended) { ended_gathers_.push_back(ended); },
      [this](const deps::CircuitBreakerChanged& changed) { log_dependency_change(changed); },
      [this](const deps::FleetShareChanged& changed) { log_fleet_share(changed); }};
  for (const auto& action : scatter_gather_->actions()) std::visit(dispatch, action);
  scatter_gather_->clear_actions();
}

DependencyCall Edge::make_call(const deps::StartCall& start) const {
  const auto& spec = scatter_gather_->dependency(start.dependency);
  DependencyCall call;
  call.id = start.id;
  call.path = *start.path;
  call.endpoint =
      start.owner ? start.owner->address : scatter_gather_->address(start.dependency, start.endpoint);
  call.dependency = spec.name;
  call.max_response_bytes = spec.max_response_bytes + (start.owner ? deps::kMaxFillHeaderBytes : 0);
  call.max_header_bytes = spec.max_header_bytes;
  call.io_timeout = spec.io_timeout;
  call.idle_connection_timeout = spec.idle_connection_timeout;
  call.max_idle_connections = spec.max_idle_connections;
  return call;
}

void Edge::log_dependency_change(const deps::CircuitBreakerChanged& changed) {
  const auto& name = scatter_gather_->dependency(changed.dependency).name;
  if (changed.is_open)
    return log_event("dependency " + name + " is unavailable: circuit breaker open, sending only probes",
                     "dependency_out", name);
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(changed.was_open_for).count();
  log_event("dependency " + name + " is available again after " + std::to_string(ms) +
                " ms: circuit breaker closed, calls resume",
            "dependency_back", name);
}

void Edge::log_fleet_share(const deps::FleetShareChanged& changed) {
  const auto& name = scatter_gather_->dependency(changed.dependency).name;
  log_event("dependency " + name + ": this member's share of fleet_open is now " +
                std::to_string(changed.share) + " of " + std::to_string(changed.limit) + ", divided by " +
                std::to_string(changed.divisor.members) + " (" + membership::text_of(changed.divisor.reason) +
                ")",
            "fleet_share", name);
}

}  // namespace granitegap::edge
