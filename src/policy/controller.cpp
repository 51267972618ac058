// The admission controller as the host sees it: construction, start, and one batch of events in, actions
// out. The periodic update timer runs the decision steps in their fixed order.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <span>
#include <utility>
#include <vector>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

AdmissionController::Impl::Impl(Settings settings, std::uint64_t seed, TimePoint at)
    : s(std::move(settings)), now(at), born(at), random(seed) {
  read_settings();
  limit = cores;
  pool = floor_of_pool();
}

// ---- The update ----

void AdmissionController::Impl::on(const TimerFired& e) {
  if (e.token != kUpdateToken) return answer_due(e.token);
  if (e.core_utilization && std::isfinite(*e.core_utilization))
    core_use = std::clamp(*e.core_utilization, 0.0, 1.0);
  if (e.runnable_tasks && std::isfinite(*e.runnable_tasks))
    on_cores = std::clamp(*e.runnable_tasks, 0.0, 1e6);
  refill_quotas();
  drop_expired_entries();
  forget_quiet_callers();
  shed_hopeless();
  update_limit();
  update_pool();
  pause_long_runs();
  act(SetTimer{kUpdateToken, update_every});
}

std::vector<Action> AdmissionController::Impl::start() {
  if (s.deep_health_checks.value_or(false)) act(SetHealth{true, true});
  act(SetTimer{kUpdateToken, update_every});
  advertise();
  return std::move(out);
}

std::vector<Action> AdmissionController::Impl::handle(TimePoint at, std::span<const Event> events) {
  now = std::max(now, at);
  out.clear();
  for (const auto& event : events) std::visit([&](const auto& e) { on(e); }, event);
  note_calls();  // calls that ended too: guards against reading a quick call as in hand until the next one
  make_calls();
  start_queued();
  advertise();
  return std::move(out);
}

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
