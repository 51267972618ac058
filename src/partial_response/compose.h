// Composes the answer to a request whose class gathers parts: one message with the kernel's result and the
// parts.
//
// No state and no I/O.
#pragma once
#include <string>
#include <vector>

#include "edge/types.h"

namespace granitegap::partial_response {

// Returns a serialized granitegap.PartialAnswer (partial_answer.proto), and the names of the parts that it
// contains and lacks. Parts are dropped, the largest first, until the message fits into `max_bytes`. The
// result is never dropped.
edge::Payload compose(std::string result, const std::vector<edge::GatheredPart>& parts,
                      std::size_t max_bytes);

}  // namespace granitegap::partial_response
