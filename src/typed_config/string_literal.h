// Conversion between texts and quoted strings with JSON escapes.
#pragma once
#include <optional>
#include <string>
#include <string_view>

namespace granitegap::typed_config {

// Returns the text in quotes, with ", \ and control characters escaped.
std::string quote(std::string_view text);

// Returns the text of a quoted literal that the grammar has accepted. Returns nothing if a \u escape is half
// of a surrogate pair without the other half.
std::optional<std::string> unquote(std::string_view literal);

}  // namespace granitegap::typed_config
