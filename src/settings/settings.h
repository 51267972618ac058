// Reads an instance's key=value settings. Translation only: defaults are the module's business.
#pragma once
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap {

struct ParsedSettings {
  Settings settings;
  std::vector<std::string> gauges;  // the order in which gauge values arrive with a timer
};
ParsedSettings parse_settings(std::string_view text);

// A timer's event with the gauge values that came in the order of `names`.
TimerFired with_gauges(TimerToken token, std::span<const float> values,
                       const std::vector<std::string>& names);

}  // namespace granitegap
