// Reads an instance's settings from path=value lines, as the simulator sends them. Translation only: what an
// absent value means is the controller's decision. Values only; nothing is thrown: a value that can't be read
// is left absent and listed in Settings::invalid_settings. Unknown keys are ignored.
#pragma once
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap {

struct ParsedSettings {
  Settings settings;
  std::vector<std::string> gauges;  ///< the order in which gauge values arrive with a timer
};

/// `text` holds one key=value pair a line; the last pair with a key counts.
[[nodiscard]] ParsedSettings parse_settings(std::string_view text);

/// A timer event with the gauge values that came in the order of `names`; unknown names and values that are
/// negative or not finite are left out.
[[nodiscard]] TimerFired with_gauges(TimerToken token, std::span<const float> values,
                                     const std::vector<std::string>& names);

}  // namespace granitegap
