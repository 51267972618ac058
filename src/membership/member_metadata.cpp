// Metadata that this member publishes about itself.
#include <algorithm>
#include <cstdlib>

#include "membership/member.h"

namespace granitegap::membership {
namespace {

// Minimum change of load, in percentage points, that is published.
constexpr int kMinLoadChange = 10;
constexpr unsigned kLoadChangeInterval = 4;  // periods between published changes of load

}  // namespace

void Member::publish_metadata(TimePoint now) {
  ++metadata_.version;
  dissemination_queue_.add(own_record(true), now);
}

void Member::update_metadata(Stage stage, std::uint8_t warmup_percent, std::uint8_t pressure_percent,
                             std::vector<EndpointHealth> endpoint_health, TimePoint now) {
  if (leave_.started) stage = Stage::leaving;
  if (endpoint_health.size() > kMaxEndpointHealth) endpoint_health.resize(kMaxEndpointHealth);
  if (is_small_load_change(stage, warmup_percent, pressure_percent, endpoint_health, now)) return;
  load_published_at_ = now;
  metadata_.stage = stage;
  metadata_.warmup_percent = warmup_percent;
  metadata_.pressure_percent = pressure_percent;
  metadata_.endpoint_health = std::move(endpoint_health);
  publish_metadata(now);
}

// Returns whether the change is too small or too early to publish. Load changes with every request, so the
// gossip of a large fleet would otherwise carry little else.
bool Member::is_small_load_change(Stage stage, std::uint8_t warmup_percent, std::uint8_t pressure_percent,
                                  const std::vector<EndpointHealth>& endpoint_health, TimePoint now) const {
  if (metadata_.stage != stage || metadata_.endpoint_health != endpoint_health) return false;
  const int change = std::max(std::abs(int(metadata_.warmup_percent) - int(warmup_percent)),
                              std::abs(int(metadata_.pressure_percent) - int(pressure_percent)));
  return change < kMinLoadChange ||
         now - load_published_at_ < options_.period * std::int64_t(kLoadChangeInterval);
}

void Member::update_metadata(const RecoveryStatus& recovery_status, TimePoint now) {
  auto with_new_offer = metadata_.recovery_status;
  with_new_offer.offered_percent = recovery_status.offered_percent;
  const int change =
      std::abs(int(metadata_.recovery_status.offered_percent) - int(recovery_status.offered_percent));
  if (with_new_offer == recovery_status) {
    const bool small = change < kMinLoadChange || now - load_published_at_ < options_.period;
    const bool full_offer = recovery_status.offered_percent >= 100;
    if (change == 0 || (small && !full_offer)) return;
  }
  metadata_.recovery_status = recovery_status;
  publish_metadata(now);
}

void Member::publish_links_and_conflict() {
  metadata_.conflicting_address = conflict_.address.value_or(Address{});
  metadata_.links.clear();
  for (const auto member : monitored_links_) {
    const auto& state = roster_.at(member);
    if (state.known && state.link_broken && metadata_.links.size() < kMaxLinkFaults)
      metadata_.links.push_back({state.hash, state.link_inbound});
  }
  publish_metadata(now_);
}

}  // namespace granitegap::membership
