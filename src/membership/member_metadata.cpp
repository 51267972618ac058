// What this member publishes of itself.
#include <algorithm>
#include <cstdlib>

#include "membership/member.h"

namespace granitegap::membership {
namespace {

// A change of load under this many percent points waits, and a larger one until the last one is so old.
constexpr int kMinLoadChange = 10;
constexpr unsigned kLoadChangeEvery = 4;  // periods

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

// Load changes with every request: gossip of a large fleet would carry little else.
bool Member::is_small_load_change(Stage stage, std::uint8_t warmup_percent, std::uint8_t pressure_percent,
                                  const std::vector<EndpointHealth>& endpoint_health, TimePoint now) const {
  if (metadata_.stage != stage || metadata_.endpoint_health != endpoint_health) return false;
  const int change = std::max(std::abs(int(metadata_.warmup_percent) - int(warmup_percent)),
                              std::abs(int(metadata_.pressure_percent) - int(pressure_percent)));
  return change < kMinLoadChange ||
         now - load_published_at_ < options_.period * std::int64_t(kLoadChangeEvery);
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
  for (const auto i : monitored_links_) {
    const auto& e = roster_.at(i);
    if (e.known && e.link_broken && metadata_.links.size() < kMaxLinkFaults)
      metadata_.links.push_back({e.hash, e.link_inbound});
  }
  publish_metadata(now_);
}

}  // namespace granitegap::membership
