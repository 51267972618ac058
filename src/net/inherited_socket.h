// The listening socket that the platform keeps and every process of a tile server inherits.
#pragma once
#include <string>
#include <string_view>
#include <variant>

namespace granitegap::net {

// `text`: the number of a descriptor, as $EDGE_FD has it. It is checked to be an open stream socket that
// listens, and kept from programs that this one may start; or why it is none, in a line.
std::variant<int, std::string> validate_inherited_listener(std::string_view text);

}  // namespace granitegap::net
