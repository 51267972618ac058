// The warm state of a process: its observations of dependencies and members, from which a later incarnation
// or another member may start. A typed value of bounded size in which endpoints and cached responses carry
// their age.
//
// Warm state is only a starting point: items decay with their age, depending on their kind, and are dropped
// past a limit. The first observation of the process that uses an item takes precedence over it. Performs no
// I/O and reads no clock. The functions have no state and may be called from any thread. They report no
// errors: items that exceed a limit are dropped.
//
// | item | used for | decay |
// | --- | --- | --- |
// | an endpoint's ejection | not choosing the endpoint until it ends | the remaining time shrinks |
// | an endpoint's latency | choosing among endpoints | as the process's own observations, within seconds |
// | members' addresses | contacts besides the seeds | dropped after a day, as they are only contacted |
// | cached responses | parts of answers | by their age, compared with what each part declares |
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "granitegap/policy.h"
#include "membership/types.h"

namespace granitegap::warm_state {

inline constexpr std::size_t kMaxEndpoints = 1024;
inline constexpr std::size_t kMaxMembers = 512;
inline constexpr std::size_t kMaxCachedResponses = 512;
inline constexpr std::size_t kMaxPathLength = 1024;                              // bytes
inline constexpr std::size_t kMaxBodyBytes = std::size_t{16} * 1024;             // of one cached response
inline constexpr std::size_t kMaxCachedResponseBytes = std::size_t{128} * 1024;  // of all of them together
inline constexpr Duration kCachedResponseLifetime = std::chrono::hours(24);
inline constexpr Duration kLatencyLifetime = std::chrono::seconds(60);
inline constexpr Duration kMembersLifetime = std::chrono::hours(24);

// Observations of one endpoint of a dependency.
struct Endpoint {
  std::string dependency;  // the declared name
  std::string host;
  std::uint16_t port = 0;
  Duration ejected_for{};                   // remaining time of its ejection; zero: not ejected
  std::uint32_t consecutive_ejections = 0;  // each one lengthens the next
  Duration latency{};                       // recent peak; zero: not known
  Duration latency_age{};                   // time since the latency was measured
  bool operator==(const Endpoint&) const = default;
};

// One cached response of a dependency.
struct CachedResponse {
  std::string dependency;
  std::string path;
  std::shared_ptr<const std::string> body;  // never null
  Duration age{};                           // time since the dependency responded
  bool operator==(const CachedResponse& other) const {
    return dependency == other.dependency && path == other.path && age == other.age && *body == *other.body;
  }
};

// The warm state of one process, or of several merged into one.
struct WarmState {
  std::string process_name;
  std::uint64_t boot_id = 0;  // of the incarnation that collected it; zero: not a member of a fleet
  std::vector<Endpoint> endpoints;
  std::vector<membership::Address> members;      // alive in the last certain view, without this process
  std::vector<CachedResponse> cached_responses;  // most requested first
  bool operator==(const WarmState&) const = default;
};

// Returns the bytes that a cached response counts towards kMaxCachedResponseBytes.
std::size_t size_in_bytes(const CachedResponse& response);
// Whether a cached response is within the limits on a single one.
bool is_within_limits(const CachedResponse& response);
// Drops items that exceed the limits: endpoints with the shortest ejections and lowest latencies first,
// members and cached responses from the end.
void enforce_limits(WarmState& state);

// Merges the states of several processes into one. Each endpoint gets the weighted median of its latencies,
// in which older measurements weigh less. It is ejected only if the reports of an ejection have most of the
// weight, so that a single outlier has no effect. Each member is listed once. Of each cached response the
// youngest is kept, and those that several processes hold come first.
WarmState merge(const std::vector<WarmState>& states);

// Returns the state as it may be used after `age` has passed. If the age is unknown (nullopt) or negative,
// only the members remain.
WarmState age_by(WarmState state, std::optional<Duration> age);

}  // namespace granitegap::warm_state
