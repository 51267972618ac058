#include "typed_config/constraints.h"

#include <algorithm>

#include "typed_config/printer.h"
#include "typed_config/units.h"

namespace granitegap::typed_config {
namespace {

// Visitor that maps the data of a value to its type.
struct GetType {
  ValueType operator()(std::nullptr_t) const { return ValueType::null; }
  ValueType operator()(bool) const { return ValueType::boolean; }
  ValueType operator()(std::int64_t) const { return ValueType::integer; }
  ValueType operator()(double) const { return ValueType::number; }
  ValueType operator()(const std::string&) const { return ValueType::string; }
  ValueType operator()(Duration) const { return ValueType::duration; }
  ValueType operator()(ByteSize) const { return ValueType::byte_size; }
  ValueType operator()(const List&) const { return ValueType::any; }
  ValueType operator()(const Record&) const { return ValueType::any; }
};

ValueType get_type(const Value& value) { return std::visit(GetType{}, value.data); }

// Converts the value to `type`, or returns nothing. An integer is also a number. A text that parses as a
// duration or a size is converted, because JSON has no literals for them.
std::optional<Value> coerce(const Value& value, ValueType type) {
  if (type == ValueType::any || get_type(value) == type) return value;
  if (const auto* integer = std::get_if<std::int64_t>(&value.data); integer && type == ValueType::number)
    return Value{double(*integer), value.position};
  const auto* text = std::get_if<std::string>(&value.data);
  if (!text) return std::nullopt;
  if (type == ValueType::duration)
    if (const auto duration = parse_duration(*text)) return Value{*duration, value.position};
  if (type == ValueType::byte_size)
    if (const auto size = parse_byte_size(*text)) return Value{*size, value.position};
  return std::nullopt;
}

// Returns whether both are equal scalars of one type. False for records and lists.
bool equal_scalars(const Value& a, const Value& b) {
  if (a.data.index() != b.data.index()) return false;
  if (std::holds_alternative<Record>(a.data) || std::holds_alternative<List>(a.data)) return false;
  return summarize(a) == summarize(b);
}

template <class T>
bool compare(const T& a, Comparison comparison, const T& b) {
  switch (comparison) {
    case Comparison::less:
      return a < b;
    case Comparison::less_or_equal:
      return a <= b;
    case Comparison::greater:
      return a > b;
    case Comparison::greater_or_equal:
      return a >= b;
    case Comparison::not_equal:
      return a != b;
  }
  return false;
}

// Returns whether `value`, which has the type of the bound, satisfies the bound.
bool within_bound(const Value& value, const Expression& bound) {
  const auto& limit = bound.literal;
  if (const auto* number = std::get_if<double>(&value.data))
    return compare(*number, bound.comparison, limit.as_double());
  if (const auto* text = std::get_if<std::string>(&value.data))
    return compare(*text, bound.comparison, limit.as_string());
  if (const auto* duration = std::get_if<Duration>(&value.data))
    return compare(*duration, bound.comparison, limit.as_duration());
  if (const auto* size = std::get_if<ByteSize>(&value.data))
    return compare(*size, bound.comparison, std::get<ByteSize>(limit.data));
  return false;
}

// Returns the value as the bound types it, or nothing if the bound does not hold.
std::optional<Value> apply_bound(const Value& value, const Expression& bound) {
  const auto limit_type = get_type(bound.literal);
  const auto type = limit_type == ValueType::integer ? ValueType::number : limit_type;
  auto typed = coerce(value, type);
  if (!typed || !within_bound(*typed, bound)) return std::nullopt;
  // An integer remains an integer, although it is compared as a number.
  if (std::holds_alternative<double>(typed->data)) return value;
  return typed;
}

// Returns the number of elements of a list or, without `expect_list`, of code points of a UTF-8 text. Returns
// nothing for values of other types.
std::optional<std::int64_t> measure_length(const Value& value, bool expect_list) {
  if (expect_list) {
    const auto* list = std::get_if<List>(&value.data);
    if (!list) return std::nullopt;
    return std::int64_t(list->size());
  }
  const auto* text = std::get_if<std::string>(&value.data);
  if (!text) return std::nullopt;
  const auto begins_character = [](char byte) { return (std::uint8_t(byte) & 0xc0) != 0x80; };
  return std::count_if(text->begin(), text->end(), begins_character);
}

// Evaluates list.MinItems(n), list.MaxItems(n), strings.MinRunes(n) and strings.MaxRunes(n).
bool satisfies_call(const Value& value, const Expression& call) {
  const auto limit = call.parts.front().literal.as_int();
  const auto length = measure_length(value, call.name.starts_with("list."));
  if (!length) return false;
  const bool is_minimum = call.name.ends_with("MinItems") || call.name.ends_with("MinRunes");
  return is_minimum ? *length >= limit : *length <= limit;
}

}  // namespace

std::optional<Value> apply_constraint(const Value& value, const Expression& constraint) {
  switch (constraint.kind) {
    case ExpressionKind::literal: {
      auto typed = coerce(value, get_type(constraint.literal));
      if (!typed || !equal_scalars(*typed, constraint.literal)) return std::nullopt;
      return typed;
    }
    case ExpressionKind::type:
      return coerce(value, constraint.type);
    case ExpressionKind::bound:
      return apply_bound(value, constraint);
    case ExpressionKind::call:
      if (!satisfies_call(value, constraint)) return std::nullopt;
      return value;
    default:
      return std::nullopt;
  }
}

}  // namespace granitegap::typed_config
