// What is wrong with a configuration file, as a typed value with its place.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "typed_config/value.h"

namespace granitegap::typed_config {

enum class ErrorCode : std::uint8_t {
  invalid_value,        // a rule beyond the schema, checked by the code that reads the values
  unreadable_file,      // it can't be opened or read
  limit_exceeded,       // larger, or nested deeper, than is accepted
  syntax_error,         // the grammar's
  unknown_name,         // a word or function that the language does not have
  duplicate_name,       // a field, definition or default that stands twice
  misplaced,            // well-formed, but not allowed where it stands
  undefined_reference,  // a #Name without a definition
  circular_reference,   // a definition that contains itself
  not_concrete,         // a constraint where a value is expected
  conflicting_values,   // two values for one field
  type_mismatch,        // the value does not satisfy the schema
  missing_field,        // required by the schema, and without a default
  unknown_field,        // not declared by a closed record
};

struct Error {
  std::string file;
  Position position;
  std::string field;    // its path from the top, as `dependencies[0].name`; empty: the file itself
  std::string message;  // what was expected, in one line
  ErrorCode code = ErrorCode::invalid_value;
  std::string value = {};  // what was found there, shortened; empty where the error is not about a value

  // FILE:LINE:COLUMN: FIELD: MESSAGE, without the parts that are absent.
  std::string text() const;
};
using Errors = std::vector<Error>;

}  // namespace granitegap::typed_config
