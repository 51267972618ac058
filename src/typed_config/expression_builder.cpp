#include "typed_config/expression_builder.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <system_error>
#include <utility>

#include "typed_config/grammar.h"
#include "typed_config/printer.h"
#include "typed_config/string_literal.h"
#include "typed_config/units.h"

namespace granitegap::typed_config {
namespace {

using Node = tao::pegtl::parse_tree::node;
using Definitions = std::map<std::string, Expression>;

Expression build_expression(const Node& node);

Position get_position(const Node& node) { return {node.begin().line, node.begin().column}; }

// ---- Literals ----

Expression make_literal(Value value) {
  Expression literal;
  literal.kind = ExpressionKind::literal;
  literal.position = value.position;
  literal.literal = std::move(value);
  return literal;
}

std::string parse_text(std::string_view literal, Position position) {
  auto text = unquote(literal);
  if (!text)
    throw BuildError(ErrorCode::syntax_error, position,
                     "expected complete surrogate pairs in a text, found " +
                         quote_excerpt(literal.substr(1, literal.size() - 2)));
  return std::move(*text);
}

Value parse_number(std::string_view text, Position position) {
  if (const auto duration = parse_duration(text)) return {*duration, position};
  if (const auto size = parse_byte_size(text)) return {*size, position};
  const auto* text_end = text.data() + text.size();
  if (text.find_first_of(".eE") == std::string_view::npos) {
    std::int64_t integer = 0;
    const auto [end, error] = std::from_chars(text.data(), text_end, integer);
    if (error == std::errc{} && end == text_end) return {integer, position};
  }
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text_end, number);
  if (error != std::errc{} || end != text_end || !std::isfinite(number))
    throw BuildError(
        ErrorCode::syntax_error, position,
        "expected a finite number, or a duration or size of at most 1e15 us or B without sign and "
        "exponent, found " +
            quote_excerpt(text));
  return {number, position};
}

Expression build_word(std::string_view word, Position position) {
  if (word == "true" || word == "false") return make_literal({word == "true", position});
  if (word == "null") return make_literal({nullptr, position});
  static constexpr std::pair<std::string_view, ValueType> kTypes[] = {
      {"_", ValueType::any},          {"bool", ValueType::boolean},  {"int", ValueType::integer},
      {"number", ValueType::number},  {"string", ValueType::string}, {"duration", ValueType::duration},
      {"size", ValueType::byte_size},
  };
  const auto* known = std::find_if(std::begin(kTypes), std::end(kTypes),
                                   [&](const auto& type) { return type.first == word; });
  if (known == std::end(kTypes))
    throw BuildError(
        ErrorCode::unknown_name, position,
        "unknown word " + quote_excerpt(word) +
            "; expected true, false, null, a \"text\", or one of the types bool int number string duration "
            "size _");
  Expression type;
  type.kind = ExpressionKind::type;
  type.position = position;
  type.type = known->second;
  return type;
}

// ---- Bounds, calls and operators ----

Comparison parse_comparison(std::string_view sign) {
  if (sign == "<") return Comparison::less;
  if (sign == "<=") return Comparison::less_or_equal;
  if (sign == ">") return Comparison::greater;
  return sign == ">=" ? Comparison::greater_or_equal : Comparison::not_equal;
}

Expression build_bound(const Node& node) {
  Expression bound;
  bound.kind = ExpressionKind::bound;
  bound.position = get_position(node);
  bound.comparison = parse_comparison(node.children.at(0)->string_view());
  bound.literal = build_expression(*node.children.at(1)).literal;
  return bound;
}

Expression build_call(const Node& node) {
  static constexpr std::string_view kFunctions[] = {"list.MinItems", "list.MaxItems", "strings.MinRunes",
                                                    "strings.MaxRunes"};
  Expression call;
  call.kind = ExpressionKind::call;
  call.position = get_position(node);
  call.name = node.children.at(0)->string();
  call.parts.push_back(build_expression(*node.children.at(1)));
  if (std::find(std::begin(kFunctions), std::end(kFunctions), call.name) == std::end(kFunctions))
    throw BuildError(ErrorCode::unknown_name, call.position,
                     "unknown function " + quote_excerpt(call.name) +
                         "; expected list.MinItems, list.MaxItems, strings.MinRunes or strings.MaxRunes");
  const auto& argument = call.parts.front();
  const bool is_integer =
      argument.kind == ExpressionKind::literal && std::holds_alternative<std::int64_t>(argument.literal.data);
  if (!is_integer)
    throw BuildError(
        ErrorCode::type_mismatch, argument.position,
        "expected an integer as the argument of " + call.name + ", found " + shorten(describe(argument)));
  return call;
}

Expression build_reference(const Node& node) {
  Expression reference;
  reference.kind = ExpressionKind::reference;
  reference.position = get_position(node);
  reference.name = node.string();
  return reference;
}

// Builds an expression whose parts are the children of the node.
Expression build_compound(ExpressionKind kind, const Node& node) {
  Expression compound;
  compound.kind = kind;
  compound.position = get_position(node);
  for (const auto& child : node.children) compound.parts.push_back(build_expression(*child));
  return compound;
}

Expression build_list_of(const Node& node) {
  auto list_of = build_compound(ExpressionKind::list_of, node);
  if (!list_of.parts.empty()) return list_of;
  auto& anything = list_of.parts.emplace_back();  // [...]: elements of any type
  anything.kind = ExpressionKind::type;
  anything.type = ValueType::any;
  return list_of;
}

Expression build_any_of(const Node& node) {
  Expression any_of;
  any_of.kind = ExpressionKind::any_of;
  any_of.position = get_position(node);
  for (const auto& alternative : node.children) {
    const bool is_default = alternative->children.front()->is_type<grammar::DefaultMark>();
    if (is_default && any_of.preferred)
      throw BuildError(ErrorCode::duplicate_name, get_position(*alternative),
                       "second default after *" + shorten(describe(any_of.parts[any_of.preferred - 1])) +
                           "; expected at most one alternative marked with *");
    any_of.parts.push_back(build_expression(*alternative->children.back()));
    if (is_default) any_of.preferred = any_of.parts.size();
  }
  if (any_of.parts.size() == 1 && !any_of.preferred) return std::move(any_of.parts.front());
  return any_of;
}

// ---- Records ----

std::string field_name(const Node& label, Position position) {
  if (label.string_view().starts_with('"')) return parse_text(label.string_view(), position);
  return label.string();
}

void add_definition(Definitions* definitions, const std::string& name, Expression value, Position position) {
  if (!definitions)
    throw BuildError(ErrorCode::misplaced, position,
                     "definition " + quote_excerpt(name) +
                         " is inside a record; expected definitions only at the top level of the file");
  if (!definitions->emplace(name, std::move(value)).second)
    throw BuildError(ErrorCode::duplicate_name, position,
                     "duplicate definition " + quote_excerpt(name) + "; expected one definition per name");
}

// Adds a field to `record`, or a #Name to `definitions`, which is null below the top level, where definitions
// are not allowed.
void add_field(const Node& node, Expression& record, Definitions* definitions) {
  FieldDeclaration field;
  field.position = get_position(node);
  field.name = field_name(*node.children.at(0), field.position);
  field.optional = node.children.at(1)->is_type<grammar::OptionalMark>();
  auto value = build_expression(*node.children.back());
  if (field.name.starts_with('#'))
    return add_definition(definitions, field.name, std::move(value), field.position);
  const bool is_repeated = std::any_of(record.fields.begin(), record.fields.end(),
                                       [&](const auto& earlier) { return earlier.name == field.name; });
  if (is_repeated)
    throw BuildError(
        ErrorCode::duplicate_name, field.position,
        "duplicate field " + quote_excerpt(field.name) + "; expected each field of a record once");
  field.type = std::make_shared<const Expression>(std::move(value));
  record.fields.push_back(std::move(field));
}

void add_members(const Node& node, Expression& record, Definitions* definitions) {
  for (const auto& child : node.children) {
    if (child->is_type<grammar::OpenMark>())
      record.open = true;
    else if (child->is_type<grammar::RecordField>())
      add_field(*child, record, definitions);
  }
}

Expression build_record(const Node& node) {
  Expression record;
  record.kind = ExpressionKind::record;
  record.position = get_position(node);
  add_members(node, record, nullptr);
  return record;
}

Expression build_expression(const Node& node) {
  const auto position = get_position(node);
  if (node.is_type<grammar::Number>()) return make_literal(parse_number(node.string_view(), position));
  if (node.is_type<grammar::Text>())
    return make_literal({parse_text(node.string_view(), position), position});
  if (node.is_type<grammar::Word>()) return build_word(node.string_view(), position);
  if (node.is_type<grammar::Reference>()) return build_reference(node);
  if (node.is_type<grammar::Bound>()) return build_bound(node);
  if (node.is_type<grammar::Call>()) return build_call(node);
  if (node.is_type<grammar::RecordBraces>()) return build_record(node);
  if (node.is_type<grammar::ListBrackets>()) return build_compound(ExpressionKind::list, node);
  if (node.is_type<grammar::ListOf>()) return build_list_of(node);
  if (node.is_type<grammar::AnyExpression>()) return build_any_of(node);
  const bool has_operator = node.is_type<grammar::AllOf>() && node.children.size() > 1;
  if (has_operator) return build_compound(ExpressionKind::all_of, node);
  return build_expression(*node.children.front());  // a single operand, or a group in parentheses
}

}  // namespace

Document build_document(const Node& root, std::string file) {
  Document document;
  document.file = std::move(file);
  document.root.kind = ExpressionKind::record;
  document.root.position = {1, 1};
  const auto& children = root.children;
  const bool in_braces = children.size() == 1 && children.front()->is_type<grammar::RecordBraces>();
  add_members(in_braces ? *children.front() : root, document.root, &document.definitions);
  return document;
}

}  // namespace granitegap::typed_config
