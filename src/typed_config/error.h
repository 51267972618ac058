// Errors in configuration files, with their positions.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "typed_config/value.h"

namespace granitegap::typed_config {

enum class ErrorCode : std::uint8_t {
  invalid_value,        // violates a rule beyond the schema, checked by the code that reads the values
  unreadable_file,      // the file cannot be opened or read
  limit_exceeded,       // the file is too large or nested too deeply
  syntax_error,         // the text does not match the grammar
  unknown_name,         // a word or function that the language does not have
  duplicate_name,       // a field, definition or default that is repeated
  misplaced,            // well-formed, but not allowed at this place
  undefined_reference,  // a #Name without a definition
  circular_reference,   // a definition that contains itself
  not_concrete,         // a constraint where a value is expected
  conflicting_values,   // two values for one field
  type_mismatch,        // the value does not satisfy the schema
  missing_field,        // the schema requires the field and has no default for it
  unknown_field,        // not declared by a closed record
};

// One error.
struct Error {
  std::string file;
  Position position;
  std::string field;    // path from the top, such as `dependencies[0].name`; empty: the file itself
  std::string message;  // one line: what was expected and, where there is a value, what was found
  ErrorCode code = ErrorCode::invalid_value;
  std::string value = {};  // the value found, shortened; empty if the error is not about a value

  // Returns FILE:LINE:COLUMN: FIELD: MESSAGE, without the parts that are absent.
  std::string text() const;
};
using Errors = std::vector<Error>;

}  // namespace granitegap::typed_config
