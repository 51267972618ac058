// Calls to the dependency: when a call is made, retried with backoff, skipped, or given up, and the
// concurrency quota that prevents a fleet from overloading a shared dependency.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <vector>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

namespace {
constexpr double kMinWindowSeconds = 0.1;
}  // namespace

void AdmissionController::Impl::on(const CallNeeded& needed) {
  auto* request = find_request(needed.id);
  if (!request) return;
  enter(*request, Phase::awaiting_call);
  request->call_attempts = 0;
  request->call_may_have_run = false;
  request->next_call_at = now;
  request->stopping = false;
}

void AdmissionController::Impl::on(const CallEnded& ended) {
  auto* request = find_request(ended.id);
  if (!request || request->phase != Phase::calling) return;
  record_call_end(ended.result == CallResult::timed_out);
  record_call_duration(ended.duration);
  if (ended.result == CallResult::ok) {
    enter(*request, Phase::running);
    return;
  }
  enter(*request, Phase::awaiting_call);
  const bool never_ran = ended.result == CallResult::rejected || ended.result == CallResult::unreachable;
  request->call_may_have_run |= !never_ran;
  request->call_attempts += 1;
  const int doublings = std::min(request->call_attempts, kMaxBackoffDoublings);
  request->next_call_at = now + update_interval * (1 << doublings) / 2;
}

void AdmissionController::Impl::record_call_duration(Duration duration) {
  const double smoothing = mean_call_duration.count() ? kSmoothing : 1;
  mean_call_duration += to_duration((to_seconds(duration) - to_seconds(mean_call_duration)) * smoothing);
  ++calls_ended;
  if (calls_ended < kMinCallSamples) return;  // a few fast first calls are no baseline
  const double mean = to_seconds(mean_call_duration);
  best_call_seconds = best_call_seconds > 0 ? std::min(best_call_seconds, mean) : mean;
}

int AdmissionController::Impl::open_calls() const {
  return count(Phase::calling) + int(abandoned_calls.size());
}

void AdmissionController::Impl::record_open_calls() {
  if (downstream != Downstream::shared) return;  // no quota applies, and this runs with every batch
  std::erase_if(abandoned_calls, [&](TimePoint until) { return until <= now; });
  const int open = open_calls();
  if (call_history.empty() || call_history.back().second != open) call_history.emplace_back(now, open);
  const auto from = now - call_window;
  while (call_history.size() > 1 && call_history[1].first <= from) call_history.pop_front();
}

void AdmissionController::Impl::record_call_end(bool abandoned) {
  if (abandoned && downstream == Downstream::shared) abandoned_calls.push_back(now + abandoned_call_linger);
}

// Returns the usable part of the quota. It shrinks as calls slow down, because a dependency slows long before
// it fails and every server observes the same slowdown. This prevents a fleet from driving a loaded
// dependency to its limit.
double AdmissionController::Impl::usable_call_quota() const {
  double slowdown = 1;
  if (best_call_seconds > 0)
    slowdown = std::max(to_seconds(mean_call_duration) / best_call_seconds / kCallSlowdown, 1.0);
  return kCallQuotaShare * call_quota / slowdown;
}

// Returns whether the mean number of open calls over the window stays within the quota with one more call. An
// open call is expected to last the usual time, or as long again as it has lasted already (a hung
// dependency). A new instance has no full window behind it yet and is granted only part of one, so that a
// fleet of new instances does not use up a complete window in its first seconds. The linger of the new call
// is included, as the call may be abandoned.
bool AdmissionController::Impl::call_allowed() {
  if (downstream != Downstream::shared) return true;
  const double window = std::max(to_seconds(call_window), kMinWindowSeconds);
  const TimePoint from = now - to_duration(window);
  const double expected_time =
      std::min(std::max(2 * to_seconds(mean_call_duration), to_seconds(kMinExpectedCallTime)), window);
  double call_seconds =
      expected_time + to_seconds(abandoned_call_linger) * double(1 + abandoned_calls.size());
  for (std::size_t i = 0; i < call_history.size(); ++i) {
    const auto& [since, open] = call_history[i];
    const auto until = i + 1 < call_history.size() ? call_history[i + 1].first : now;
    call_seconds += open * to_seconds(until - std::max(since, from));
  }
  for (const auto& [id, request] : requests) {
    if (request.phase == Phase::calling)
      call_seconds += std::max(expected_time, to_seconds(now - request.phase_since));
  }
  const double granted = std::min(window, to_seconds(now - started_at) + to_seconds(kInitialCallWindow));
  return call_seconds <= usable_call_quota() * granted;
}

void AdmissionController::Impl::make_calls() {
  std::vector<Request*> awaiting_call;
  for (auto& [id, request] : requests) {
    if (request.phase == Phase::awaiting_call && !request.answered && !request.abandoned)
      awaiting_call.push_back(&request);
  }
  std::stable_sort(awaiting_call.begin(), awaiting_call.end(),
                   [&](auto* left, auto* right) { return weight(*left) > weight(*right); });
  for (auto* request : awaiting_call) decide_call(*request);
}

void AdmissionController::Impl::decide_call(Request& request) {
  const auto time_left = std::min(request.useful_until, request.due) - now;
  const bool may_skip = class_state(request).degraded_weight_fraction > 0;
  const bool attempts_spent =
      request.call_may_have_run && (runs_at_most_once(request) || request.call_attempts >= kMaxCallAttempts);
  if (attempts_spent && !may_skip) return reject_or_fail(request, true);
  if (may_skip && (attempts_spent || time_left < 2 * run_time(request.arrival))) {
    enter(request, Phase::running);
    return act(SkipCall{request.arrival.id});
  }
  if (now < request.next_call_at || !call_allowed()) return;
  Duration timeout = request.due - now;
  if (may_skip) timeout = std::max<Duration>(time_left - run_time(request.arrival), milliseconds(10));
  enter(request, Phase::calling);
  act(Call{request.arrival.id, std::max<Duration>(timeout, milliseconds(1))});
  record_open_calls();
}

}  // namespace granitegap
