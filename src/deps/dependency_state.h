// The state that ScatterGather keeps for one dependency: its endpoints and limits, its recent latencies, the
// queue of calls that wait for the concurrency limit, and the probes of its endpoints.
//
// Used by one thread; uses no clock and does no I/O.
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

// Quantiles of the recent latencies; zero where there are too few samples.
struct LatencySummary {
  Duration median{};
  Duration timeout_base{};  // the 99th percentile, which attempt timeouts are a multiple of
  Duration hedge_delay{};   // the declared hedge quantile, after which a hedged request starts
};

// The result of the latest probe of one endpoint, as disseminated to the other members of the fleet.
struct ProbeResult {
  std::uint64_t endpoint_key = 0;  // from DependencyState::endpoint_keys
  TimePoint at{};
  bool is_down = true;  // false: the endpoint answered
};

// The state of one dependency.
struct DependencyState {
  explicit DependencyState(const DependencySpec& declared);
  // Applies a new declaration; keeps latencies, limits and the state of endpoints that remain declared.
  void update(const DependencySpec& declared);

  void record_latency(Duration latency, TimePoint now);
  // Returns the summary of recent latencies, which is recomputed after 16 samples or 50 ms.
  const LatencySummary& latency_summary(TimePoint now);

  void record_probe(std::uint32_t endpoint, bool is_down, TimePoint now);
  // Maximum age of a probe result that is disseminated.
  Duration probe_result_lifetime() const { return kProbeResultIntervals * spec.max_probe_interval; }

  // Returns whether the concurrency limit admits another attempt.
  bool has_free_slot() const { return fleet_share != 0u && in_flight < limit.limit(); }

  DependencySpec spec;
  EndpointSet endpoints;
  ConcurrencyLimit limit;
  RetryBudget budget;
  CircuitBreaker circuit;
  std::uint32_t in_flight = 0;  // number of attempts in flight
  // The share of this process in the fleet-wide limit; kNoCap without such a limit. Absent until the limit is
  // first divided.
  std::optional<std::uint32_t> fleet_share;
  CallQueue queue;  // calls that wait for the concurrency limit

  std::vector<std::uint64_t> endpoint_keys;  // by endpoint: its hash, the same in every member of the fleet
  std::vector<ProbeResult> probe_results;
  std::uint32_t next_probed = 0;  // the endpoint at which the search for the next one to probe begins

 private:
  static constexpr int kProbeResultIntervals = 4;
  void update_endpoint_keys();

  LatencyWindow latency_;
  LatencySummary summary_;
  TimePoint summary_computed_{};
  std::uint32_t samples_since_summary_ = 0;
};

}  // namespace granitegap::deps
