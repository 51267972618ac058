#include "recovery/fleet_status.h"

#include <algorithm>
#include <map>
#include <string_view>

#include "recovery/recovery_phase.h"

namespace granitegap::recovery {
namespace {

using membership::Stage;
using membership::Status;
using Peer = membership::View::Peer;

struct ZoneCount {
  double members = 0;
  double recovering = 0;
};
using ZoneCounts = std::map<std::string_view, ZoneCount>;

// Uses the stage of a peer that advertises no recovery phase.
bool is_in_service(const Peer& peer) {
  if (peer.status != Status::alive) return false;
  const auto phase = peer.metadata.recovery_status.phase;
  if (phase > 0) return phase == to_metadata_value(Phase::in_service);
  return peer.metadata.stage != Stage::starting;
}

bool has_metadata(const Peer& peer) { return peer.metadata.version > 0; }

// Returns the mean of the zones' recovering shares; every zone has the same weight.
double mean_recovering_share(const ZoneCounts& zones) {
  double share = 0;
  for (const auto& [name, zone] : zones) share += zone.recovering / zone.members / double(zones.size());
  return share;
}

}  // namespace

FleetStatus summarize_fleet(const membership::View& view) {
  FleetStatus status;
  ZoneCounts zones;
  std::size_t present = 0;
  std::size_t without_metadata = 0;
  for (const auto& peer : view.peers) {
    if (peer.status == Status::left) continue;
    const bool alive = peer.status == Status::alive;
    if (alive && !has_metadata(peer)) {
      ++without_metadata;
      continue;
    }
    const bool in_service = is_in_service(peer);
    present += alive;
    status.peers_in_service += in_service;
    auto& zone = zones[peer.metadata.zone];
    zone.members += 1;
    zone.recovering += !in_service;
  }
  // Members that count towards the agreed fleet size but are no longer listed are missing too.
  const auto agreed_peers = std::max<std::size_t>(view.fleet_size, 1) - 1;
  status.peers = std::max(agreed_peers - std::min(agreed_peers, without_metadata), present);
  status.certain =
      view.has_quorum && !view.uncertain && view.local_connectivity == membership::LocalConnectivity::ok;
  if (status.peers == 0) return status;
  const auto peers = double(status.peers);
  status.missing_share = double(status.peers - present) / peers;
  const auto recovering = status.peers - std::min(status.peers_in_service, status.peers);
  status.recovering_share = std::max(double(recovering) / peers, mean_recovering_share(zones));
  return status;
}

}  // namespace granitegap::recovery
