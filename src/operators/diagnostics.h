// Collection of the errors that the section readers find in an operator file. Internal to this module.
#pragma once
#include <algorithm>
#include <string>
#include <utility>

#include "typed_config/printer.h"
#include "typed_config/typed_config.h"

namespace granitegap::operators {

// Returns whether `name` consists of printable ASCII characters other than the space.
inline bool is_plain_name(const std::string& name) {
  return std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c < 127; });
}

// Collects errors about the values of one file.
class Diagnostics {
 public:
  explicit Diagnostics(std::string file) : file_(std::move(file)) {}

  // Adds an error about `value`, which stands at the path `field`.
  void fail(const typed_config::Value& value, const std::string& field, std::string message) {
    errors_.push_back({file_, value.position, field, std::move(message)});
  }
  // As fail(), with the message "expected EXPECTED, found VALUE".
  void fail_expected(const typed_config::Value& value, const std::string& field,
                     const std::string& expected) {
    fail(value, field, "expected " + expected + ", found " + typed_config::summarize(value));
  }
  const typed_config::Errors& errors() const { return errors_; }

 private:
  std::string file_;
  typed_config::Errors errors_;
};

}  // namespace granitegap::operators
