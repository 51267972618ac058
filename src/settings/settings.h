// Parses an instance's settings from path=value lines, the format that the simulator sends.
//
// The parser applies no defaults: the admission controller decides what an absent value means. It does not
// report errors by exceptions: a value that cannot be parsed is left absent and listed in
// Settings::invalid_settings. Unknown keys are ignored.
#pragma once
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap {

/// The result of parse_settings().
struct ParsedSettings {
  Settings settings;
  std::vector<std::string> gauges;  ///< gauge names, in the order in which a timer event carries their values
};

/// Parses `text`, which holds one key=value pair per line. If a key is repeated, its last value applies.
[[nodiscard]] ParsedSettings parse_settings(std::string_view text);

/// Returns a timer event with the gauge `values`, given in the order of `names`. Unknown names and values
/// that are negative or not finite are ignored.
[[nodiscard]] TimerFired with_gauges(TimerToken token, std::span<const float> values,
                                     const std::vector<std::string>& names);

}  // namespace granitegap
