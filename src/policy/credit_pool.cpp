// CoreSync's delay-driven credit pool: the AIMD update over the worst class's delay ratio, the fraction
// admitted in deep overload, and the credit advertised to callers.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

double AdmissionController::Impl::active_callers() const {
  return std::max<double>(1, double(caller_last_seen.size()));
}

double AdmissionController::Impl::pool_floor() const {
  return run_limit + std::max(configured_callers, active_callers());
}

// Capacity for every active caller to double what the busiest of them has open here: a busy caller is never
// held back without overload, and overload never starts from a pool that must shrink a long way first.
double AdmissionController::Impl::pool_ceiling() const {
  std::map<CallerId, int> open;
  int most = 0;
  for (const auto& [id, request] : requests) most = std::max(most, ++open[request.arrival.caller]);
  return std::max(pool_floor(), active_callers() * kOvercommit * (1 + most));
}

// Core utilization is a mean over the past, the runnable tasks are now: guards against a limit that goes on
// growing, past where a machine thrashes, until the mean has caught up with a rush.
bool AdmissionController::Impl::cores_idle() const {
  return core_utilization >= 0 && core_utilization < kBusyCores && runnable_tasks < cores;
}

double AdmissionController::Impl::ratio_of_worst_class() {
  double worst = std::exchange(arrival_delay_ratio, 0);
  for (auto& [id, request] : requests) {
    if (request.phase != Phase::queued) continue;
    worst = std::max(worst, to_seconds(now - request.arrived_at) / to_seconds(delay_target(request)));
  }
  return worst;
}

// The paper's multiplicative decrease, bounded, for a delay of `ratio` times its target.
double AdmissionController::Impl::decrease_factor(double ratio) {
  return std::max(1 - kBeta * (ratio - 1), kMaxDecrease);
}

// The weight of one update in a mean over `window_s` seconds.
double AdmissionController::Impl::update_weight(double window_s) const {
  return std::min(1.0, to_seconds(update_interval) / window_s);
}

void AdmissionController::Impl::update_pool() {
  worst_delay_ratio = ratio_of_worst_class();
  resize_pool();
  decrease_rate += ((worst_delay_ratio > 1) - decrease_rate) * update_weight(kPersistentSeconds);
  unread_ratio += (newest_unread_ratio - unread_ratio) * update_weight(kUnreadSeconds);
  update_admitted_fraction();
  note_overload();
  update_endpoint_health();
}

// Additive increase, multiplicative decrease.
void AdmissionController::Impl::resize_pool() {
  if (worst_delay_ratio > 1) {
    credit_pool *= decrease_factor(worst_delay_ratio);
  } else {
    const double step = std::max(kAlphaShare * credit_pool, active_callers());
    credit_pool += cores_idle() && count(Phase::queued) > 0 ? step * kIdleGrowth : step;
  }
  const double floor = worst_delay_ratio > 1 ? run_limit : pool_floor();
  credit_pool = std::clamp(credit_pool, floor, std::max(pool_ceiling(), floor));
}

void AdmissionController::Impl::update_admitted_fraction() {
  const double drop_ratio = cores_idle() ? 0 : unread_ratio / kDropRatio;
  if (drop_ratio > 1)
    admitted_fraction = std::max(admitted_fraction * decrease_factor(drop_ratio), kMinAdmitted);
  else
    admitted_fraction = std::min(admitted_fraction + kAdmitStep * to_seconds(update_interval), 1.0);
}

// Logged only when a change has lasted, so that a line means something to those on call.
void AdmissionController::Impl::note_overload() {
  if ((worst_delay_ratio > 1) == overloaded) overload_change_since = now;
  if (now - overload_change_since < kOverloadLogDelay) return;
  overloaded = !overloaded;
  overload_change_since = now;
  log(overloaded ? "overload: waits over target" : "overload over: waits under target");
}

// As in the paper, successive decreases mark persistent overload as against a spike. Only then are callers
// asked not to retry elsewhere: other servers are likely in the same state, and each rejection costs a read.
bool AdmissionController::Impl::persistent_overload() const { return decrease_rate > kPersistentRate; }

void AdmissionController::Impl::advertise() {
  if (settings.advertised_value.value_or(AdvertisedValue::none) != AdvertisedValue::credits) return;
  double credit = credit_pool / active_callers();
  if (worst_delay_ratio <= 1) credit = std::max(credit, 1.0);
  // All callers together, those that have not come yet too: guards against a cold server that falls by the
  // sum of what each was offered.
  if (warm_speed() < 1)
    credit = std::min(credit, survivable_concurrency() / std::max(configured_callers, active_callers()));
  credit = accepts_work() ? credit * credit_fraction : 0;
  const bool advertised_before = advertised_credit >= 0;
  if (advertised_before && std::abs(credit - advertised_credit) < kCreditChange * advertised_credit) return;
  advertised_credit = credit;
  act(AdvertiseCredit{credit});
}

void AdmissionController::Impl::forget_quiet_callers() {
  const Duration ttl = settings.advertised_value_ttl.value_or(seconds(1));
  const Duration quiet = std::max<Duration>(ttl * kQuietTtls, kMinQuiet);
  std::erase_if(caller_last_seen, [&](const auto& seen) { return now - seen.second > quiet; });
}

}  // namespace granitegap
