// The options of a process fleet; see process_fleet.h.
#pragma once
#include <chrono>
#include <cstdint>
#include <string>

#include "granitegap/policy.h"

namespace granitegap::fleet {

// How the processes of a fleet are configured and started.
struct ProcessFleetOptions {
  std::string program;            // path of the granitegap executable
  std::size_t size = 3;           // processes: n0, n1, ...
  std::size_t zones = 3;          // spread over the processes in turn
  std::size_t seeds = 3;          // the first processes, listed as membership seeds
  std::uint64_t seed = 1;         // of the network's faults and the processes' own seeds
  std::string membership_fields;  // more fields of `membership`: "period: 200ms"
  std::string operator_file = "dependencies: []\ngathers: []\n";  // the operator file apart from `membership`
  bool with_membership = true;     // false: the operator file has no `membership`
  bool with_operator_file = true;  // false: none is given, as on the platform
  bool plain_membership = false;   // --plain-membership, the baseline of benchmarks
  Duration idempotency_window =
      std::chrono::milliseconds(8949);  // `repeat_window_ms` of the idempotent class
  bool secondary_paths = false;         // a second address over IPv6, which bypasses the stand-in network
  bool ipv6 = false;                    // primary addresses over IPv6 without the stand-in network
  std::string clock_shift_library;      // path of granitegap_clock_shift; needed by shift_clock()
  Duration run_cost = std::chrono::milliseconds(20);  // core time of a kernel run
  int cores = 2;                                      // of each stand-in kernel
  double warm_up_ms = 18000;           // `cold_ms`: how long a machine warms up, as the platform declares it
  double max_retry_after_ms = 1000;    // the longest backoff that clients are given
  std::size_t max_sockets = 256;       // the descriptor limit of each process
  bool admin_listener = false;         // an admin endpoint on a port of its own
  bool inherited_listener = false;     // the fleet keeps the listening socket and sets $TMPDIR per name
  bool create_shared_folder = true;    // false: with `inherited_listener`, that $TMPDIR does not exist
  std::uint16_t load_report_port = 0;  // where load reports go; 0: a port that nobody reads
};

}  // namespace granitegap::fleet
