// The hold queue and the run limit: which held request runs next, how many run at once, what is dropped
// as hopeless, what ends, and which long runs are paused for more valuable work.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cstddef>
#include <vector>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

// ---- Runs: order of the hold, run limit ----

void AdmissionController::Impl::update_limit() {
  const bool waiting = count(Phase::held) + count(Phase::paused) > 0;
  if (cores_idle() && waiting && count(Phase::running) >= int(limit))
    limit += kLimitStep * cores;
  else if (!waiting || !cores_idle())
    limit -= kLimitStep * cores / 4;
  limit = std::clamp(limit, cores, std::max(cores, crowd() * kLimitCrowdShare));
}

Request* AdmissionController::Impl::next_to_run() {
  Request* best = nullptr;
  double best_score = -1;
  for (auto& [id, r] : requests) {
    if (r.phase != Phase::held && r.phase != Phase::paused) continue;
    if (r.phase == Phase::held && r.ran && once(r)) continue;  // ran and was dropped: never again
    if (const double own = score(r); own > best_score) best = &r, best_score = own;
  }
  return best;
}

void AdmissionController::Impl::start_queued() {
  while (count(Phase::running) < int(limit) && begun() < std::max(1.0, std::floor(crowd() * kCrowdShare))) {
    auto* r = next_to_run();
    if (!r) return;
    if (r->phase == Phase::held && !memory_for_run(*r)) return;
    begin(*r);
  }
}

void AdmissionController::Impl::begin(Request& r) {
  if (cls(r).idempotency == Idempotency::idempotent && r.in.key && reads_are_shared() &&
      memory_in_use() + key_units <= memory_limit && memory_for_run(r))
    remember(r, *s.response_max_age + time_needed(r));
  r.ran = true;
  r.stopping = false;
  enter(r, Phase::running);
  act(Run{r.in.id});
}

// A held request that can no longer earn anything goes; so does a run past its use, which keeps a core.
void AdmissionController::Impl::shed_hopeless() {
  for (auto it = requests.begin(); it != requests.end();) {
    auto& r = (it++)->second;
    if (r.answered || r.gone) {
      stop_work(r);
      continue;
    }
    if (r.phase == Phase::reusing || cls(r).late_weight_fraction > 0) continue;
    const bool late = now >= r.useful_until;
    if (r.phase == Phase::held ? late || now + time_needed(r) / 2 > r.useful_until : late)
      reject_or_fail(r, true);
  }
}

void AdmissionController::Impl::on(const RunEnded& e) {
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

void AdmissionController::Impl::learn(Request& r) {
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
void AdmissionController::Impl::pause_long_runs() {
  if (suspend != SuspendKind::pause || count(Phase::running) < int(limit)) return;
  auto* next = next_to_run();
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

}  // namespace granitegap
