// What a process has learned and a later life of it may use: a typed, bounded value, each piece with its age.
// Export and import are functions of the decision objects; nothing here does I/O or reads a clock.
//
// Nothing of it decides by itself: a piece fades with its age by kind, is dropped past a most, and the first
// evidence of one's own overrules it.
//
// | piece | used for | fades |
// | --- | --- | --- |
// | an endpoint's ejection | not choosing it until its time is over | by what is left of its time |
// | an endpoint's latency | choosing among endpoints | as one's own does, within seconds |
// | members' addresses | whom to call beside the seeds | dropped after a day: they are only asked |
// | kept answers of dependencies | parts of answers | by their age, against what each part declares |
#pragma once
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "granitegap/policy.h"
#include "membership/types.h"

namespace granitegap::warm_state {

inline constexpr std::size_t kMaxEndpoints = 1024, kMaxMembers = 512;
// Of kept answers: how many, how long a path and a body may be, and all of them together, in bytes.
inline constexpr std::size_t kMaxCachedResponses = 512, kMaxPathLength = 1024, kMaxBodyBytes = 16 * 1024,
                             kMaxCachedResponseBytes = 128 * 1024;
inline constexpr Duration kCachedResponseLifetime = std::chrono::hours(24);
inline constexpr Duration kLatencyLifetime = std::chrono::seconds(60);
inline constexpr Duration kMembersLifetime = std::chrono::hours(24);

struct Endpoint {
  std::string dependency, host;
  std::uint16_t port = 0;
  Duration ejected_for{};                   // what is left of its ejection; zero: it is in
  std::uint32_t consecutive_ejections = 0;  // in a row: the next ejection lasts longer
  Duration latency{};                       // its recent peak; zero: not known
  Duration latency_age{};                   // when that was
  bool operator==(const Endpoint&) const = default;
};

// One kept answer of a dependency.
struct CachedResponse {
  std::string dependency, path;
  std::shared_ptr<const std::string> body;  // never null
  Duration age{};                           // since the dependency answered
  bool operator==(const CachedResponse& o) const {
    return dependency == o.dependency && path == o.path && age == o.age && *body == *o.body;
  }
};

struct WarmState {
  std::string process_name;   // the process's name
  std::uint64_t boot_id = 0;  // which of its lives; 0: it takes part in no fleet
  std::vector<Endpoint> endpoints;
  std::vector<membership::Address> members;      // alive in the last certain view, without this one
  std::vector<CachedResponse> cached_responses;  // the hottest first
  bool operator==(const WarmState&) const = default;
};

std::size_t size_of(const CachedResponse& part);
// Whether it can be among what is learned at all.
bool is_within_limits(const CachedResponse& part);
// Keeps to the bounds: the endpoints with most to say, members and parts as they come.
void enforce_limits(WarmState& learned);

// What several say of the same, in one value: of each endpoint the weighted median of its latency, where what
// was heard longer ago weighs less; out only where most of the weight of those that speak of it says so. One
// that differs wildly from the others moves nothing. Each member's address once, and of each kept answer the
// youngest; those that several keep come first.
WarmState merge(const std::vector<WarmState>& several);

// As it may still be used after `age`; nothing of it that fades where the age is not known.
WarmState age_by(WarmState learned, std::optional<Duration> age);

}  // namespace granitegap::warm_state
