#include "typed_config/printer.h"

#include <algorithm>
#include <charconv>

#include "typed_config/string_literal.h"
#include "typed_config/typed_config.h"
#include "typed_config/units.h"

namespace granitegap::typed_config {
namespace {

bool is_letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }
bool is_digit(char c) { return c >= '0' && c <= '9'; }

// Returns whether a field name needs no quotes.
bool is_identifier(std::string_view name) {
  if (name.empty() || is_digit(name.front())) return false;
  return std::all_of(name.begin(), name.end(),
                     [](char c) { return is_letter(c) || is_digit(c) || c == '_'; });
}

std::string format_number(double value) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, value).ptr;
  std::string out(text, end);
  const bool reads_as_integer = out.find_first_of(".e") == std::string::npos;
  if (reads_as_integer) out += ".0";
  return out;
}

// Formats values as text, indented by tabs.
class Printer {
 public:
  void print_fields(const Record& record, int depth) {
    for (const auto& [name, value] : record) {
      indent(depth);
      out_ += is_identifier(name) ? name : quote(name);
      out_ += ": ";
      print(value, depth);
      out_ += '\n';
    }
  }
  void print(const Value& value, int depth) {
    std::visit([&](const auto& data) { append(data, depth); }, value.data);
  }
  const std::string& text() const { return out_; }

 private:
  void indent(int depth) { out_.append(std::size_t(depth), '\t'); }

  void append(std::nullptr_t, int) { out_ += "null"; }
  void append(bool value, int) { out_ += value ? "true" : "false"; }
  void append(std::int64_t value, int) { out_ += std::to_string(value); }
  void append(double value, int) { out_ += format_number(value); }
  void append(const std::string& value, int) { out_ += quote(value); }
  void append(Duration value, int) { out_ += format_duration(value); }
  void append(ByteSize value, int) { out_ += format_byte_size(value); }
  void append(const List& list, int depth) {
    if (list.empty()) {
      out_ += "[]";
      return;
    }
    out_ += "[\n";
    for (const auto& item : list) {
      indent(depth + 1);
      print(item, depth + 1);
      out_ += ",\n";
    }
    indent(depth);
    out_ += ']';
  }
  void append(const Record& record, int depth) {
    if (record.empty()) {
      out_ += "{}";
      return;
    }
    out_ += "{\n";
    print_fields(record, depth + 1);
    indent(depth);
    out_ += '}';
  }

  std::string out_;
};

const char* type_name(ValueType type) {
  switch (type) {
    case ValueType::any:
      return "anything";
    case ValueType::null:
      return "null";
    case ValueType::boolean:
      return "bool";
    case ValueType::integer:
      return "int";
    case ValueType::number:
      return "number";
    case ValueType::string:
      return "string";
    case ValueType::duration:
      return "duration (as 200ms)";
    case ValueType::byte_size:
      return "size (as 64KiB)";
  }
  return "";
}

const char* comparison_sign(Comparison comparison) {
  switch (comparison) {
    case Comparison::less:
      return "<";
    case Comparison::less_or_equal:
      return "<=";
    case Comparison::greater:
      return ">";
    case Comparison::greater_or_equal:
      return ">=";
    case Comparison::not_equal:
      return "!=";
  }
  return "";
}

std::string describe_parts(const Expression& expression, const char* separator) {
  std::string out;
  for (const auto& part : expression.parts) {
    if (!out.empty()) out += separator;
    out += describe(part);
  }
  return out;
}

}  // namespace

std::string shorten(std::string text) {
  constexpr std::size_t kMaxLength = 60;
  constexpr std::string_view kEllipsis = "...";
  if (text.size() <= kMaxLength) return text;
  return text.replace(kMaxLength - kEllipsis.size(), std::string::npos, kEllipsis);
}

std::string quote_excerpt(std::string_view text) { return shorten(quote(text)); }

std::string summarize(const Value& value) {
  if (std::holds_alternative<Record>(value.data)) return "a record";
  if (const auto* list = std::get_if<List>(&value.data))
    return "a list of " + std::to_string(list->size()) + " elements";
  Printer printer;
  printer.print(value, 0);
  return shorten(printer.text());
}

std::string describe(const Expression& expression) {
  switch (expression.kind) {
    case ExpressionKind::literal:
      return summarize(expression.literal);
    case ExpressionKind::type:
      return type_name(expression.type);
    case ExpressionKind::bound:
      return comparison_sign(expression.comparison) + summarize(expression.literal);
    case ExpressionKind::call:
      return expression.name + "(" + describe(expression.parts.front()) + ")";
    case ExpressionKind::reference:
      return expression.name;
    case ExpressionKind::all_of:
      return describe_parts(expression, " & ");
    case ExpressionKind::any_of:
      return describe_parts(expression, " | ");
    case ExpressionKind::record:
      return "a record";
    case ExpressionKind::list:
      return "a list of " + std::to_string(expression.parts.size()) + " elements";
    case ExpressionKind::list_of:
      return "a list of " + describe(expression.parts.front());
  }
  return {};
}

std::string print(const Value& value) {
  Printer printer;
  if (const auto* record = std::get_if<Record>(&value.data)) {
    printer.print_fields(*record, 0);
    return printer.text();
  }
  printer.print(value, 0);
  return printer.text() + "\n";
}

}  // namespace granitegap::typed_config
