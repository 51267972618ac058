// Where the readers of an operator file put what they find wrong. Internal to this module.
#pragma once
#include <algorithm>
#include <string>
#include <utility>

#include "typed_config/typed_config.h"

namespace granitegap::operators {

// Characters that are printable, without spaces.
inline bool is_plain_name(const std::string& name) {
  return std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < 127; });
}

// Collects errors of values in one file.
class Diagnostics {
 public:
  explicit Diagnostics(std::string file) : file_(std::move(file)) {}

  // `value`: the one that is wrong, at the path `field`.
  void fail(const typed_config::Value& value, const std::string& field, std::string message) {
    errors_.push_back({file_, value.position, field, std::move(message)});
  }
  const typed_config::Errors& errors() const { return errors_; }

 private:
  std::string file_;
  typed_config::Errors errors_;
};

}  // namespace granitegap::operators
