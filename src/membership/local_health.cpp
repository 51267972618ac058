#include "membership/local_health.h"

#include <algorithm>
#include <cmath>

namespace granitegap::membership {
namespace {

constexpr double kFailureShareGain = 0.05;       // weight of the newest probe in usual_failure_share_
constexpr double kMaxFailureShare = 0.5;         // a larger share means a fault, not usual loss
constexpr double kMinEvidence = 9;               // natural logarithm: by chance in one of 8,000 cases
constexpr unsigned kMinConsecutiveFailures = 3;  // required for outbound_broken however rare failures are

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

LocalHealth::LocalHealth(const Options& options, TimePoint now) : options_(options), last_received_at_(now) {}

void LocalHealth::raise_score(unsigned by) { score_ = std::min(score_ + by, options_.max_health_multiplier); }

std::optional<Duration> LocalHealth::detect_pause(TimePoint now, TimePoint due) {
  if (options_.baseline_mode || now - due <= options_.period / 2) return std::nullopt;
  const auto pause = now - due;
  const auto periods = pause / options_.period;
  raise_score(unsigned(std::clamp<std::int64_t>(periods, 1, 3)));
  // Leaves time to receive the datagrams that wait in the socket: within two periods at least one probe of
  // another member arrives.
  if (periods >= 1) {
    grace_period_until_ = std::max(grace_period_until_, now + 2 * options_.period);
    last_received_at_ = std::max(last_received_at_, now);  // silence during a pause is no evidence
    outbound_fault_evidence_ = 0;
    consecutive_failures_ = 0;
  }
  return pause;
}

void LocalHealth::probe_succeeded() {
  usual_failure_share_ += (0 - usual_failure_share_) * kFailureShareGain;
  consecutive_failures_ = 0;
  outbound_fault_evidence_ = 0;
  if (score_) --score_;
  if (local_connectivity_ == LocalConnectivity::outbound_broken) local_connectivity_ = LocalConnectivity::ok;
}

// A target from which nothing arrives is no evidence of a fault of this member's outbound path: the minority
// side of a partition must not conclude that its outbound path is broken.
void LocalHealth::probe_failed(bool helpers_silent, bool receives_from_target) {
  if (helpers_silent) raise_score(1);
  ++consecutive_failures_;
  if (receives_from_target)
    outbound_fault_evidence_ -= std::log(std::clamp(usual_failure_share_, 0.02, kMaxFailureShare));
  usual_failure_share_ =
      std::min(kMaxFailureShare, usual_failure_share_ + (1 - usual_failure_share_) * kFailureShareGain);
}

void LocalHealth::refutation_lost() {
  if (consecutive_failures_ > 0) outbound_fault_evidence_ += kMinEvidence / 3;
}

void LocalHealth::update(TimePoint now, std::size_t others) {
  if (options_.baseline_mode || others == 0) return void(local_connectivity_ = LocalConnectivity::ok);
  if (now - last_received_at_ > options_.inbound_silence_timeout())
    return void(local_connectivity_ = LocalConnectivity::inbound_broken);
  if (local_connectivity_ == LocalConnectivity::inbound_broken) local_connectivity_ = LocalConnectivity::ok;
  if (consecutive_failures_ >= kMinConsecutiveFailures && outbound_fault_evidence_ >= kMinEvidence)
    local_connectivity_ = LocalConnectivity::outbound_broken;
}

}  // namespace granitegap::membership
