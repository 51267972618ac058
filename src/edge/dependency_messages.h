// What the edge exchanges with the clients and servers of downstream dependencies: calls, cache fills on
// behalf of other members, and the parts of a partial response. Plain values.
#pragma once
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "deps/scatter_gather.h"
#include "granitegap/policy.h"

namespace granitegap::edge {

// One attempt at a call to a dependency. Its end comes back as a deps::CallReport with the same id.
struct DependencyCall {
  deps::CallId id{};
  std::string path;
  deps::EndpointSpec endpoint;
  std::string dependency;  // its name, sent as the host
  std::size_t max_response_bytes = 0;
  std::size_t max_header_bytes = 0;
  Duration io_timeout{};  // longest time without a byte sent or received
  Duration max_idle_time{};
  std::uint32_t max_idle_connections = 0;
};

struct CancelDependencyCall {
  deps::CallId id{};
};

// A new declaration of the dependencies; replaces the one in force.
struct DependencySpecUpdate {
  std::shared_ptr<const deps::Spec> spec;
};

// Another member asks for a cached response that this member fetches on behalf of the fleet.
struct CacheFillQuery {
  std::uint64_t tag = 0;
  deps::CacheFillRequest request;
};
// The answer to the query with the same tag.
struct CacheFillReply {
  std::uint64_t tag = 0;
  deps::Bytes body;  // null: none could be had in time
  Duration age{};
};

// One part of a partial response.
struct GatheredPart {
  std::string name;
  deps::PartStatus status = deps::PartStatus::absent;
  Duration age{};
  deps::Bytes body;
};

}  // namespace granitegap::edge
