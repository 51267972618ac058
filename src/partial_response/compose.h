// The answer to a request whose class gathers parts: the kernel's result and the parts, in one message.
//
// No state and no I/O.
#pragma once
#include <string>
#include <vector>

#include "edge/types.h"

namespace granitegap::partial_response {

// A serialized granitegap.PartialAnswer (partial_answer.proto), and the names of the parts that it contains
// and lacks. Parts are dropped, the largest first, until the message fits into `max_bytes`; the result never
// is.
edge::Product compose(std::string result, const std::vector<edge::GatheredPart>& parts,
                      std::size_t max_bytes);

}  // namespace granitegap::partial_response
