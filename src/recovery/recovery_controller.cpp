#include "recovery/recovery_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace granitegap::recovery {
namespace {

// Time for which the view must show a smaller scope before it is accepted, to avoid oscillation while members
// join and leave.
constexpr Duration kScopeHysteresis = std::chrono::seconds(3);
// A smaller scope also requires a recovering share below this fraction of the current scope's threshold.
constexpr double kScopeHysteresisFactor = 0.5;

// Advertised shares that are milestones in RecoveryTimeline.
constexpr double kHalfShare = 0.5;
constexpr double kNearlyFullShare = 0.95;

// Maximum length of a step with too few runs that is not idle, in idle steps.
constexpr int kMaxStepInIdleSteps = 4;
// Maximum time in slow start once the full share is advertised, in calm periods since slow start began.
constexpr int kMaxSlowStartInCalmPeriods = 4;
// Rejections that are further apart than this many minimum steps belong to separate overloads.
constexpr int kOverloadGapInSteps = 2;
// Fraction of the verified share that is kept after a pause.
constexpr double kShareKeptAfterPause = 0.5;
// Keeps the logarithm in remaining() finite.
constexpr double kMinShareForEstimate = 1e-3;

}  // namespace

RecoveryController::RecoveryController(RecoveryOptions options, TimePoint started)
    : options_(options),
      started_at_(started),
      phase_since_(started),
      last_tick_(started),
      advertised_share_(options.initial_share),
      verified_share_(options.initial_share),
      last_rejected_(started),
      calm_since_(started),
      step_{.began = started} {}

void RecoveryController::report(RecoveryEvent::Type type) {
  events_.push_back({type, phase_, scope_, overload_guard_});
}

void RecoveryController::enter(Phase phase, TimePoint now) {
  if (phase_ == phase) return;
  phase_ = phase;
  phase_since_ = now;
  step_ = {.began = now};
  report(RecoveryEvent::Type::phase_changed);
  if (phase != Phase::slow_start) return;
  calm_since_ = now;
  timeline_.estimated_in_service = elapsed(now) + remaining(now);
}

void RecoveryController::restart_recovery(Phase phase, TimePoint now) {
  ++recoveries_;
  started_at_ = now;
  timeline_ = {};
  overloaded_since_.reset();
  enter(phase, now);
}

void RecoveryController::set_overload_guard(bool active) {
  if (overload_guard_ == active) return;
  overload_guard_ = active;
  report(RecoveryEvent::Type::overload_guard_changed);
}

void RecoveryController::on_fleet_status(const FleetStatus& status, TimePoint now) {
  fleet_ = status;
  has_fleet_status_ = true;
  update_scope(now);
  if (fleet_.peers == 0 || fleet_.recovering_share < options_.partial_restart_share) return;
  calm_since_ = std::max(calm_since_, now);
  if (phase_ == Phase::in_service) set_overload_guard(true);
}

void RecoveryController::on_last_known_members(std::size_t members, TimePoint now) {
  last_known_members_ = members;
  update_scope(now);
}

RestartScope RecoveryController::observed_scope() const {
  if (has_fleet_status_ && fleet_.peers > 0) {
    if (fleet_.recovering_share >= options_.majority_restart_share) return RestartScope::majority;
    if (fleet_.recovering_share >= options_.partial_restart_share) return RestartScope::partial;
    return RestartScope::single;
  }
  // The previous incarnation knew other members and none is visible. Assumes the largest scope, to be safe.
  if (last_known_members_ > 0) return RestartScope::majority;
  return RestartScope::unknown;
}

// Whether a certain view shows a recovering share far enough below the current scope's threshold.
bool RecoveryController::clearly_below_threshold() const {
  const double threshold =
      scope_ == RestartScope::majority ? options_.majority_restart_share : options_.partial_restart_share;
  return has_fleet_status_ && fleet_.certain && fleet_.recovering_share < kScopeHysteresisFactor * threshold;
}

// Accepts a larger scope at once, and a smaller one only from a certain view and after kScopeHysteresis.
void RecoveryController::update_scope(TimePoint now) {
  if (phase_ == Phase::in_service) return;
  const auto observed = observed_scope();
  if (observed < scope_) {
    if (!clearly_below_threshold()) {
      scope_lower_since_.reset();
      return;
    }
    if (!scope_lower_since_) scope_lower_since_ = now;
    if (now - *scope_lower_since_ < kScopeHysteresis) return;
  }
  scope_lower_since_.reset();
  if (observed == RestartScope::unknown || observed == scope_) return;
  scope_ = observed;
  report(RecoveryEvent::Type::scope_changed);
}

void RecoveryController::on_state_transferred(std::size_t donors, TimePoint now) {
  timeline_.donors = std::max(timeline_.donors, donors);
  state_transferred_ = true;
  if (phase_ == Phase::transferring_state) enter(Phase::slow_start, now);
}

void RecoveryController::on_kernel_ready(bool cold, Duration warm_up_left, TimePoint now) {
  const bool first = !std::exchange(kernel_ready_, true);
  last_tick_ = now;
  kernel_warm_at_ = now + (cold ? std::max(warm_up_left, Duration{}) : Duration{});
  if (first && phase_ == Phase::starting) {
    enter(Phase::transferring_state, now);
    if (state_transferred_) enter(Phase::slow_start, now);
    return;
  }
  if (first || !cold) return;
  advertised_share_ = verified_share_ = options_.initial_share;
  restart_recovery(Phase::slow_start, now);
}

void RecoveryController::on_response(bool served, TimePoint now) {
  if (served && !timeline_.first_response) timeline_.first_response = elapsed(now);
}

