// Quoted strings with JSON's escapes, in both directions.
#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace granitegap::typed_config {

// The text in quotes, with ", \ and control characters escaped.
std::string quote(std::string_view text);

// The text of a literal that the grammar has accepted, quotes included. Absent if a \u escape is one half of
// a surrogate pair without the other.
std::optional<std::string> unquote(std::string_view literal);

}  // namespace granitegap::typed_config
