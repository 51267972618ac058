#include "typed_config/resolver.h"

#include <algorithm>
#include <utility>

#include "typed_config/field_path.h"
#include "typed_config/printer.h"

namespace granitegap::typed_config {
namespace {

// Returns whether both have one type and are equal. False for lists.
bool equal_scalars(const Value& a, const Value& b) {
  const bool same_type = a.data.index() == b.data.index();
  return same_type && !std::holds_alternative<List>(a.data) && summarize(a) == summarize(b);
}

}  // namespace

std::optional<Value> Resolver::resolve(const Expression& expression, const std::string& path) {
  switch (expression.kind) {
    case ExpressionKind::literal:
      return Value{expression.literal.data, expression.position};
    case ExpressionKind::list:
      return resolve_list(expression, path);
    case ExpressionKind::record:
      return resolve_record(expression, path);
    case ExpressionKind::reference:
      return resolve_reference(expression, path);
    case ExpressionKind::all_of:
      return resolve_all_of(expression, path);
    case ExpressionKind::any_of:
      if (expression.preferred) return resolve(expression.parts[expression.preferred - 1], path);
      break;
    default:
      break;
  }
  return fail(ErrorCode::not_concrete, expression.position, path,
              "expected a concrete value, found " + shorten(describe(expression)));
}

std::optional<Value> Resolver::resolve_list(const Expression& list, const std::string& path) {
  List items;
  for (std::size_t i = 0; i < list.parts.size(); ++i)
    if (auto item = resolve(list.parts[i], element_path(path, i))) items.push_back(std::move(*item));
  return Value{std::move(items), list.position};
}

std::optional<Value> Resolver::resolve_record(const Expression& record, const std::string& path) {
  Record fields;
  for (const auto& field : record.fields) {
    const auto here = field_path(path, field.name);
    if (field.optional) {
      fail(
          ErrorCode::misplaced, field.position, here,
          "expected a field with a value, found the optional field mark ?, which is allowed only in schemas");
      continue;
    }
    if (auto value = resolve(*field.type, here)) fields.push_back({field.name, std::move(*value)});
  }
  return Value{std::move(fields), record.position};
}

std::optional<Value> Resolver::resolve_reference(const Expression& reference, const std::string& path) {
  const auto& name = reference.name;
  const auto definition = document_.definitions.find(name);
  if (definition == document_.definitions.end())
    return fail(ErrorCode::undefined_reference, reference.position, path,
                "undefined reference " + quote_excerpt(name) + "; expected a definition in this file");
  // Without this check a definition that contains itself would recurse without end.
  auto& in_progress = definitions_in_progress_;
  if (std::find(in_progress.begin(), in_progress.end(), name) != in_progress.end())
    return fail(ErrorCode::circular_reference, reference.position, path,
                "definition " + quote_excerpt(name) + " contains itself; expected no cycle");
  in_progress.push_back(name);
  auto value = resolve(definition->second, path);
  in_progress.pop_back();
  return value;
}

std::optional<Value> Resolver::resolve_all_of(const Expression& all_of, const std::string& path) {
  std::optional<Value> merged;
  for (const auto& part : all_of.parts) {
    auto value = resolve(part, path);
    if (!value) return std::nullopt;
    if (!merged)
      merged = std::move(value);
    else if (!merge(*merged, std::move(*value), path))
      return std::nullopt;
  }
  if (merged) merged->position = all_of.position;
  return merged;
}

bool Resolver::merge(Value& target, Value addition, const std::string& path) {
  auto* fields = std::get_if<Record>(&target.data);
  auto* added_fields = std::get_if<Record>(&addition.data);
  if (!fields || !added_fields) {
    if (equal_scalars(target, addition)) return true;
    fail(ErrorCode::conflicting_values, addition.position, path,
         "conflicting values " + summarize(target) + " and " + summarize(addition) + "; expected one value");
    return false;
  }
  for (auto& [name, value] : *added_fields) {
    const auto existing = std::find_if(fields->begin(), fields->end(),
                                       [&name = name](const auto& field) { return field.name == name; });
    if (existing == fields->end())
      fields->push_back({name, std::move(value)});
    else if (!merge(existing->value, std::move(value), field_path(path, name)))
      return false;
  }
  return true;
}

std::nullopt_t Resolver::fail(ErrorCode code, Position position, const std::string& path,
                              std::string message) {
  errors_.push_back({document_.file, position, path, std::move(message), code, ""});
  return std::nullopt;
}

}  // namespace granitegap::typed_config
