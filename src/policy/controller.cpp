// The interface of the admission controller to its host: construction, start, and the handling of one batch
// of events, which returns actions. The periodic update timer runs the decision steps in their fixed order.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <cmath>
#include <span>
#include <utility>
#include <vector>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

namespace {
constexpr double kMaxRunnable = 1e6;
}  // namespace

AdmissionController::Impl::Impl(Settings configured, std::uint64_t seed, TimePoint at)
    : settings(std::move(configured)), now(at), started_at(at), random(seed) {
  read_settings();
  run_limit = cores;
  credit_pool = pool_floor();
}

// ---- The periodic update ----

void AdmissionController::Impl::on(const TimerFired& fired) {
  if (fired.token != kUpdateToken) return on_deadline_timer(fired.token);
  if (fired.core_utilization && std::isfinite(*fired.core_utilization))
    core_utilization = std::clamp(*fired.core_utilization, 0.0, 1.0);
  if (fired.runnable_tasks && std::isfinite(*fired.runnable_tasks))
    runnable_tasks = std::clamp(*fired.runnable_tasks, 0.0, kMaxRunnable);
  refill_quotas();
  drop_expired_entries();
  remove_inactive_callers();
  shed_late_requests();
  update_run_limit();
  update_pool();
  pause_long_runs();
  act(SetTimer{kUpdateToken, update_interval});
}

std::vector<Action> AdmissionController::Impl::start() {
  if (settings.deep_health_checks.value_or(false)) act(SetHealth{true, true});
  act(SetTimer{kUpdateToken, update_interval});
  advertise();
  return std::move(actions);
}

std::vector<Action> AdmissionController::Impl::handle(TimePoint at, std::span<const Event> events) {
  now = std::max(now, at);
  actions.clear();
  for (const auto& event : events) std::visit([&](const auto& typed) { on(typed); }, event);
  // Also records the end of calls. Otherwise a short call would count as open until the next call starts.
  record_open_calls();
  make_calls();
  start_queued();
  advertise();
  return std::move(actions);
}

// ---- The public class ----

AdmissionController::AdmissionController(Settings settings, std::uint64_t seed, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
AdmissionController::AdmissionController(AdmissionController&&) noexcept = default;
AdmissionController& AdmissionController::operator=(AdmissionController&&) noexcept = default;
AdmissionController::~AdmissionController() = default;
std::vector<Action> AdmissionController::start() { return impl_->start(); }
std::vector<Action> AdmissionController::handle(TimePoint now, std::span<const Event> events) {
  return impl_->handle(now, events);
}

}  // namespace granitegap
