// What ScatterGather knows and decides with for one dependency: its endpoints and limits, its recent
// latencies, the queue of calls that wait for the concurrency limit, and the probes of its endpoints.
//
// Used by one thread, without clock or I/O.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "deps/call_table.h"
#include "deps/endpoints.h"
#include "deps/latency_window.h"
#include "deps/limits.h"
#include "deps/spec.h"

namespace granitegap::deps {

// Recent latencies; zero where there are too few samples.
struct LatencySummary {
  Duration median{};
  Duration timeout_base{};  // the quantile that timeouts are a multiple of
  Duration hedge_delay{};   // the quantile after which a hedged attempt starts
};

// The latest probe of one endpoint, as gossiped to the other members of the fleet.
struct ProbeResult {
  std::uint64_t endpoint_key = 0;  // DependencyState::endpoint_keys
  TimePoint at{};
  bool is_down = true;  // false: the endpoint answered
};

struct DependencyState {
  explicit DependencyState(const DependencySpec& declared);
  // Takes a new declaration and keeps what has been learned.
  void update(const DependencySpec& declared);

  void record_latency(Duration latency, TimePoint now);
  // Recomputed every 16 samples or 50 ms.
  const LatencySummary& latency_summary(TimePoint now);

  void record_probe(std::uint32_t endpoint, bool is_down, TimePoint now);
  // Results older than this are not gossiped.
  Duration probe_result_lifetime() const { return kProbeResultIntervals * spec.max_probe_interval; }

  bool has_free_slot() const { return fleet_share != 0u && in_flight < limit.limit(); }

  DependencySpec spec;
  EndpointSet endpoints;
  ConcurrencyLimit limit;
  RetryBudget budget;
  CircuitBreaker circuit;
  std::uint32_t in_flight = 0;  // attempts
  // This process's part of the fleet-wide limit; kNoCap where there is no such limit. Absent before the first
  // division.
  std::optional<std::uint32_t> fleet_share;
  CallQueue queue;  // calls that wait for the concurrency limit

  std::vector<std::uint64_t> endpoint_keys;  // by endpoint: its name among the members of the fleet
  std::vector<ProbeResult> probe_results;
  std::uint32_t next_probed = 0;  // the endpoint at which the choice of the next one to probe begins

 private:
  static constexpr int kProbeResultIntervals = 4;
  void update_endpoint_keys();

  LatencyWindow latency_;
  LatencySummary summary_;
  TimePoint summary_computed_{};
  std::uint32_t samples_since_summary_ = 0;
};

}  // namespace granitegap::deps
