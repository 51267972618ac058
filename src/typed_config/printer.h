// Short descriptions of values and expressions for error messages, used by this module and by readers of
// validated values.
#pragma once
#include <string>
#include <string_view>

#include "typed_config/expression.h"
#include "typed_config/value.h"

namespace granitegap::typed_config {

// Cuts `text` to at most 60 bytes.
std::string shorten(std::string text);

// Returns `text` in quotes, escaped and cut to at most 60 bytes.
std::string quote_excerpt(std::string_view text);

// Returns the value as one line of at most 60 bytes. Records are described by their kind, lists by their
// size.
std::string summarize(const Value& value);

// Returns the values that an expression accepts, in the notation of the language, such as `int & >=1`. The
// length is not bounded.
std::string describe(const Expression& expression);

}  // namespace granitegap::typed_config
