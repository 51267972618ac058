#include "warm_state/warm_state.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace granitegap::warm_state {
namespace {

// Age at which a latency has half the weight of a new one.
constexpr Duration kWeightHalfLife = std::chrono::seconds(10);

using EndpointKey = std::tuple<std::string, std::string, std::uint16_t>;  // dependency, host, port
using ResponseKey = std::pair<std::string, std::string>;                  // dependency, path
using EndpointReports = std::vector<const Endpoint*>;

// One cached response, combined over all states that contain it.
struct MergedResponse {
  const CachedResponse* youngest = nullptr;
  std::size_t holders = 0;        // number of states that contain it
  std::size_t best_position = 0;  // lowest position in any of them
};
using MergedResponses = std::map<ResponseKey, MergedResponse>;

bool is_ejected(const Endpoint& endpoint) { return endpoint.ejected_for > Duration{}; }

// Returns the weight of a measurement of the given age, 0 to 1.
double decayed_weight(Duration age) {
  return std::exp2(-double(std::max(age, Duration{}).count()) / double(kWeightHalfLife.count()));
}

// Keeps the endpoints with the longest ejections, then the highest latencies.
void limit_endpoints(std::vector<Endpoint>& endpoints) {
  if (endpoints.size() <= kMaxEndpoints) return;
  const auto more_relevant = [](const Endpoint& a, const Endpoint& b) {
    return std::pair(a.ejected_for, a.latency) > std::pair(b.ejected_for, b.latency);
  };
  std::nth_element(endpoints.begin(), endpoints.begin() + kMaxEndpoints, endpoints.end(), more_relevant);
  endpoints.resize(kMaxEndpoints);
}

// Keeps the first responses that fit into the limits on count and total size.
void limit_cached_responses(std::vector<CachedResponse>& responses) {
  std::erase_if(responses, [](const CachedResponse& response) { return !is_within_limits(response); });
  const auto max_count = std::min(responses.size(), kMaxCachedResponses);
  std::size_t bytes = 0;
  std::size_t count = 0;
  for (; count < max_count; ++count) {
    bytes += size_in_bytes(responses[count]);
    if (bytes > kMaxCachedResponseBytes) break;
  }
  responses.resize(count);
}

// Returns the weighted median of the reports by latency. Sorts `reports` by latency.
const Endpoint& weighted_median(EndpointReports& reports) {
  std::sort(reports.begin(), reports.end(), [](auto* a, auto* b) { return a->latency < b->latency; });
  double total = 0;
  for (const auto* report : reports) total += decayed_weight(report->latency_age);
  double sum = 0;
  for (const auto* report : reports) {
    sum += decayed_weight(report->latency_age);
    if (sum >= total / 2) return *report;
  }
  return *reports.back();
}

// Whether the reports of an ejection outweigh the others. An ejection has the weight of a new measurement:
// its latency is old because the endpoint is not called, but the ejection itself is current.
bool majority_ejects(const EndpointReports& reports) {
  double ejected = 0;
  double available = 0;
  for (const auto* report : reports) {
    if (is_ejected(*report)) {
      ejected += 1;
    } else {
      available += decayed_weight(report->latency_age);
    }
  }
  return ejected > available;
}

// Applies the shortest reported ejection, because probing the endpoint too early is better than too late.
void set_shortest_ejection(Endpoint& merged, const EndpointReports& reports) {
  for (const auto* report : reports) {
    if (!is_ejected(*report)) continue;
    if (is_ejected(merged) && report->ejected_for >= merged.ejected_for) continue;
    merged.ejected_for = report->ejected_for;
    merged.consecutive_ejections = report->consecutive_ejections;
  }
}

// Merges the reports of one endpoint.
Endpoint merge_endpoint(const EndpointReports& reports) {
  Endpoint merged;
  merged.dependency = reports.front()->dependency;
  merged.host = reports.front()->host;
  merged.port = reports.front()->port;
  EndpointReports measured;
  for (const auto* report : reports)
    if (report->latency > Duration{}) measured.push_back(report);
  if (!measured.empty()) {
    const auto& median = weighted_median(measured);
    merged.latency = median.latency;
    merged.latency_age = median.latency_age;
  }
  if (majority_ejects(reports)) set_shortest_ejection(merged, reports);
  return merged;
}

// Adds the cached responses of one state.
void collect_responses(MergedResponses& merged, const std::vector<CachedResponse>& responses) {
  for (std::size_t position = 0; position < responses.size(); ++position) {
    const auto& response = responses[position];
    auto& entry = merged[{response.dependency, response.path}];
    if (!entry.youngest || response.age < entry.youngest->age) entry.youngest = &response;
    entry.best_position = entry.holders == 0 ? position : std::min(entry.best_position, position);
    ++entry.holders;
  }
}

// Returns the responses with the most holders first, then by their best position.
std::vector<CachedResponse> sort_by_relevance(const MergedResponses& merged) {
  std::vector<MergedResponse> order;
  for (const auto& [key, entry] : merged) order.push_back(entry);
  std::stable_sort(order.begin(), order.end(), [](const MergedResponse& a, const MergedResponse& b) {
    return std::pair(b.holders, a.best_position) < std::pair(a.holders, b.best_position);
  });
  std::vector<CachedResponse> responses;
  responses.reserve(order.size());
  for (const auto& entry : order) responses.push_back(*entry.youngest);
  return responses;
}

void age_endpoints(std::vector<Endpoint>& endpoints, Duration age) {
  for (auto& endpoint : endpoints) {
    endpoint.ejected_for = std::max(endpoint.ejected_for - age, Duration{});
    endpoint.latency_age += age;
    if (endpoint.latency_age > kLatencyLifetime) endpoint.latency = {};
  }
  std::erase_if(endpoints, [](const Endpoint& endpoint) {
    return !is_ejected(endpoint) && endpoint.latency <= Duration{};
  });
}

void age_cached_responses(std::vector<CachedResponse>& responses, Duration age) {
  for (auto& response : responses) response.age += age;
  std::erase_if(responses,
                [](const CachedResponse& response) { return response.age > kCachedResponseLifetime; });
}

}  // namespace

