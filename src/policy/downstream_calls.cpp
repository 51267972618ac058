// Calls to the dependency below: when a call is made, retried with backoff, skipped, or given up, and the
// concurrency budget that keeps a fleet from filling a shared dependency.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <vector>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

// ---- Calls below ----

void AdmissionController::Impl::on(const CallNeeded& e) {
  auto* r = find(e.id);
  if (!r) return;
  enter(*r, Phase::at_call);
  r->call_tries = 0;
  r->call_may_have_run = false;
  r->call_again = now;
  r->stopping = false;
}

void AdmissionController::Impl::on(const CallEnded& e) {
  auto* r = find(e.id);
  if (!r || r->phase != Phase::calling) return;
  leave_call(e.result == CallResult::timed_out);
  call_mean += dur((sec(e.duration) - sec(call_mean)) * (call_mean.count() ? kPaceGain : 1));
  if (++calls_ended >= kCallSamples)  // not before: a lucky first call is no yardstick
    call_best = call_best > 0 ? std::min(call_best, sec(call_mean)) : sec(call_mean);
  if (e.result == CallResult::ok) {
    enter(*r, Phase::running);
    return;
  }
  enter(*r, Phase::at_call);
  const bool never_ran = e.result == CallResult::rejected || e.result == CallResult::unreachable;
  r->call_may_have_run |= !never_ran;
  r->call_tries += 1;
  r->call_again = now + update_every * (1 << std::min(r->call_tries, 5)) / 2;
}

int AdmissionController::Impl::calls_in_hand() const { return count(Phase::calling) + int(lingering.size()); }

void AdmissionController::Impl::note_calls() {
  if (below != Downstream::shared) return;  // nothing binds there, and this runs with every batch
  std::erase_if(lingering, [&](TimePoint t) { return t <= now; });
  const int n = calls_in_hand();
  if (call_history.empty() || call_history.back().second != n) call_history.emplace_back(now, n);
  const auto from = now - call_window;
  while (call_history.size() > 1 && call_history[1].first <= from) call_history.pop_front();
}

void AdmissionController::Impl::leave_call(bool abandoned) {
  if (abandoned && below == Downstream::shared) lingering.push_back(now + call_linger);
}

// The part of the share that may be used: less as calls slow down, since the dependency slows long before
// it falls and others see the same. Guards against a fleet that fills a crowded dependency to the edge.
double AdmissionController::Impl::call_allowance() const {
  const double slower = call_best > 0 ? std::max(sec(call_mean) / call_best / kCallSlowdown, 1.0) : 1.0;
  return kCallShare * call_share / slower;
}

// The mean of calls in hand over the window, were one more begun: one in hand stays as long as is usual, or
// as long again as it has stayed (a hung dependency). A fresh instance has had no window yet, and a fleet
// of them must not spend a whole one in its first seconds. The call asked for may yet be abandoned.
bool AdmissionController::Impl::call_allowed() {
  if (below != Downstream::shared) return true;
  const double window = std::max(sec(call_window), 0.1);
  const TimePoint from = now - dur(window);
  const double stay = std::min(std::max(2 * sec(call_mean), sec(kCallStay)), window);
  double area = stay + sec(call_linger) * double(1 + lingering.size());
  for (std::size_t i = 0; i < call_history.size(); ++i) {
    const auto until = i + 1 < call_history.size() ? call_history[i + 1].first : now;
    area += call_history[i].second * sec(until - std::max(call_history[i].first, from));
  }
  for (const auto& [id, r] : requests)
    if (r.phase == Phase::calling) area += std::max(stay, sec(now - r.since));
  return area <= call_allowance() * std::min(window, sec(now - born) + sec(kCallStart));
}

void AdmissionController::Impl::make_calls() {
  std::vector<Request*> waiting;
  for (auto& [id, r] : requests)
    if (r.phase == Phase::at_call && !r.answered && !r.gone) waiting.push_back(&r);
  std::stable_sort(waiting.begin(), waiting.end(), [&](auto* a, auto* b) { return value(*a) > value(*b); });
  for (auto* r : waiting) decide_call(*r);
}

void AdmissionController::Impl::decide_call(Request& r) {
  const auto left = std::min(r.useful_until, r.due) - now;
  const bool may_skip = cls(r).degraded_weight_fraction > 0;
  const bool spent = r.call_may_have_run && (once(r) || r.call_tries >= kCallTries);
  if (spent && !may_skip) return reject_or_fail(r, true);
  if (may_skip && (spent || left < 2 * run_time(r.in))) {
    enter(r, Phase::running);
    return act(SkipCall{r.in.id});
  }
  if (now < r.call_again || !call_allowed()) return;
  const auto limit_of_call =
      may_skip ? std::max<Duration>(left - run_time(r.in), milliseconds(10)) : r.due - now;
  enter(r, Phase::calling);
  act(Call{r.in.id, std::max<Duration>(limit_of_call, milliseconds(1))});
  note_calls();
}

}  // namespace granitegap
