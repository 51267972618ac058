// From the expressions of a data file to one concrete value. Internal to this module.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "typed_config/error.h"
#include "typed_config/expression.h"

namespace granitegap::typed_config {

// Replaces references by their definitions, merges the parts of `&` and picks the default of `|`.
class Resolver {
 public:
  // Both must outlive the resolver. Errors are appended.
  Resolver(const Document& document, Errors& errors) : document_(document), errors_(errors) {}

  // The value of `expression`, which stands at `path`. Absent with at least one error added; a record or list
  // of which only some parts resolve is present without these.
  std::optional<Value> resolve(const Expression& expression, const std::string& path);

 private:
  std::optional<Value> resolve_list(const Expression& list, const std::string& path);
  std::optional<Value> resolve_record(const Expression& record, const std::string& path);
  std::optional<Value> resolve_reference(const Expression& reference, const std::string& path);
  std::optional<Value> resolve_all_of(const Expression& all_of, const std::string& path);
  // Merges `addition` into `target`: records field by field, scalars if they are equal.
  bool merge(Value& target, Value addition, const std::string& path);
  std::nullopt_t fail(ErrorCode code, Position position, const std::string& path, std::string message);

  const Document& document_;
  Errors& errors_;
  std::vector<std::string> definitions_in_progress_;
};

}  // namespace granitegap::typed_config