std::size_t size_in_bytes(const CachedResponse& response) {
  return response.body->size() + response.path.size() + response.dependency.size();
}

bool is_within_limits(const CachedResponse& response) {
  return response.body && response.body->size() <= kMaxBodyBytes && !response.path.empty() &&
         response.path.size() <= kMaxPathLength;
}

void enforce_limits(WarmState& state) {
  limit_endpoints(state.endpoints);
  if (state.members.size() > kMaxMembers) state.members.resize(kMaxMembers);
  limit_cached_responses(state.cached_responses);
}

WarmState merge(const std::vector<WarmState>& states) {
  std::map<EndpointKey, EndpointReports> endpoints;
  std::set<membership::Address> members;
  MergedResponses responses;
  for (const auto& state : states) {
    collect_responses(responses, state.cached_responses);
    for (const auto& endpoint : state.endpoints)
      endpoints[{endpoint.dependency, endpoint.host, endpoint.port}].push_back(&endpoint);
    members.insert(state.members.begin(), state.members.end());
  }
  WarmState merged;
  for (const auto& [key, reports] : endpoints) merged.endpoints.push_back(merge_endpoint(reports));
  merged.members.assign(members.begin(), members.end());
  merged.cached_responses = sort_by_relevance(responses);
  enforce_limits(merged);
  return merged;
}

WarmState age_by(WarmState state, std::optional<Duration> age) {
  if (!age || *age < Duration{}) {
    // The ejections and responses may be of any age, for example an hour old.
    state.endpoints.clear();
    state.cached_responses.clear();
    return state;
  }
  age_endpoints(state.endpoints, *age);
  age_cached_responses(state.cached_responses, *age);
  if (*age > kMembersLifetime) state.members.clear();
  return state;
}

}  // namespace granitegap::warm_state
