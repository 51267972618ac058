// Reads an instance's key=value settings. Translation only: defaults are the module's business.
#pragma once
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

}  // namespace granitegap
