// How often an endpoint that is down is probed by a fleet of tile servers, each of which gathers parts all
// the time: real deps::ScatterGather objects under a virtual clock, with views of each other or without.
//
// Deterministic under its seed; no socket, no clock.
#pragma once
#include <cstddef>
#include <cstdint>

namespace granitegap::fleet {

// What the endpoint sees of an outage of 60 s.
struct HealthCheckTraffic {
  double calls_a_second = 0;  // while it is down, once all servers have opened their circuits
  double back_within_s = 0;   // from its return until the last server knows; -1: not all within 20 s
};

// `together`: the servers see each other's endpoint_health, half a second late. `gone`: the member chosen to
// probe ends in the middle of the outage. `endpoints`: of the dependency; only the first one returns.
HealthCheckTraffic simulate_outage(std::size_t servers, bool together, std::uint64_t seed, bool gone = false,
                                   std::uint16_t endpoints = 1);

}  // namespace granitegap::fleet
