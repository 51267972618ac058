// Recovery from a restart: the quarantine of idempotency keys, the ramp, warm state, and membership.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "edge/edge.h"
#include "edge/recovery_log.h"

namespace granitegap::edge {
namespace {

constexpr Duration kRecoveryTick = std::chrono::milliseconds(100);
constexpr Duration kMinQuarantineAdvice = std::chrono::milliseconds(1);
constexpr Duration kDefaultWarmUp = std::chrono::seconds(60);
constexpr std::int64_t kMaxFullServiceMs = 0xfffffff0;  // fits the 32-bit field of the membership metadata

std::int64_t to_ms(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Returns 100 if no credit is left.
std::uint8_t load_percent(double credit) {
  return std::uint8_t(std::clamp(100 / (1 + std::max(credit, 0.0)), 0.0, 100.0));
}

std::uint8_t percent(double share) { return std::uint8_t(100 * std::clamp(share, 0.0, 1.0)); }

}  // namespace

// ---- The restart quarantine ----

void Edge::enable_restart_quarantine(Duration max_clock_setback, bool has_state_directory,
                                     TimePoint started) {
  recovery::RestartQuarantine::Options options;
  for (std::size_t i = 0; i < settings_.settings.classes.size(); ++i) {
    const ClassId cls = ClassId(i);
    options.idempotency_windows.push_back(names_.requires_idempotency_key(cls) ? keys_.window(cls)
                                                                               : Duration{});
  }
  options.max_clock_setback = max_clock_setback;
  options.has_state_directory = has_state_directory;
  quarantine_.emplace(std::move(options), started);
}

// Rejects a request that a previous incarnation may have run, before any work is done for it, with the time
// after which to retry. The time that counts is the arrival at the machine: a request that stayed unread in a
// socket until the quarantine ended must still be rejected.
bool Edge::reject_quarantined(const Request& request) {
  if (!quarantine_ || !names_.requires_idempotency_key(request.cls)) return false;
  const auto arrived_at = now_.steady - std::max(now_.unix - request.arrived_at, Duration{});
  if (!quarantine_->is_quarantined(request.cls, arrived_at)) return false;
  const auto max_advice = settings_.settings.max_retry_after.value_or(Duration{});
  const auto until = quarantine_->quarantined_until(request.cls);
  const bool end_known = until != TimePoint::max();
  const auto left = end_known ? std::max(until - now_.steady, kMinQuarantineAdvice) : max_advice;
  reject(request.reply_to, std::min(left, max_advice));
  return true;
}

void Edge::on(const PreviousIncarnationFound& found) {
  if (!quarantine_) return;
  quarantine_->on_previous_incarnation(found.previous, now_.steady);
  const auto left = key_quarantine_left(now_.steady);
  if (left == Duration::max() || left <= Duration{}) return;
  log_event("requests with an idempotency key are rejected for " + std::to_string(to_ms(left)) +
                " ms: a previous incarnation of this process may have run them",
            "keyed_wait");
}

Duration Edge::key_quarantine_left(TimePoint now) const {
  const auto until = quarantine_ ? quarantine_->last_quarantine_end() : TimePoint::min();
  if (until == TimePoint::max()) return Duration::max();
  return until <= now ? Duration{} : until - now;
}

// ---- The recovery ramp ----

void Edge::enable_recovery_ramp(const recovery::RecoveryOptions& options, TimePoint started) {
  recovery_.emplace(options, started);
}

// Passes the limits of the recovery to the controller, which alone admits, orders and rejects requests.
void Edge::update_recovery() {
  if (controller_ && now_.steady - recovery_ticked_at_ >= kRecoveryTick) {
    recovery_ticked_at_ = now_.steady;
    recovery_->tick(now_.steady);
  }
  log_recovery();
  if (!controller_) return;
  const AdmissionLimits limits{recovery_->max_wait_factor(), recovery_->advertised_share()};
  if (limits.max_wait_ratio == admission_limits_.max_wait_ratio &&
      limits.credit_fraction == admission_limits_.credit_fraction)
    return;
  admission_limits_ = limits;
  events_.emplace_back(limits);
}

void Edge::log_recovery() {
  for (const auto& event : recovery_->take_events()) {
    if (event.type == recovery::RecoveryEvent::Type::pause_detected)
      outputs_.emplace_back(StateTransferRequested{});
    outputs_.emplace_back(describe(event, *recovery_, now_.steady));
  }
}

// ---- Warm state ----

void Edge::on(const WarmStateReceived& received) {
  const bool from_disk = received.donors == 0;
  if (recovery_ && from_disk) recovery_->on_last_known_members(received.state.members.size(), now_.steady);
  if (!scatter_gather_) return;
  const auto source = from_disk ? std::string("the previous incarnation of this process")
                                : std::to_string(received.donors) + " other members";
  const auto used = scatter_gather_->restore(received.state, now_.steady);
  if (used.endpoints > 0)
    log_event("restored the health of " + std::to_string(used.endpoints) + " endpoints from " + source,
              "learned");
  if (used.responses > 0)
    log_event("restored " + std::to_string(used.responses) + " cached responses from " + source,
              "learned_parts");
}

void Edge::on(const StateTransferFinished& finished) {
  if (recovery_) recovery_->on_state_transferred(finished.donors, now_.steady);
}

warm_state::WarmState Edge::export_warm_state(TimePoint now) const {
  warm_state::WarmState state;
  if (scatter_gather_) scatter_gather_->export_state(state, now);
  return state;
}

// ---- Membership ----

void Edge::on(const MembershipUpdate& update) {
  if (!update.view) return;
  const auto& view = *update.view;
  if (!fleet_) fleet_ = Fleet{0, std::mt19937_64(seed_)};
  // Without a quorum this process may itself be the one cut off, so that the view does not affect its
  // Retry-After.
  fleet_->missing_share = view.has_quorum ? membership::missing_fraction(view) : 0;
  if (recovery_) recovery_->on_fleet_status(recovery::summarize_fleet(view), now_.steady);
  if (quarantine_) quarantine_->on_name_conflict(view.name_conflict, now_.steady);
  if (!scatter_gather_) return;
  scatter_gather_->on_membership_view(update.view, now_.steady);
  dispatch_calls();  // must follow at once: the paths of calls that a larger share starts are only borrowed
}

MemberStatus Edge::member_status(TimePoint now) const {
  MemberStatus status;
  if (scatter_gather_) status.endpoint_health = scatter_gather_->endpoint_health(now);
  if (advertised_credit_) status.load_percent = load_percent(*advertised_credit_);
  if (recovery_) status.recovery_status = recovery_status();
  if (controller_) status.warmup_percent = percent(warmup_fraction(now));
  status.stage = member_stage(status.warmup_percent);
  return status;
}

// A process that leaves is draining even if its kernel has not started.
membership::Stage Edge::member_stage(std::uint8_t warmup_percent) const {
  const bool is_leaving = drain_ || lifecycle_.phase() == lifecycle::Phase::quiesced;
  if (is_leaving) return membership::Stage::draining;
  if (!controller_) return membership::Stage::starting;
  return warmup_percent < 100 ? membership::Stage::warming_up : membership::Stage::serving;
}

membership::RecoveryStatus Edge::recovery_status() const {
  membership::RecoveryStatus status;
  status.phase = recovery::to_metadata_value(recovery_->phase());
  status.offered_percent = std::uint8_t(std::lround(100 * recovery_->advertised_share()));
  if (const auto full_service_after = recovery_->timeline().in_service)
    status.full_service_ms =
        std::uint32_t(std::clamp<std::int64_t>(to_ms(*full_service_after), 1, kMaxFullServiceMs));
  return status;
}

// Returns the progress of the cores' warm-up: 0 at the kernel's cold start, 1 or more when it is over.
double Edge::warmup_fraction(TimePoint now) const {
  if (!settings_.settings.cold.value_or(true)) return 1;
  return double((now - kernel_started_at_).count()) / std::max(double(warm_up_time().count()), 1.0);
}

// Returns the maximum time from a cold start of the kernel to the cores' full speed.
Duration Edge::warm_up_time() const { return settings_.settings.warm_up.value_or(kDefaultWarmUp); }

}  // namespace granitegap::edge
