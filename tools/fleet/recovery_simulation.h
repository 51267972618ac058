// A simulated fleet that comes back: the real admission module and the real course of the return, one of each
// a server, under one virtual clock, with cores that warm up and callers without a limit on their tries. For
// the metastable case at sizes that no machine holds. A run is a function of its options.
//
// Not modelled: the network, drains, keys, gathers. A server's view of the fleet is the truth of half a
// second ago.
#pragma once
#include <cstdint>
#include <vector>

#include "recovery/recovery_controller.h"

namespace granitegap::fleet {

struct RecoverySimulationOptions {
  std::size_t servers = 24;
  std::uint64_t seed = 1;
  double restarted_share = 0.8;  // restarted at once, with cold cores
  double load = 0.8;             // first tries, of what all warm cores can do
  Duration warm_period = std::chrono::seconds(10), observed_period = std::chrono::seconds(40);
  Duration run_cost = std::chrono::milliseconds(50), warm_up = std::chrono::seconds(15);
  double cold_from = 0.2;
  Duration attempt_timeout = std::chrono::milliseconds(1200);  // of one try
  Duration round_trip = std::chrono::milliseconds(20);
  bool with_recovery = true;
  recovery::RecoveryOptions recovery;
};

struct RecoverySimulationResult {
  std::vector<double> served;            // requests, by the second in which they were wanted
  std::vector<double> advertised_share;  // the mean of all courses, by second
  double served_per_second_before = 0;   // served a second before the restart
  double full_service_s = -1;            // as granitegap_bench_recovery counts it
  double lost_s = 0;                     // in seconds of `before`
  std::uint64_t runs = 0, answered = 0, attempts = 0, unserved = 0;
  double max_advertised_over_verified = 0;  // offered over proven, at the most
  std::size_t not_in_service_at_end = 0;    // courses not in full service at the end
};

RecoverySimulationResult simulate_recovery(const RecoverySimulationOptions& options);

}  // namespace granitegap::fleet
