// CoreSync's delay-driven credit pool: the AIMD update over the worst class's delay ratio, the fraction
// admitted in deep overload, the overload regime, the endpoint-list health, and the credit advertised.
// Part of the admission controller; see src/policy/controller_state.h and docs/design.md.
#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

#include "controller_state.h"

namespace granitegap {

using namespace policy;  // NOLINT(google-build-using-namespace): this module's own internal names

// ---- The pool: delay-driven AIMD over the worst class ----

double AdmissionController::Impl::active_callers() const {
  return std::max<double>(1, double(callers.size()));
}

double AdmissionController::Impl::floor_of_pool() const {
  return limit + std::max(configured_callers, active_callers());
}

// Room for every active caller to double what the busiest of them has here: a hot caller is never held back
// while calm, and overload never starts from a pool that must first be talked down.
double AdmissionController::Impl::ceiling_of_pool() const {
  std::map<CallerId, int> in_hand;
  int most = 0;
  for (const auto& [id, r] : requests) most = std::max(most, ++in_hand[r.in.caller]);
  return std::max(floor_of_pool(), active_callers() * kOvercommit * (1 + most));
}

// The use of the cores is a mean over some past, the crowd is now: guards against a limit that goes on
// growing, past where a machine thrashes, until the mean has caught up with a rush.
bool AdmissionController::Impl::cores_idle() const {
  return core_use >= 0 && core_use < kBusyCores && on_cores < cores;
}

double AdmissionController::Impl::ratio_of_worst_class() {
  double worst = std::exchange(arrival_ratio, 0);
  for (auto& [id, r] : requests)
    if (r.phase == Phase::held) worst = std::max(worst, sec(now - r.reached) / sec(target(r)));
  return worst;
}

// The paper's decrease, bounded, for a wait of so many times its bound.
double AdmissionController::Impl::decrease(double ratio) {
  return std::max(1 - kBeta * (ratio - 1), kMaxDecrease);
}

// The part of a mean over so many seconds that one update makes up.
double AdmissionController::Impl::weight_of_update(double over) const {
  return std::min(1.0, sec(update_every) / over);
}

void AdmissionController::Impl::update_pool() {
  worst_ratio = ratio_of_worst_class();
  if (worst_ratio > 1) {
    pool *= decrease(worst_ratio);
  } else {
    const double step = std::max(kAlphaShare * pool, active_callers());
    pool += cores_idle() && count(Phase::held) > 0 ? step * kIdleGrowth : step;
  }
  const double floor = worst_ratio > 1 ? limit : floor_of_pool();
  pool = std::clamp(pool, floor, std::max(ceiling_of_pool(), floor));
  decreases += ((worst_ratio > 1) - decreases) * weight_of_update(kPersistSeconds);
  unread_ratio += (newest_unread - unread_ratio) * weight_of_update(kUnreadSeconds);
  const double drop = cores_idle() ? 0 : unread_ratio / kDropRatio;
  admitted = drop > 1 ? std::max(admitted * decrease(drop), kMinAdmitted)
                      : std::min(admitted + kAdmitStep * sec(update_every), 1.0);
  note_regime();
  update_endpoint_health();
}

// A machine that turns slow reads slowly too: what deaf callers send it waits unread, where nothing here
// can refuse it in time, and only the list can keep it away. Never for waits alone: in an overload that all
// share, those that left would only add to the others' load. After a while it tries again, on new waits.
void AdmissionController::Impl::update_endpoint_health() {
  if (drain_from || !s.endpoint_list_follows_health.value_or(false)) return;
  if (unhealthy_until && now < *unhealthy_until) return;
  const bool slow = paced_runs >= kPaceRuns && pace > kSlowed * best_pace * crowding();
  if (slow && unread_ratio > kDropRatio && !unhealthy_until) {
    unhealthy_until = now + kOffTheList;
    act(SetHealth{true, false});
    log("slow: off the list for a while, pace " + std::to_string(pace / best_pace) +
        " of its best on a crowd of " + std::to_string(paced_crowd / cores) + " a core");
  } else if (unhealthy_until) {
    unhealthy_until.reset();
    newest_unread = unread_ratio = 0;
    act(SetHealth{true, true});
  }
}

// What the crowd on the cores, reading included, may by itself make of the pace: a share, and thrashing.
// Seen by the same runs as the pace, or a rush that the one shows before the other would read as a slow
// machine.
double AdmissionController::Impl::crowding() const { return std::pow(std::max(1.0, paced_crowd / cores), 2); }

// Logged only when a regime has lasted, so that a line means something to those on call.
void AdmissionController::Impl::note_regime() {
  if ((worst_ratio > 1) == overloaded) regime_since = now;
  if (now - regime_since < kRegimeLasts) return;
  overloaded = !overloaded;
  regime_since = now;
  log(overloaded ? "overload: waits over target" : "overload over: waits under target");
}

// As in the paper, successive decreases tell persistent overload from a spike. Only then are callers asked
// not to go elsewhere: elsewhere is likely the same, and each rejection costs a reading.
bool AdmissionController::Impl::persistent_overload() const { return decreases > kPersistent; }

void AdmissionController::Impl::advertise() {
  if (s.advertised_value.value_or(AdvertisedValue::none) != AdvertisedValue::credits) return;
  double credit = pool / active_callers();
  if (worst_ratio <= 1) credit = std::max(credit, 1.0);
  // All callers together, those that have not come yet too: guards against a cold server that falls by the
  // sum of what each was offered.
  if (warmth() < 1) credit = std::min(credit, crowd() / std::max(configured_callers, active_callers()));
  credit = takes_work() ? credit * offered : 0;
  if (advertised_credit >= 0 && std::abs(credit - advertised_credit) < 0.02 * advertised_credit) return;
  advertised_credit = credit;
  act(AdvertiseCredit{credit});
}

void AdmissionController::Impl::forget_quiet_callers() {
  const Duration quiet = std::max<Duration>(s.advertised_value_ttl.value_or(seconds(1)) * 5, seconds(5));
  std::erase_if(callers, [&](const auto& c) { return now - c.second > quiet; });
}

}  // namespace granitegap
