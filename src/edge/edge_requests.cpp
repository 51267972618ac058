// Requests from their arrival to their response, and callers that disconnect or cancel.
#include <algorithm>
#include <utility>

#include "edge/edge.h"

namespace granitegap::edge {
namespace {

// Subtracted from the drain's grace period, because this process receives the stop notice with a delay.
constexpr Duration kGraceMargin = std::chrono::milliseconds(100);
// Tolerance for arrival stamps, which are taken by the clock of this machine.
constexpr Duration kMaxClockSkew = std::chrono::seconds(1);

}  // namespace

// ---- Arrival ----

void Edge::on(Request request) {
  if (!is_acceptable(request)) return reject(request.reply_to);
  if (reject_quarantined(request)) return;
  const RequestId id{next_id_++};
  RequestArrived arrived;
  arrived.id = id;
  arrived.class_id = request.cls;
  arrived.tenant = request.tenant;
  arrived.caller = request.caller;
  arrived.key = request.read_key;
  arrived.cost_hint = request.cost_hint;
  arrived.memory = request.memory;
  // The arrival stamp is wall-clock time and the controller uses the steady clock, so only the elapsed time
  // is passed on. It is never negative.
  arrived.unread_wait = std::max(now_.unix - request.arrived_at, Duration{});
  arrived.duplicate_of = keys_.add_attempt(request, id, batch_);
  open_.add(id, OpenRequest{.request = std::move(request),
                            .stage_began_at = now_.steady,
                            .read_after_grace = is_past_drain_grace(),
                            .original = arrived.duplicate_of});
  ++pending_responses_;
  events_.emplace_back(arrived);
}

// A rid identifies one attempt: the kernel's reports could not distinguish two attempts with the same rid. A
// key's payload belongs to the body that the key first arrived with: a request with another body must not be
// served with it.
bool Edge::is_acceptable(const Request& request) const {
  return !admission_closed_ && controller_ && !open_.find_by_rid(request.rid) &&
         !has_invalid_arrival_time(request) && !keys_.has_different_body(request);
}

// An arrival stamp is invalid if it lies in the future, or so far in the past that the response was due
// already. Such a stamp would also shift the window in which the request's key must not run again.
bool Edge::has_invalid_arrival_time(const Request& request) const {
  const auto& settings = settings_.settings;
  const auto cls = std::size_t(request.cls);
  if (request.arrived_at > now_.unix + kMaxClockSkew) return true;
  if (cls >= settings.classes.size() || !settings.classes[cls].deadline) return false;
  const auto due = request.arrived_at + *settings.classes[cls].deadline;
  return now_.unix > due + settings.answer_slack.value_or(Duration{}) + kMaxClockSkew;
}

// Uses the time at which the request is read and not its arrival stamp: a request that waited for its
// connection was written later than its stamp.
bool Edge::is_past_drain_grace() const {
  if (!drain_ || lifecycle_.handing_over()) return false;
  const auto grace = settings_.settings.drain_grace.value_or(Duration{});
  return now_.unix > drain_->began.unix + std::max(grace - kGraceMargin, Duration{});
}

void Edge::on(const MalformedRequest& request) { reject(request.reply_to); }

// ---- Callers that disconnect or cancel ----

// Ends the work for requests whose connection is closed and so cannot carry a response. A run in progress
// continues unless the controller stops it, and its end is reported like that of any other run.
void Edge::on(const PeerDisconnected& disconnected) {
  for (const auto id : open_.take_peer(disconnected.peer)) {
    auto* open = open_.find(id);
    if (!open || open->answered) continue;
    open->answered = true;
    --pending_responses_;
    abandon(id, *open);
  }
  std::erase_if(deep_checks_, [&](const auto& check) { return check.second.peer == disconnected.peer; });
}

void Edge::on(const RequestCancelled& cancelled) {
  for (const auto id : open_.requests_of(cancelled.reply_to.peer)) {
    auto* open = open_.find(id);
    if (!open || open->answered || open->request.reply_to.stream != cancelled.reply_to.stream) continue;
    respond(*open, Outcome::failed);
    abandon(id, *open);
  }
}

// Called when the request is answered or its connection is closed. Ends the work for the request, unless a
// duplicate waits for its payload: a lost connection must not fail a retry that arrived in time.
void Edge::abandon(RequestId id, OpenRequest& open) {
  if (!open.followers.empty()) return;
  events_.emplace_back(RequestAbandoned{id});
  stop_work(id, open);
}

// Called when the request is answered or its connection is closed. Closes the request, unless it is running:
// the kernel then reports the end of the run. Its calls to dependencies are cancelled, unless a duplicate
// waits for its payload.
void Edge::stop_work(RequestId id, OpenRequest& open) {
  if (open.stage == RequestStage::running) return;
  if (open.stage == RequestStage::gathering) {
    if (open.calls_began && !open.followers.empty()) return;
    if (open.calls_began) {
      scatter_gather_->cancel(id, now_.steady);
      dispatch_calls();
    }
    events_.emplace_back(RunEnded{id, RunResult::moot, {}});
  }
  close_request(id, IdempotencyTable::RunState::failed, nullptr);
}

// ---- Responses ----

void Edge::respond(OpenRequest& open, Outcome outcome, PayloadPtr payload, RetryAdvice advice) {
  if (std::exchange(open.answered, true)) return;
  --pending_responses_;
  if (recovery_) recovery_->on_response(outcome == Outcome::served, now_.steady);
  outputs_.emplace_back(Response{open.request.reply_to, outcome, std::move(payload), advertised_credit_,
                                 advice.retry_after, advice.do_not_retry_elsewhere});
}

void Edge::reject(const ReplyAddress& to, Duration retry_after) {
  outputs_.emplace_back(Response{to, Outcome::rejected, nullptr, advertised_credit_, retry_after, false});
}

void Edge::apply(const Reject& rejection) {
  auto* open = open_.find(rejection.id);
  if (!open) return;
  if (recovery_ && rejection.retry_after.count() > 0) recovery_->on_request_rejected(now_.steady);
  // Outcome::rejected guarantees that this attempt never ran.
  respond(*open, open->ran ? Outcome::failed : Outcome::rejected, nullptr,
          {spread_retry_after(rejection.retry_after), rejection.do_not_retry_elsewhere});
  stop_work(rejection.id, *open);
}

void Edge::apply(const Fail& failure) {
  auto* open = open_.find(failure.id);
  if (!open) return;
  respond(*open, Outcome::failed);
  stop_work(failure.id, *open);
}

// Adds jitter to the controller's Retry-After: during a recovery, over a part of its remaining time, and
// while members of the fleet are missing, in proportion to their share. Without jitter, rejected callers
// would retry simultaneously while the capacity is still too low.
Duration Edge::spread_retry_after(Duration advised) {
  std::uniform_real_distribution<double> unit(0, 1);
  const auto max_advice = settings_.settings.max_retry_after.value_or(advised);
  const bool is_recovering = recovery_ && recovery_->phase() != recovery::Phase::in_service;
  if (is_recovering && advised.count() > 0 && advised < max_advice) {
    const auto window = std::min(max_advice - advised, recovery_->remaining(now_.steady) / 4);
    return advised + Duration(std::int64_t(double(window.count()) * unit(retry_jitter_)));
  }
  if (!fleet_ || fleet_->missing_share <= 0) return advised;
  return membership::jittered_backoff(advised, max_advice, fleet_->missing_share, unit(fleet_->retry_jitter));
}

// ---- Idempotency keys ----

void Edge::apply(const CacheResult& cache) {
  if (const auto* open = open_.find(cache.id))
    keys_.cache_result(open->request, cache.id, now_.unix + cache.ttl);
}

void Edge::apply(const EvictResult& evict) {
  if (const auto* open = open_.find(evict.id)) keys_.evict_result(open->request, evict.id);
}

void Edge::apply(const ReuseResult& reuse) {
  auto* open = open_.find(reuse.id);
  if (!open || open->stage != RequestStage::queued) return;
  keys_.remove_queued(open->request, reuse.id);
  enter_stage(*open, RequestStage::awaiting_original);
  if (const auto* run = keys_.find_run(open->request)) {
    if (run->state != IdempotencyTable::RunState::running)
      return finish_follower(reuse.id, run->state, run->payload);
    open_.at(run->attempt).followers.push_back(reuse.id);
    return;
  }
  auto* original = open->original ? open_.find(*open->original) : nullptr;
  const bool may_still_run =
      original && (original->stage == RequestStage::queued || original->stage == RequestStage::gathering);
  if (!may_still_run) return finish_follower(reuse.id, IdempotencyTable::RunState::failed, nullptr);
  original->followers.push_back(reuse.id);
}

void Edge::finish_follower(RequestId id, IdempotencyTable::RunState state, const PayloadPtr& payload) {
  auto* open = open_.find(id);
  if (!open) return;
  const bool succeeded = state == IdempotencyTable::RunState::succeeded;
  const auto result = succeeded ? RunResult::ok : RunResult::error;
  events_.emplace_back(RunEnded{id, result, now_.steady - open->stage_began_at});
  respond(*open, succeeded ? Outcome::served : Outcome::failed, payload);
  close_request(id, state, nullptr);
}

// ---- Closing a request ----

void Edge::close_request(RequestId id, IdempotencyTable::RunState state, const PayloadPtr& payload) {
  const auto open = open_.remove(id);
  keys_.record_end(open.request, id, state, payload);
  keys_.remove_queued(open.request, id);
  if (!open.ran) keys_.evict_result(open.request, id);
  for (const auto follower : open.followers) finish_follower(follower, state, payload);
}

}  // namespace granitegap::edge
