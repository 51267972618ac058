// Parser for the payload of a request frame: the fields and the body. Internal to this module.
#pragma once
#include <string_view>

#include "edge/types.h"
#include "frames/frame_decoder.h"

namespace granitegap::frames {

// Returns an edge::Request, or a MalformedRequest. If several fields have invalid values, the
// MalformedRequest names the last of them; if none has, but required fields are missing, the first missing
// one.
Message parse_request(const edge::ReplyAddress& origin, std::string_view payload,
                      const edge::NameRegistry& names);

}  // namespace granitegap::frames
