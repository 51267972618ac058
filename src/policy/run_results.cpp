// The end of runs, and the statistics taken from them: median run time and mean call time of each class, and
// the ratio of run times to their cost hints.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cstddef>
#include <vector>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

namespace {
constexpr double kMinRunTimeRatio = 0.01;  // bounds for one run, against implausible cost hints
constexpr double kMaxRunTimeRatio = 100.0;
}  // namespace

void AdmissionController::Impl::on(const RunEnded& ended) {
  auto* request = find_request(ended.id);
  if (!request) return;
  const bool reused = request->phase == Phase::awaiting_result;
  if (request->phase == Phase::calling) record_call_end(true);
  enter(*request, request->phase);  // adds up the time of the phase that ends
  if (ended.result == RunResult::ok && !reused) record_run(*request);
  if (ended.result == RunResult::cancelled && !request->answered && !request->abandoned)
    run_cancelled(*request);
  else
    requests.erase(ended.id);
}

// Handles the end of a run that the host stopped on a Suspend.
void AdmissionController::Impl::run_cancelled(Request& request) {
  request.stopping = false;
  enter(request, suspend == SuspendKind::pause ? Phase::paused : Phase::queued);
  if (request.phase == Phase::queued && runs_at_most_once(request)) fail(request);
}

void AdmissionController::Impl::record_run(Request& request) {
  auto& request_class = class_state(request);
  request_class.recent_runs.push_back(request.finished_core_time);
  if (request_class.recent_runs.size() > kRunSamples) request_class.recent_runs.pop_front();
  auto sorted = std::vector<Duration>(request_class.recent_runs.begin(), request_class.recent_runs.end());
  const auto middle = sorted.begin() + std::ptrdiff_t(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  request_class.median_run = std::max<Duration>(*middle, milliseconds(1));
  const double difference = to_seconds(request.call_time) - to_seconds(request_class.mean_call_time);
  request_class.mean_call_time += to_duration(difference * kSmoothing);
  if (request.arrival.cost_hint) record_run_time_ratio(request);
}

void AdmissionController::Impl::record_run_time_ratio(const Request& request) {
  const double measured = to_seconds(request.finished_core_time) / to_seconds(*request.arrival.cost_hint);
  run_time_ratio += kSmoothing * (std::clamp(measured, kMinRunTimeRatio, kMaxRunTimeRatio) - run_time_ratio);
  mean_runnable_tasks += kSmoothing * (runnable_tasks - mean_runnable_tasks);
  if (warm_speed() < 1) return;
  ++run_time_ratio_samples;
  if (run_time_ratio_samples < kMinRunTimeRatioSamples) return;
  best_run_time_ratio =
      best_run_time_ratio > 0 ? std::min(best_run_time_ratio, run_time_ratio) : run_time_ratio;
}

}  // namespace granitegap
