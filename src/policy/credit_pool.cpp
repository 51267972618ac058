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

// The ceiling lets every active caller double the number of requests that the busiest caller has open here.
// A busy caller is then not limited without overload, and at the start of an overload the pool is not so
// large that it takes many updates to shrink.
double AdmissionController::Impl::pool_ceiling() const {
  std::map<CallerId, int> open_requests;
  int max_open = 0;
  for (const auto& [id, request] : requests)
    max_open = std::max(max_open, ++open_requests[request.arrival.caller]);
  return std::max(pool_floor(), active_callers() * kOvercommit * (1 + max_open));
}

// Core utilization is a mean over the recent past, and the number of runnable tasks is current. With the mean
// alone, the run limit would keep growing during a burst, past the point where the machine thrashes, until
// the mean caught up.
bool AdmissionController::Impl::cores_idle() const {
  return core_utilization >= 0 && core_utilization < kBusyUtilization && runnable_tasks < cores;
}

double AdmissionController::Impl::worst_class_delay_ratio() {
  double worst = std::exchange(arrival_delay_ratio, 0);
  for (auto& [id, request] : requests) {
    if (request.phase != Phase::queued) continue;
    worst = std::max(worst, to_seconds(now - request.arrived_at) / to_seconds(delay_target(request)));
  }
  return worst;
}

// Returns the paper's bounded multiplicative decrease for a delay of `ratio` times its target.
double AdmissionController::Impl::decrease_factor(double ratio) {
  return std::max(1 - kBeta * (ratio - 1), kMaxDecrease);
}

// Returns the weight of one update in a mean over `window_s` seconds.
double AdmissionController::Impl::update_weight(double window_s) const {
  return std::min(1.0, to_seconds(update_interval) / window_s);
}

void AdmissionController::Impl::update_pool() {
  worst_delay_ratio = worst_class_delay_ratio();
  resize_pool();
  decrease_rate += ((worst_delay_ratio > 1) - decrease_rate) * update_weight(kPersistentWindowSeconds);
  unread_ratio += (newest_unread_ratio - unread_ratio) * update_weight(kUnreadWindowSeconds);
  update_admitted_fraction();
  log_overload_change();
  update_endpoint_health();
}

// Applies additive increase and multiplicative decrease (AIMD) to the credit pool.
void AdmissionController::Impl::resize_pool() {
  if (worst_delay_ratio > 1) {
    credit_pool *= decrease_factor(worst_delay_ratio);
  } else {
    const double step = std::max(kAlphaShare * credit_pool, active_callers());
    credit_pool += cores_idle() && count(Phase::queued) > 0 ? step * kIdleGrowthFactor : step;
  }
  const double floor = worst_delay_ratio > 1 ? run_limit : pool_floor();
  credit_pool = std::clamp(credit_pool, floor, std::max(pool_ceiling(), floor));
}

void AdmissionController::Impl::update_admitted_fraction() {
  const double drop_ratio = cores_idle() ? 0 : unread_ratio / kDropRatio;
  if (drop_ratio > 1)
    admitted_fraction = std::max(admitted_fraction * decrease_factor(drop_ratio), kMinAdmittedFraction);
  else
    admitted_fraction =
        std::min(admitted_fraction + kAdmittedFractionStep * to_seconds(update_interval), 1.0);
}

// Logs the start and the end of an overload, each only after the change has lasted, so that short spikes do
// not fill the log.
void AdmissionController::Impl::log_overload_change() {
  if ((worst_delay_ratio > 1) == overloaded) overload_change_since = now;
  if (now - overload_change_since < kOverloadLogDelay) return;
  overloaded = !overloaded;
  overload_change_since = now;
  log(overloaded ? "overload started: waits exceed the delay target; shrinking the credit pool"
                 : "overload ended: waits are within the delay target; letting the credit pool grow");
}

// As in the paper, successive decreases distinguish persistent overload from a spike. Only in persistent
// overload are callers requested not to retry elsewhere: other servers are likely in the same state, and each
// rejection costs a read.
bool AdmissionController::Impl::persistent_overload() const {
  return decrease_rate > kPersistentDecreaseRate;
}

void AdmissionController::Impl::advertise() {
  if (settings.advertised_value.value_or(AdvertisedValue::none) != AdvertisedValue::credits) return;
  double credit = credit_pool / active_callers();
  if (worst_delay_ratio <= 1) credit = std::max(credit, 1.0);
  // The bound is divided among all configured callers, including those not seen yet. Otherwise the sum of the
  // credits could exceed what a cold server survives.
  if (warm_speed() < 1)
    credit = std::min(credit, survivable_concurrency() / std::max(configured_callers, active_callers()));
  credit = accepts_work() ? credit * credit_fraction : 0;
  const bool advertised_before = advertised_credit >= 0;
  if (advertised_before && std::abs(credit - advertised_credit) < kMinCreditChange * advertised_credit)
    return;
  advertised_credit = credit;
  act(AdvertiseCredit{credit});
}

void AdmissionController::Impl::remove_inactive_callers() {
  const Duration ttl = settings.advertised_value_ttl.value_or(seconds(1));
  const Duration max_inactive = std::max<Duration>(ttl * kInactiveCallerTtls, kMinInactiveTime);
  std::erase_if(caller_last_seen, [&](const auto& seen) { return now - seen.second > max_inactive; });
}

}  // namespace granitegap
