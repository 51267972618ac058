// The warm state of a process: what it has observed of dependencies and members that a later incarnation, or
// another member, may start from. A typed, bounded value in which every item carries its age.
//
// It decides nothing by itself: items decay with their age by kind, are dropped past a limit, and the first
// observation of the process that uses them takes precedence. No I/O, no clock; functions have no state and
// may be called from any thread. There are no errors: what exceeds a limit is dropped.
//
// | item | used for | decays |
// | --- | --- | --- |
// | an endpoint's ejection | not choosing it until it ends | by what is left of it |
// | an endpoint's latency | choosing among endpoints | as an own observation does, within seconds |
// | members' addresses | contacts beside the seeds | dropped after a day: they are only contacted |
// | cached responses | parts of answers | by their age, against what each part declares |
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

// What was observed of one endpoint of a dependency.
struct Endpoint {
  std::string dependency;  // its declared name
  std::string host;
  std::uint16_t port = 0;
  Duration ejected_for{};                   // what is left of its ejection; zero: not ejected
  std::uint32_t consecutive_ejections = 0;  // each makes the next one longer
  Duration latency{};                       // its recent peak; zero: not known
  Duration latency_age{};                   // since that was measured
  bool operator==(const Endpoint&) const = default;
};

// One cached response of a dependency.
struct CachedResponse {
  std::string dependency;
  std::string path;
  std::shared_ptr<const std::string> body;  // never null
  Duration age{};                           // since the dependency responded
  bool operator==(const CachedResponse& other) const {
    return dependency == other.dependency && path == other.path && age == other.age && *body == *other.body;
  }
};

struct WarmState {
  std::string process_name;
  std::uint64_t boot_id = 0;  // of the incarnation that collected it; zero: it is in no fleet
  std::vector<Endpoint> endpoints;
  std::vector<membership::Address> members;      // alive in the last certain view, without this process
  std::vector<CachedResponse> cached_responses;  // most requested first
  bool operator==(const WarmState&) const = default;
};

// The bytes that a cached response counts against kMaxCachedResponseBytes.
std::size_t size_in_bytes(const CachedResponse& response);
// Whether a single cached response may be part of a warm state.
bool is_within_limits(const CachedResponse& response);
// Drops what exceeds the limits: endpoints with the shortest ejections and latencies first, members and
// cached responses from the end.
void enforce_limits(WarmState& state);

// The states of several processes as one. Of each endpoint the weighted median of its latencies, where older
// measurements weigh less; it is ejected only where most of the weight of those that report it says so, so
// that a single outlier has no effect. Every member once, and of each cached response the youngest, those
// held by several processes first.
WarmState merge(const std::vector<WarmState>& states);

// The state as it may be used after `age` has passed. With an unknown or negative age only the members
// remain.
WarmState age_by(WarmState state, std::optional<Duration> age);

}  // namespace granitegap::warm_state
