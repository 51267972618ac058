// Messages between the edge and the clients and servers of downstream dependencies: calls, cache fills on
// behalf of other members, and the parts of a partial response. Plain values.
#pragma once
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "deps/scatter_gather.h"
#include "granitegap/policy.h"

namespace granitegap::edge {

// Starts one attempt at a call to a dependency. Its end is reported by a deps::CallCompletion with the same
// id.
struct DependencyCall {
  deps::CallId id{};
  std::string path;
  deps::EndpointSpec endpoint;
  std::string dependency;  // name of the dependency, sent as the host
  std::size_t max_response_bytes = 0;
  std::size_t max_header_bytes = 0;
  Duration io_timeout{};  // maximum time without a byte sent or received
  Duration idle_connection_timeout{};
  std::uint32_t max_idle_connections = 0;
};

// Cancels the attempt with this id.
struct CancelDependencyCall {
  deps::CallId id{};
};

// A new declaration of the dependencies, which replaces the current one.
struct DependencySpecUpdate {
  std::shared_ptr<const deps::Spec> spec;
};

// Another member requests a cached response that this member fetches on behalf of the fleet.
struct CacheFillQuery {
  std::uint64_t tag = 0;
  deps::CacheFillRequest request;
};
// The reply to the query with the same tag.
struct CacheFillReply {
  std::uint64_t tag = 0;
  deps::SharedBody body;  // null: no response was available in time
  Duration age{};
};

// One part of a partial response.
struct GatheredPart {
  std::string name;
  deps::PartStatus status = deps::PartStatus::absent;
  Duration age{};
  deps::SharedBody body;
};

}  // namespace granitegap::edge
