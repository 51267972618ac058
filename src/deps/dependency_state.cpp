#include "deps/dependency_state.h"

#include <algorithm>
#include <string>

#include "membership/views.h"

namespace granitegap::deps {
namespace {

constexpr std::uint32_t kMinSamplesForTimeout = 10, kMinSamplesForHedge = 20;
constexpr double kMedian = 0.5, kTimeoutQuantile = 0.99;
constexpr std::uint32_t kSamplesPerSummary = 16;
constexpr Duration kSummaryLifetime = std::chrono::milliseconds(50);

}  // namespace

DependencyState::DependencyState(const DependencySpec& declared)
    : spec(declared),
      endpoints(declared),
      limit(declared.min_in_flight, declared.max_in_flight),
      budget(declared.retry_budget_ratio, declared.max_retry_budget),
      circuit(declared.probe_interval, declared.max_probe_interval) {
  update_endpoint_keys();
}

void DependencyState::update(const DependencySpec& declared) {
  spec = declared;
  endpoints.update(declared);
  update_endpoint_keys();
  limit.set_bounds(declared.min_in_flight, declared.max_in_flight);
  budget.configure(declared.retry_budget_ratio, declared.max_retry_budget);
  circuit.configure(declared.probe_interval, declared.max_probe_interval);
}

void DependencyState::update_endpoint_keys() {
  endpoint_keys.clear();
  for (std::uint32_t i = 0; i < endpoints.slot_count(); ++i) {
    const auto& address = endpoints.address(i);
    const auto name = spec.name + ' ' + address.host + ' ' + std::to_string(address.port);
    endpoint_keys.push_back(membership::name_hash(name));
  }
}

void DependencyState::record_latency(Duration latency, TimePoint now) {
  latency_.record(latency, now);
  ++samples_since_summary_;
}

const LatencySummary& DependencyState::latency_summary(TimePoint now) {
  if (samples_since_summary_ < kSamplesPerSummary && now - summary_computed_ < kSummaryLifetime)
    return summary_;
  samples_since_summary_ = 0;
  summary_computed_ = now;
  const auto quantile = [&](double fraction, std::uint32_t min_samples) {
    return latency_.quantile(fraction, now, min_samples).value_or(Duration{});
  };
  summary_.median = quantile(kMedian, kMinSamplesForTimeout);
  // The median of the window follows a change within seconds, the mean of the newest latencies within a few
  // responses. Without that mean a sudden increase of the latency would be treated as a failure.
  if (summary_.median.count() > 0) summary_.median = std::max(summary_.median, limit.recent_latency());
  summary_.timeout_base = quantile(kTimeoutQuantile, kMinSamplesForTimeout);
  summary_.hedge_delay =
      spec.hedge_quantile > 0 ? quantile(spec.hedge_quantile, kMinSamplesForHedge) : Duration{};
  return summary_;
}

void DependencyState::record_probe(std::uint32_t endpoint, bool is_down, TimePoint now) {
  const auto key = endpoint_keys[endpoint];
  std::erase_if(probe_results, [&](const ProbeResult& result) {
    return result.endpoint_key == key || now - result.at >= probe_result_lifetime();
  });
  probe_results.push_back({key, now, is_down});
}

}  // namespace granitegap::deps
