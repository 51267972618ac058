// Paths of fields in error messages, such as `dependencies[0].name`. Internal to this module.
#pragma once
#include <cstddef>
#include <string>

namespace granitegap::typed_config {

inline std::string field_path(const std::string& parent, const std::string& name) {
  return parent.empty() ? name : parent + "." + name;
}

inline std::string element_path(const std::string& parent, std::size_t index) {
  return parent + "[" + std::to_string(index) + "]";
}

}  // namespace granitegap::typed_config
