// What the tests of recovery decisions share: peers, views and donor states.
#pragma once
#include <gtest/gtest.h>

#include "recovery/donor_selection.h"
#include "recovery/recovery_controller.h"

namespace granitegap::recovery {

using namespace std::chrono_literals;
using membership::Stage;
using membership::Status;
using membership::View;
using warm_state::WarmState;

inline constexpr TimePoint kStart(100s);

inline View::Peer peer(const std::string& name, Phase phase, const std::string& zone = "a") {
  View::Peer p;
  p.name = name;
  p.hash = membership::name_hash(name);
  p.metadata.zone = zone;
  p.metadata.version = 1;
  p.metadata.stage = Stage::serving;
  p.metadata.recovery_status.phase = std::uint8_t(1 + std::uint8_t(phase));
  p.metadata.recovery_status.donor_port = 9000;
  p.metadata.boot_incarnation = 1'000'000;
  p.address.port = 7000;
  p.address.ip[0] = 127;
  p.boot_id = membership::BootId(p.hash);
  return p;
}
inline View seen(std::size_t able, std::size_t returning, std::size_t gone = 0) {
  View v;
  for (std::size_t k = 0; k < able; ++k) v.peers.push_back(peer("f" + std::to_string(k), Phase::in_service));
  for (std::size_t k = 0; k < returning; ++k)
    v.peers.push_back(peer("r" + std::to_string(k), Phase::slow_start));
  v.fleet_size = 1 + able + returning + gone;
  return v;
}

inline WarmState says(Duration out, Duration latency, Duration heard_ago = 0s) {
  WarmState l;
  l.endpoints = {{"e", "127.0.0.1", 9, out, out > 0s ? 1u : 0u, latency, heard_ago}};
  return l;
}

}  // namespace granitegap::recovery
