#include "membership/local_health.h"

#include <algorithm>
#include <cmath>

namespace granitegap::membership {
namespace {

constexpr double kFailsGain = 0.05;  // weight of the newest probe in the usual share of failures
constexpr double kFailsMost = 0.5;   // a share over this is a fault, not usual loss
constexpr double kEvidence = 9;      // as a natural logarithm: one in 8,000 by chance
constexpr unsigned kMinInARow = 3;   // failures before 'unheard', however rare they are

}  // namespace

const char* text_of(LocalConnectivity local_connectivity) {
  switch (local_connectivity) {
    case LocalConnectivity::ok:
      return "ok";
    case LocalConnectivity::outbound_broken:
      return "unheard";
    case LocalConnectivity::inbound_broken:
      return "deaf";
  }
  return "?";
}

LocalHealth::LocalHealth(const Options& options, TimePoint now) : options_(options), heard_at_(now) {}

void LocalHealth::worse(unsigned by) { worse_ = std::min(worse_ + by, options_.max_health_multiplier); }

std::optional<Duration> LocalHealth::woke(TimePoint now, TimePoint due) {
  if (options_.baseline_mode || now - due <= options_.period / 2) return std::nullopt;
  const auto late = now - due;
  const auto periods = late / options_.period;
  worse(unsigned(std::clamp<std::int64_t>(periods, 1, 3)));
  // What waits in the socket is heard in the meantime: two periods bring at least one probe of somebody's.
  if (periods >= 1) {
    listen_until_ = std::max(listen_until_, now + 2 * options_.period);
    heard_at_ = std::max(heard_at_, now);  // silence during a pause is nobody's
    evidence_ = 0;
    in_a_row_ = 0;
  }
  return late;
}

void LocalHealth::probe_answered() {
  fails_ += (0 - fails_) * kFailsGain;
  in_a_row_ = 0;
  evidence_ = 0;
  if (worse_) --worse_;
  if (local_connectivity_ == LocalConnectivity::outbound_broken) local_connectivity_ = LocalConnectivity::ok;
}

// Whoever is silent itself says nothing of my own path: guards against the smaller part of a fleet that was
// cut in two taking itself for unheard.
void LocalHealth::probe_failed(bool helpers_silent, bool target_heard) {
  if (helpers_silent) worse(1);
  ++in_a_row_;
  if (target_heard) evidence_ -= std::log(std::clamp(fails_, 0.02, kFailsMost));
  fails_ = std::min(kFailsMost, fails_ + (1 - fails_) * kFailsGain);
}

void LocalHealth::refutation_lost() {
  if (in_a_row_ > 0) evidence_ += kEvidence / 3;
}

void LocalHealth::judge(TimePoint now, std::size_t others) {
  if (options_.baseline_mode || others == 0) return void(local_connectivity_ = LocalConnectivity::ok);
  if (now - heard_at_ > options_.inbound_silence_timeout())
    return void(local_connectivity_ = LocalConnectivity::inbound_broken);
  if (local_connectivity_ == LocalConnectivity::inbound_broken) local_connectivity_ = LocalConnectivity::ok;
  if (in_a_row_ >= kMinInARow && evidence_ >= kEvidence)
    local_connectivity_ = LocalConnectivity::outbound_broken;
}

}  // namespace granitegap::membership
