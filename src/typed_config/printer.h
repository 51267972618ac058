// Short descriptions of values and expressions, for error messages. Internal to this module; print() is
// public.
#pragma once
#include <string>

#include "typed_config/expression.h"
#include "typed_config/value.h"

namespace granitegap::typed_config {

// The value in one line of at most 60 bytes; records and lists only by their kind and size.
std::string summarize(const Value& value);

// What an expression asks for, in the language's own notation, as `int & >=1`.
std::string describe(const Expression& expression);

}  // namespace granitegap::typed_config
