// Ends of runs, and what they show: a class's median run time and call time, and the pace of the cores.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cstddef>
#include <vector>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

namespace {
constexpr double kMinRunPace = 0.01;  // of one run, against absurd hints
constexpr double kMaxRunPace = 100.0;
}  // namespace

void AdmissionController::Impl::on(const RunEnded& ended) {
  auto* request = find_request(ended.id);
  if (!request) return;
  const bool reused = request->phase == Phase::awaiting_result;
  if (request->phase == Phase::calling) leave_call(true);
  enter(*request, request->phase);  // adds up the time of the phase that ends
  if (ended.result == RunResult::ok && !reused) learn_from_run(*request);
  if (ended.result == RunResult::cancelled && !request->answered && !request->abandoned)
    run_cancelled(*request);
  else
    requests.erase(ended.id);
}

// The host carried out a Suspend.
void AdmissionController::Impl::run_cancelled(Request& request) {
  request.stopping = false;
  enter(request, suspend == SuspendKind::pause ? Phase::paused : Phase::queued);
  if (request.phase == Phase::queued && runs_at_most_once(request)) fail(request);
}

void AdmissionController::Impl::learn_from_run(Request& request) {
  auto& request_class = class_of(request);
  request_class.recent_runs.push_back(request.finished_core_time);
  if (request_class.recent_runs.size() > kRunSamples) request_class.recent_runs.pop_front();
  auto sorted = std::vector<Duration>(request_class.recent_runs.begin(), request_class.recent_runs.end());
  const auto middle = sorted.begin() + std::ptrdiff_t(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  request_class.median_run = std::max<Duration>(*middle, milliseconds(1));
  const double more = to_seconds(request.call_time) - to_seconds(request_class.mean_call_time);
  request_class.mean_call_time += to_duration(more * kSmoothing);
  if (request.arrival.cost_hint) learn_pace(request);
}

void AdmissionController::Impl::learn_pace(const Request& request) {
  const double measured = to_seconds(request.finished_core_time) / to_seconds(*request.arrival.cost_hint);
  pace += kSmoothing * (std::clamp(measured, kMinRunPace, kMaxRunPace) - pace);
  paced_runnable += kSmoothing * (runnable_tasks - paced_runnable);
  if (warm_speed() < 1) return;
  ++paced_runs;
  if (paced_runs < kMinPaceRuns) return;
  best_pace = best_pace > 0 ? std::min(best_pace, pace) : pace;
}

}  // namespace granitegap
