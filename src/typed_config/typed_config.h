// Typed records: the form of the operator's own file and of its schema. A documented subset of CUE
// (https://cuelang.org/docs/reference/spec/), of which JSON is a subset; docs/operators-file.md has the
// grammar.
//
//   parse()     text -> a Document of expressions, or the first error
//   validate()  a Document against a definition of a schema -> a Value with every default filled in, or all
//   errors print()     a Value as such a file again
//
// Every error names file, line, column and field and says what was expected. Nothing here does I/O but
// load().
#pragma once
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace granitegap::typed_config {

struct Position {
  std::size_t line = 0, column = 0;  // from 1; 0: nowhere
};
struct Error {
  std::string file;
  Position position;
  std::string field;  // its path from the top; empty: the file itself
  std::string message;
  std::string text() const;  // one line
};

using Duration = std::chrono::microseconds;
enum class ByteSize : std::uint64_t {};  // bytes

struct Value;
using List = std::vector<Value>;
using Record = std::vector<std::pair<std::string, Value>>;  // in the schema's order
struct Value {
  std::variant<std::nullptr_t, bool, std::int64_t, double, std::string, Duration, ByteSize, List, Record>
      data;
  Position position;  // in the file it came from; nowhere for a default

  // For values that a schema has vouched for; anything else is std::bad_variant_access.
  const Value* find(std::string_view field) const;
  const Value& operator[](std::string_view field) const;  // must be there
  bool as_bool() const { return std::get<bool>(data); }
  std::int64_t as_int() const { return std::get<std::int64_t>(data); }
  double as_double() const;  // an integer too
  const std::string& as_string() const { return std::get<std::string>(data); }
  Duration as_duration() const { return std::get<Duration>(data); }
  std::size_t as_byte_size() const { return std::size_t(std::get<ByteSize>(data)); }
  const List& as_list() const { return std::get<List>(data); }
};

// ---- Expressions ----
struct Expression;
struct FieldDeclaration {
  std::string name;
  bool optional = false;
  std::shared_ptr<const Expression> type;
  Position position;
};
enum class ExpressionKind : std::uint8_t {
  literal,
  type,
  bound,
  call,
  reference,
  all_of,
  any_of,
  record,
  list,
  list_of
};
enum class ValueType : std::uint8_t { any, null, boolean, integer, number, string, duration, byte_size };
enum class Comparison : std::uint8_t { less, at_most, more, at_least, unlike };
struct Expression {
  ExpressionKind kind{};
  Position position;
  Value literal;  // literal, and what a bound compares with
  ValueType type{};
  Comparison compare{};
  std::string name;               // of a reference or call
  std::vector<Expression> parts;  // operands, a list's elements, a call's argument, a list's element type
  std::size_t preferred = 0;      // any_of: 1 + the alternative marked with *, 0: none
  std::vector<FieldDeclaration> fields;
  bool open = false;  // a record that takes fields beyond its own
};

struct Document {
  std::string file;
  Expression top;                                 // a record
  std::map<std::string, Expression> definitions;  // by name, with the #
};

std::variant<Document, Error> parse(std::string_view text, std::string file);
std::variant<Document, Error> load(const std::string& path);
std::variant<Value, std::vector<Error>> validate(const Document& data, const Document& schema,
                                                 std::string_view definition);
std::string print(const Value& value);
// "200ms", "1.5s", "64KiB"; absent where it is none.
bool parse_duration(std::string_view text, Duration& to);
bool parse_byte_size(std::string_view text, ByteSize& to);

}  // namespace granitegap::typed_config
