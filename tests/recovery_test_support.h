// Shared by the tests of recovery decisions: builders of peers, membership views and donors' warm states.
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

// Returns an alive peer that advertises a state transfer port.
inline View::Peer make_peer(const std::string& name, Phase phase, const std::string& zone = "a") {
  View::Peer peer;
  peer.name = name;
  peer.hash = membership::name_hash(name);
  peer.metadata.zone = zone;
  peer.metadata.version = 1;
  peer.metadata.stage = Stage::serving;
  peer.metadata.recovery_status.phase = std::uint8_t(1 + std::uint8_t(phase));
  peer.metadata.recovery_status.donor_port = 9000;
  peer.metadata.boot_incarnation = 1'000'000;
  peer.address.port = 7000;
  peer.address.ip[0] = 127;
  peer.boot_id = membership::BootId(peer.hash);
  return peer;
}
// Returns a view with peers in service and peers in slow start. `missing` members count towards the fleet
// size but are not listed.
inline View make_view(std::size_t in_service, std::size_t recovering, std::size_t missing = 0) {
  View view;
  for (std::size_t k = 0; k < in_service; ++k)
    view.peers.push_back(make_peer("f" + std::to_string(k), Phase::in_service));
  for (std::size_t k = 0; k < recovering; ++k)
    view.peers.push_back(make_peer("r" + std::to_string(k), Phase::slow_start));
  view.fleet_size = 1 + in_service + recovering + missing;
  return view;
}

// Returns a warm state with one endpoint.
inline WarmState make_warm_state(Duration ejected_for, Duration latency, Duration latency_age = 0s) {
  WarmState state;
  state.endpoints = {{"e", "127.0.0.1", 9, ejected_for, ejected_for > 0s ? 1u : 0u, latency, latency_age}};
  return state;
}

}  // namespace granitegap::recovery
