// Evaluation of the constraints that need no schema: literals, types, bounds and counts. Internal to this
// module.
#pragma once
#include <optional>

#include "typed_config/expression.h"
#include "typed_config/value.h"

namespace granitegap::typed_config {

// Returns the value as `constraint` types it, or nothing if the constraint does not hold. The constraint has
// the kind literal, type, bound or call.
std::optional<Value> apply_constraint(const Value& value, const Expression& constraint);

}  // namespace granitegap::typed_config
