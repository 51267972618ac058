// Typed configuration files: the operator's own file, the files of the test tools, and their schemas.
//
// The language is a documented subset of CUE (https://cuelang.org/docs/reference/spec/), of which JSON is a
// subset; docs/operators-file.md has the grammar.
//
//   parse()     text -> a Document, or the first error
//   validate()  a Document against a definition of a schema -> a Value with every default filled in, or all
//               errors
//   print()     a Value -> such a file again
//
// Every error names file, line, column and field and says what was expected. Only load() does I/O, and it
// blocks. The functions keep no state and may be called from any thread.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "typed_config/error.h"
#include "typed_config/expression.h"
#include "typed_config/value.h"

namespace granitegap::typed_config {

// Parses `text`, of which `file` is the name in errors. At most 1 MiB, nested at most 64 deep.
[[nodiscard]] std::variant<Document, Error> parse(std::string_view text, std::string file);

// Reads and parses the file at `path`.
[[nodiscard]] std::variant<Document, Error> load(const std::string& path);

// The values of `data` as `definition` (with its #) of `schema` types them, defaults filled in; otherwise
// every error, in the order of the file.
[[nodiscard]] std::variant<Value, Errors> validate(const Document& data, const Document& schema,
                                                   std::string_view definition);

// The value in the file's own notation. A record is printed without its outer braces, as a file.
[[nodiscard]] std::string print(const Value& value);

}  // namespace granitegap::typed_config
