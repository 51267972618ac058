// Evaluation of the expressions of a data file to one concrete value. Internal to this module.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "typed_config/error.h"
#include "typed_config/expression.h"

namespace granitegap::typed_config {

// Replaces references by their definitions, merges the operands of `&` and selects the default of `|`.
class Resolver {
 public:
  // `document` and `errors` must outlive the resolver. Errors are appended to `errors`.
  Resolver(const Document& document, Errors& errors) : document_(document), errors_(errors) {}

  // Returns the value of `expression`, which stands at `path`. If it cannot be resolved, adds at least one
  // error and returns nothing. A record or list is returned without the parts that cannot be resolved.
  std::optional<Value> resolve(const Expression& expression, const std::string& path);

 private:
  std::optional<Value> resolve_list(const Expression& list, const std::string& path);
  std::optional<Value> resolve_record(const Expression& record, const std::string& path);
  std::optional<Value> resolve_reference(const Expression& reference, const std::string& path);
  std::optional<Value> resolve_all_of(const Expression& all_of, const std::string& path);
  // Merges `addition` into `target`: records field by field, scalars if they are equal. Adds an error and
  // returns false if the values conflict.
  bool merge(Value& target, Value addition, const std::string& path);
  std::nullopt_t fail(ErrorCode code, Position position, const std::string& path, std::string message);

  const Document& document_;
  Errors& errors_;
  std::vector<std::string> definitions_in_progress_;
};

}  // namespace granitegap::typed_config