void RecoveryController::on_health_check(bool healthy, TimePoint now) {
  if (healthy && kernel_ready_ && !timeline_.first_healthy) timeline_.first_healthy = elapsed(now);
}

void RecoveryController::on_run_finished(bool within_objective, TimePoint) {
  ++(within_objective ? step_.within_objective : step_.missed_objective);
}

void RecoveryController::on_request_rejected(TimePoint now) {
  ++step_.rejected;
  last_rejected_ = now;
  if (!overloaded_since_) overloaded_since_ = now;
}

void RecoveryController::advertise(double share, TimePoint now) {
  advertised_share_ = std::clamp(share, options_.initial_share, 1.0);
  if (advertised_share_ >= kHalfShare && !timeline_.half_share) timeline_.half_share = elapsed(now);
  if (advertised_share_ >= kNearlyFullShare && !timeline_.nearly_full_share)
    timeline_.nearly_full_share = elapsed(now);
}

// Ends the current step if it is complete, and evaluates it by the runs that ended in it. A step with too few
// runs still ends after kMaxStepInIdleSteps, because runs may be too long for enough of them to end in one
// step. Unless it is idle it then verifies nothing, and reduces the share only if a run missed its objective.
void RecoveryController::end_step(TimePoint now) {
  const auto length = now - step_.began;
  if (length < options_.min_step) return;
  const auto runs = step_.within_objective + step_.missed_objective;
  const bool enough = runs >= options_.min_step_runs;
  const bool idle = !enough && step_.rejected == 0 && length >= options_.idle_step;
  if (!enough && !idle && length < kMaxStepInIdleSteps * options_.idle_step) return;
  const bool succeeded = enough ? double(step_.within_objective) >= options_.min_success_share * double(runs)
                                : step_.missed_objective == 0;
  if (!succeeded) {
    advertise(advertised_share_ / options_.growth_factor, now);
    verified_share_ = std::min(verified_share_, advertised_share_);
  } else if (enough || idle) {
    verified_share_ = std::max(verified_share_, advertised_share_);
    advertise(std::max(advertised_share_, verified_share_ * options_.growth_factor), now);
  }
  step_ = {.began = now};
}

void RecoveryController::on_pause(TimePoint now) {
  report(RecoveryEvent::Type::pause_detected);
  if (!kernel_ready_) return;
  advertised_share_ = verified_share_ =
      std::max(options_.initial_share, verified_share_ * kShareKeptAfterPause);
  overload_guard_ = false;
  state_transferred_ = false;
  restart_recovery(Phase::transferring_state, now);
}

bool RecoveryController::is_calm(TimePoint now) const { return now - calm_since_ >= options_.calm_period; }

// Enters service once the full share is advertised and either the calm period has passed, without a rejected
// request and without a partial restart of the fleet, or the maximum time in slow start. In the second case
// the bound on waits stays.
void RecoveryController::complete_slow_start(TimePoint now) {
  const bool calm = is_calm(now);
  const bool overdue = now - phase_since_ >= kMaxSlowStartInCalmPeriods * options_.calm_period;
  if (advertised_share_ < 1 || !(calm || overdue)) return;
  overload_guard_ = !calm;
  // The process counts as in service since the start of the calm period, but not before it advertised the
  // nearly full share.
  const auto since = elapsed(now) - (calm ? options_.calm_period : Duration{});
  timeline_.in_service = std::max(timeline_.nearly_full_share.value_or(Duration{}), since);
  enter(Phase::in_service, now);
  report(RecoveryEvent::Type::entered_service);
}

// Bounds waits after uninterrupted rejections on a process in service. The same metastable state can be
// reached without a restart, and the same bound ends it.
void RecoveryController::detect_overload(TimePoint now) {
  if (now - last_rejected_ > options_.min_step * kOverloadGapInSteps) overloaded_since_.reset();
  if (phase_ != Phase::in_service || overload_guard_ || !overloaded_since_) return;
  if (now - *overloaded_since_ < options_.overload_period) return;
  calm_since_ = now;
  set_overload_guard(true);
}

void RecoveryController::tick(TimePoint now) {
  const auto gap = now - last_tick_;
  last_tick_ = std::max(last_tick_, now);
  if (gap > options_.max_tick_gap) return on_pause(now);
  update_scope(now);
  const bool transfer_overdue = now - phase_since_ >= options_.max_state_transfer;
  if (phase_ == Phase::transferring_state && transfer_overdue) enter(Phase::slow_start, now);
  if (phase_ == Phase::slow_start) end_step(now);
  calm_since_ = std::max(calm_since_, last_rejected_);
  if (phase_ == Phase::slow_start) complete_slow_start(now);
  if (phase_ == Phase::in_service && is_calm(now)) set_overload_guard(false);
  detect_overload(now);
}

std::optional<double> RecoveryController::max_wait_factor() const {
  if (phase_ == Phase::in_service && !overload_guard_) return std::nullopt;
  return options_.max_wait_factor;
}

// Estimates the remaining time as the kernel's warm-up or the remaining slow-start steps, whichever takes
// longer, plus the state transfer if it has not ended.
Duration RecoveryController::remaining(TimePoint now) const {
  if (phase_ == Phase::in_service) return {};
  const double growth_left = 1 / std::max(advertised_share_, kMinShareForEstimate);
  const double steps = std::ceil(std::log(growth_left) / std::log(options_.growth_factor));
  const Duration slow_start = options_.min_step * std::int64_t(std::max(steps, 0.0));
  const Duration transfer = phase_ == Phase::slow_start ? Duration{} : options_.max_state_transfer;
  const Duration warm_up = kernel_ready_ ? std::max(kernel_warm_at_ - now, Duration{}) : Duration{};
  return transfer + std::max(slow_start, warm_up);
}

}  // namespace granitegap::recovery
