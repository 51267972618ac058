// Health checks, load reports, the start of the kernel, drain and shutdown.
#include <algorithm>
#include <chrono>
#include <utility>

#include "edge/edge.h"

namespace granitegap::edge {
namespace {

constexpr std::size_t kMaxDeepChecks = 64;
constexpr Duration kMaxKernelUptime = std::chrono::hours(24);
// Maximum difference between the start times that two reports of one kernel start give.
constexpr Duration kSameStartTolerance = std::chrono::seconds(2);

}  // namespace

// ---- Health ----

void Edge::on(const HealthCheck& check) {
  const bool wants_kernel =
      check.deep && settings_.settings.deep_health_checks.value_or(false) && !health_from_state_ && healthy();
  if (!controller_ || !wants_kernel || deep_checks_.size() >= kMaxDeepChecks) {
    outputs_.emplace_back(HealthResponse{check.reply_to, healthy(), advertised_credit_});
    return;
  }
  deep_checks_[next_deep_check_tag_] = check.reply_to;
  send_command(DeepHealthCheck{next_deep_check_tag_++});
}

void Edge::on(const DeepHealthCheckResult& result) {
  const auto check = deep_checks_.extract(result.tag);
  if (check)
    outputs_.emplace_back(HealthResponse{check.mapped(), result.healthy && healthy(), advertised_credit_});
}

void Edge::apply(const SetHealth& health) {
  if (lifecycle_.handing_over()) return;
  health_from_state_ = health.answer_from_state;
  const bool is_healthy = health.healthy && !drain_;
  if (std::exchange(controller_healthy_, is_healthy) != is_healthy) publish_load_report();
  if (recovery_) recovery_->on_health_check(controller_healthy_, now_.steady);
}

void Edge::apply(const AdvertiseCredit& advertised) {
  if (!lifecycle_.handing_over()) advertised_credit_ = std::max(advertised.credit, 0.0);
}

void Edge::apply(const CloseIdleConnections& close) { outputs_.emplace_back(CloseIdlePeers{close.idle_for}); }

void Edge::on(const LifecycleChanged&) { publish_load_report(); }

void Edge::publish_load_report() {
  if (!lifecycle_.publishes_load_reports()) return;
  if (controller_ || drain_) outputs_.emplace_back(LoadReport{healthy() && !drain_});
}

// ---- The kernel's start ----

// The controller starts with the kernel, which may start long after this process; the warm-up of the cores
// counts from the kernel's start. Later connections to the same kernel repeat the report.
void Edge::on(const KernelStarted& started) {
  const auto started_at = now_.steady - std::min<Duration>(started.uptime, kMaxKernelUptime);
  const bool is_restart =
      controller_ && started.cold && started_at > kernel_started_at_ + kSameStartTolerance;
  if (recovery_ && (!controller_ || is_restart)) {
    recovery_->on_kernel_ready(started.cold, started_at + warm_up_time() - now_.steady, now_.steady);
    recovery_->on_health_check(controller_healthy_, now_.steady);
  }
  if (is_restart) kernel_started_at_ = started_at;
  lifecycle_.set_kernel_started();
  if (!controller_) start_controller(started.cold, started_at);
}

void Edge::start_controller(bool cold, TimePoint started_at) {
  settings_.settings.cold = cold;
  kernel_started_at_ = started_at;
  controller_.emplace(settings_.settings, seed_, kernel_started_at_);
  apply_all(controller_->start());
  if (drain_) report_drain();
  publish_load_report();
}

// ---- Drain and shutdown ----

void Edge::on(const Drain& drain) {
  if (drain_) return;
  drain_ = ActiveDrain{now_, drain.time_left};
  // While handing over, health stays good: callers would apply a bad report to the successor as well, because
  // it serves at the same listening socket.
  if (!lifecycle_.handing_over()) {
    controller_healthy_ = false;
    publish_load_report();
    fail_deep_checks();
  }
  if (controller_) report_drain();
}

// Reports the drain to the controller. A controller that is created during the drain is told what remains of
// the time limit: otherwise it would admit requests that cannot end before the process is stopped, and set
// deadlines after that.
void Edge::report_drain() {
  const auto elapsed = now_.steady - drain_->began.steady;
  events_.emplace_back(DrainStarted{std::max(drain_->time_limit - elapsed, Duration{}), elapsed});
}

// Answers the deep checks in progress now, because the kernel's result may arrive late or never.
void Edge::fail_deep_checks() {
  for (const auto& [tag, reply_to] : std::exchange(deep_checks_, {}))
    outputs_.emplace_back(HealthResponse{reply_to, false, advertised_credit_});
}

void Edge::on(const AdmissionClosed&) { admission_closed_ = true; }

}  // namespace granitegap::edge
