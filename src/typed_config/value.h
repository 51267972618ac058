// The typed values that a configuration file holds once it has been validated.
//
// Plain data without I/O: a Value owns all nested values and may be copied and moved between threads.
#pragma once
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace granitegap::typed_config {

// A position in a source file. Lines and columns count from 1. Line 0 means that there is no position, such
// as for a default value.
struct Position {
  std::size_t line = 0, column = 0;
};

using Duration = std::chrono::microseconds;
enum class ByteSize : std::uint64_t {};

struct Value;
struct RecordEntry;
using List = std::vector<Value>;
// Fields in the order in which the schema declares them.
using Record = std::vector<RecordEntry>;

// One value: null, a scalar, a list or a record.
//
// The as_...() accessors and operator[] are meant for values that satisfy a schema. They throw
// std::bad_variant_access for another type or an absent field.
struct Value {
  std::variant<std::nullptr_t, bool, std::int64_t, double, std::string, Duration, ByteSize, List, Record>
      data;
  Position position;  // in the file from which the value was read; line 0 for a default

  // Returns the field of that name, or null if this is not a record or has no such field.
  const Value* find(std::string_view field) const;
  const Value& operator[](std::string_view field) const;

  bool as_bool() const { return std::get<bool>(data); }
  std::int64_t as_int() const { return std::get<std::int64_t>(data); }
  // Returns a number; an integer is converted.
  double as_double() const;
  const std::string& as_string() const { return std::get<std::string>(data); }
  Duration as_duration() const { return std::get<Duration>(data); }
  // Returns the size in bytes.
  std::size_t as_byte_size() const { return std::size_t(std::get<ByteSize>(data)); }
  const List& as_list() const { return std::get<List>(data); }
};

// One field of a record.
struct RecordEntry {
  std::string name;
  Value value;
};

}  // namespace granitegap::typed_config
