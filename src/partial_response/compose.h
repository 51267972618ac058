// One answer of the kernel's result and the parts gathered for it.
#pragma once
#include <string>
#include <vector>

#include "edge/types.h"

namespace granitegap::partial_response {

// A serialized granitegap.PartialAnswer (partial_answer.proto). Where it would grow over `max_bytes`, parts
// are dropped, the largest first, and count as absent: a part may be lost, the answer never.
edge::Payload compose(std::string result, const std::vector<edge::GatheredPart>& parts,
                      std::size_t max_bytes);

}  // namespace granitegap::partial_response
