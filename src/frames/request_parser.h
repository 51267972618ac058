// The payload of a request frame: its fields and its body. Internal to this module.
#pragma once
#include <string_view>

#include "edge/types.h"
#include "frames/frame_decoder.h"

namespace granitegap::frames {

// An edge::Request, or a MalformedRequest that names the last field that is not accepted.
Message parse_request(const edge::ReplyAddress& origin, std::string_view payload,
                      const edge::NameRegistry& names);

}  // namespace granitegap::frames
