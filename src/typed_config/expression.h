// The syntax tree of a configuration file or schema, which the parser produces and the validator evaluates.
//
// In CUE types are values, so that files and schemas share one kind of tree: `5`, `int`, `>=1 & <=64 | *8`
// and
// `{name: string}` are all expressions.
#pragma once
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "typed_config/value.h"

namespace granitegap::typed_config {

struct Expression;

// One field of a record: `name: value`, or `name?: type` for an optional field.
struct FieldDeclaration {
  std::string name;
  bool optional = false;
  std::shared_ptr<const Expression> type;
  Position position;
};

enum class ExpressionKind : std::uint8_t {
  literal,    // 5, "text", 200ms, null
  type,       // int
  bound,      // >=1
  call,       // list.MaxItems(2)
  reference,  // #Name
  all_of,     // a & b
  any_of,     // a | *b
  record,     // {a: int}
  list,       // [1, 2]
  list_of,    // [...int]
};

enum class ValueType : std::uint8_t { any, null, boolean, integer, number, string, duration, byte_size };

enum class Comparison : std::uint8_t { less, less_or_equal, greater, greater_or_equal, not_equal };

// A node of the tree. The comments name the kinds that use each member.
struct Expression {
  ExpressionKind kind{};
  Position position;
  Value literal;                  // literal: its value; bound: its limit
  ValueType type{};               // type
  Comparison comparison{};        // bound
  std::string name;               // reference (with its #), call
  std::vector<Expression> parts;  // operands, elements, the argument of a call, the element type of a list_of
  std::size_t preferred = 0;      // any_of: 1 + the index of the alternative marked with *; 0: no default
  std::vector<FieldDeclaration> fields;  // record
  bool open = false;                     // record: accepts undeclared fields
};

// A parsed file.
struct Document {
  std::string file;
  Expression root;                                // a record
  std::map<std::string, Expression> definitions;  // by name, including the #
};

}  // namespace granitegap::typed_config
