// Helpers shared by the translation units of ScatterGather (scatter_gather*.cpp); not part of the public
// interface of src/deps.
#pragma once
#include <cstdint>

#include "deps/scatter_gather.h"

namespace granitegap::deps::detail {

// The key of a request in the slot index of open gathers.
inline std::uint64_t hash_of(RequestId id) { return std::uint64_t(id); }

}  // namespace granitegap::deps::detail
