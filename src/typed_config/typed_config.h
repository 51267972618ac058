// Typed configuration files: the operator file, the files of the test tools, and their schemas.
//
// The language is a documented subset of CUE (https://cuelang.org/docs/reference/spec/), of which JSON is a
// subset; docs/operators-file.md has the grammar.
//
//   parse()     converts text to a Document, or returns the first error
//   validate()  checks a Document against a definition of a schema and returns a Value with all defaults
//   filled in,
//               or all errors
//   print()     converts a Value to the text of a file
//
// Every error has the file, line, column and field, and states what was expected. Only load() does I/O, and
// it blocks. The functions keep no state and may be called from any thread.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "typed_config/error.h"
#include "typed_config/expression.h"
#include "typed_config/value.h"

namespace granitegap::typed_config {

// Parses `text`. `file` is its name in errors. Accepts at most 1 MiB and 64 levels of nested brackets.
[[nodiscard]] std::variant<Document, Error> parse(std::string_view text, std::string file);

// Reads and parses the file at `path`.
[[nodiscard]] std::variant<Document, Error> load(const std::string& path);

// Checks `data` against `definition` (including its #) of `schema`. Returns the typed values with defaults
// filled in, or all errors in the order of the file.
[[nodiscard]] std::variant<Value, Errors> validate(const Document& data, const Document& schema,
                                                   std::string_view definition);

// Returns the value in the notation of the files. A record is printed without its outer braces, as a complete
// file.
[[nodiscard]] std::string print(const Value& value);

}  // namespace granitegap::typed_config
