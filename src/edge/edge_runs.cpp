// Runs in the kernel: start, preemption and reports.
#include <utility>

#include "edge/edge.h"

namespace granitegap::edge {
namespace {

const char* name_of(CommandKind kind) {
  switch (kind) {
    case CommandKind::start:
      return "start";
    case CommandKind::resume:
      return "resume";
    case CommandKind::stop:
      return "stop";
    case CommandKind::other:
      break;
  }
  return "unknown";
}

}  // namespace

void Edge::enter_stage(OpenRequest& open, RequestStage stage) {
  open.stage = stage;
  open.stage_began_at = now_.steady;
}

// ---- Start and preemption ----

void Edge::apply(const Run& run) {
  auto* open = open_.find(run.id);
  if (!open) {
    events_.emplace_back(RunEnded{run.id, RunResult::moot, {}});
    return;
  }
  if (open->stage == RequestStage::paused) {
    enter_stage(*open, RequestStage::running);
    return send_command(ResumeRun{open->request.rid});
  }
  if (open->stage != RequestStage::queued) return;
  const bool must_not_run = open->read_after_grace || keys_.run_within_window(open->request);
  if (must_not_run || !needs_gather(*open)) return start_run(run.id, *open);
  // The request is sent to the kernel only after its parts were gathered: a missing required part then costs
  // no core time, and a request that is rejected meanwhile has never run.
  enter_stage(*open, RequestStage::gathering);
  events_.emplace_back(CallNeeded{run.id});
}

void Edge::start_run(RequestId id, OpenRequest& open) {
  if (close_if_run_forbidden(id, open)) return;
  enter_stage(open, RequestStage::running);
  open.ran = true;
  keys_.record_start(open.request, id);
  send_command(StartRun{open.request.rid, open.request.cls, open.request.body});
}

// The final check of two rules, independent of the controller's decision: no attempt of a request runs within
// the idempotency window of an attempt that ran, in this process or another one; and no request runs that was
// read after the drain's grace period.
bool Edge::close_if_run_forbidden(RequestId id, OpenRequest& open) {
  const auto end = [&](Outcome outcome, PayloadPtr payload = nullptr) {
    events_.emplace_back(RunEnded{id, RunResult::moot, {}});
    respond(open, outcome, std::move(payload));
    close_request(id, IdempotencyTable::RunState::failed, nullptr);
    return true;
  };
  if (const auto* run = keys_.run_within_window(open.request)) {
    const bool succeeded = run->state == IdempotencyTable::RunState::succeeded;
    return succeeded ? end(Outcome::served, run->payload) : end(Outcome::failed);
  }
  if (open.read_after_grace) return end(Outcome::rejected);
  // A request that another process may have run, or may be running, must not run here. The response has no
  // Retry-After, which callers would apply to the whole server although it is healthy.
  if (!acquire_key_lease(open.request)) return end(open.ran ? Outcome::failed : Outcome::rejected);
  return false;
}

bool Edge::acquire_key_lease(const Request& request) {
  if (!key_leases_.acquire || request.idempotency_key.empty()) return true;
  return key_leases_.acquire(request, keys_.retention(request.cls), now_.unix);
}

void Edge::apply(const Suspend& suspend) {
  const auto* open = open_.find(suspend.id);
  if (!open || open->stage != RequestStage::running) return;
  // A run whose payload duplicates wait for is not stopped when its own caller has disconnected.
  const bool is_wanted = !open->followers.empty();
  if (!open->answered || !is_wanted) send_command(StopRun{open->request.rid});
}

// ---- Reports of the kernel ----

std::optional<RequestId> Edge::find_running(const std::string& rid) {
  const auto id = open_.find_by_rid(rid);
  if (!id || open_.at(*id).stage != RequestStage::running) return std::nullopt;
  return id;
}

void Edge::on(RunReport report) {
  const auto id = find_running(report.rid);
  if (!id) return;
  auto& open = open_.at(*id);
  switch (report.outcome) {
    case RunOutcome::ok:
      return finish_run(*id, RunResult::ok, report.duration, make_payload(open, std::move(report.body)));
    case RunOutcome::error:
      return finish_run(*id, RunResult::error, report.duration, nullptr);
    case RunOutcome::never_ran:
      discard_run(*id, open);
      return finish_run(*id, RunResult::moot, report.duration, nullptr);
    case RunOutcome::stopped:
      return finish_preemption(*id, open, report.duration);
  }
}

void Edge::finish_preemption(RequestId id, OpenRequest& open, Duration duration) {
  events_.emplace_back(RunEnded{id, RunResult::cancelled, duration});
  open.preempted = true;
  if (open.answered) return close_request(id, IdempotencyTable::RunState::failed, nullptr);
  const bool kernel_can_pause = settings_.settings.suspend == SuspendKind::pause;
  open.stage = kernel_can_pause ? RequestStage::paused : RequestStage::queued;
}

void Edge::finish_run(RequestId id, RunResult result, Duration duration, const PayloadPtr& payload) {
  auto& open = open_.at(id);
  const bool succeeded = result == RunResult::ok;
  events_.emplace_back(RunEnded{id, result, duration});
  if (recovery_ && result != RunResult::moot) {
    const auto latency = now_.unix - open.request.arrived_at;
    const bool within_objective =
        succeeded && !open.answered && latency <= latency_objective(open.request.cls);
    recovery_->on_run_finished(within_objective, now_.steady);
  }
  respond(open, succeeded ? Outcome::served : Outcome::failed, payload);
  const auto state = succeeded ? IdempotencyTable::RunState::succeeded : IdempotencyTable::RunState::failed;
  close_request(id, state, payload);
}

// The kernel's protocol has no message that makes a call for a run, so the request fails at once. The kernel
// ends the run of a request that is over.
void Edge::on(const DependencyCallRequested& call) {
  const auto id = find_running(call.rid);
  if (!id) return;
  auto& open = open_.at(*id);
  if (!std::exchange(logged_call_request_, true))
    log_event("kernel requested a dependency call for request " + call.rid +
                  ", which is not supported: failing this and all such requests",
              "call_wanted", call.rid);
  events_.emplace_back(CallNeeded{*id});
  respond(open, Outcome::failed);
  abandon(*id, open);
}

// After a rejected start or resume no report of the run follows, so the run ends here with an error.
// Otherwise its request would stay open.
void Edge::on(const CommandRejected& rejected) {
  const bool run_goes_on = rejected.kind == CommandKind::stop;
  log_event(std::string("kernel rejected the ") + name_of(rejected.kind) + " command for request " +
                rejected.rid + (run_goes_on ? ": its run continues" : ": failing the request if it is open"),
            "kernel_rejected", rejected.rid);
  if (run_goes_on) return;
  const auto id = find_running(rejected.rid);
  if (!id) return;
  // The kernel never accepted the attempt, so its key must stay usable within the window.
  discard_run(*id, open_.at(*id));
  finish_run(*id, RunResult::error, {}, nullptr);
}

// Deletes the record of a run that never took place, so that the key may run again. A run that was preempted
// has taken place, whatever the result of its next start.
void Edge::discard_run(RequestId id, const OpenRequest& open) {
  if (open.preempted) return;
  keys_.discard_run(open.request, id);
  if (key_leases_.release && !open.request.idempotency_key.empty()) key_leases_.release(open.request);
}

Duration Edge::latency_objective(ClassId cls) const {
  const auto& classes = settings_.settings.classes;
  const auto index = std::size_t(cls);
  return index < classes.size() ? classes[index].latency_objective.value_or(Duration::max())
                                : Duration::max();
}

}  // namespace granitegap::edge
