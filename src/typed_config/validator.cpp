// Implementation of validate().
#include <algorithm>
#include <optional>
#include <utility>

#include "typed_config/constraints.h"
#include "typed_config/field_path.h"
#include "typed_config/printer.h"
#include "typed_config/resolver.h"
#include "typed_config/typed_config.h"

namespace granitegap::typed_config {
namespace {

// Returns whether any error of the value at `path` is about a value nested in it.
bool any_nested(const Errors& errors, const std::string& path) {
  return std::any_of(errors.begin(), errors.end(), [&](const auto& error) { return error.field != path; });
}

void append(Errors& errors, const Errors& more) { errors.insert(errors.end(), more.begin(), more.end()); }

// Checks concrete values against the expressions of a schema.
class Validator {
 public:
  // `file` is the name of the data file. Both arguments must outlive the validator.
  Validator(const Document& schema, const std::string& file) : schema_(schema), file_(file) {}

  // Returns the value as the schema types it, with its defaults, or adds at least one error and returns
  // nothing.
  std::optional<Value> check(const Value& value, const Expression& type, const std::string& path,
                             Errors& errors) const;
  // Returns null if the schema has no definition of that name.
  const Expression* find_definition(const std::string& name) const;

 private:
  std::optional<Value> check_reference(const Value& value, const Expression& reference,
                                       const std::string& path, Errors& errors) const;
  std::optional<Value> check_all_of(const Value& value, const Expression& all_of, const std::string& path,
                                    Errors& errors) const;
  std::optional<Value> check_any_of(const Value& value, const Expression& any_of, const std::string& path,
                                    Errors& errors) const;
  std::optional<Value> check_list(const Value& value, const Expression& type, const std::string& path,
                                  Errors& errors) const;
  std::optional<Value> check_record(const Value& value, const Expression& type, const std::string& path,
                                    Errors& errors) const;
  bool check_declared_fields(const Value& value, const Expression& type, const std::string& path,
                             Record& typed, Errors& errors) const;
  bool check_other_fields(const Record& record, const Expression& type, const std::string& path,
                          Record& typed, Errors& errors) const;
  std::optional<Value> find_default(const Expression& type) const;
  std::optional<Value> find_default_of_any_of(const Expression& any_of) const;
  std::optional<Value> find_default_of_all_of(const Expression& all_of) const;

  void fail(Errors& errors, ErrorCode code, const Value& value, const std::string& path,
            std::string message) const {
    errors.push_back({file_, value.position, path, std::move(message), code, summarize(value)});
  }
  std::nullopt_t fail_mismatch(Errors& errors, const Value& value, const Expression& type,
                               const std::string& path) const {
    fail(errors, ErrorCode::type_mismatch, value, path,
         "expected " + describe(type) + ", found " + summarize(value));
    return std::nullopt;
  }

  const Document& schema_;
  const std::string& file_;
};

const Expression* Validator::find_definition(const std::string& name) const {
  const auto found = schema_.definitions.find(name);
  return found == schema_.definitions.end() ? nullptr : &found->second;
}

std::optional<Value> Validator::check(const Value& value, const Expression& type, const std::string& path,
                                      Errors& errors) const {
  switch (type.kind) {
    case ExpressionKind::literal:
    case ExpressionKind::type:
    case ExpressionKind::bound:
    case ExpressionKind::call: {
      auto typed = apply_constraint(value, type);
      if (!typed) return fail_mismatch(errors, value, type, path);
      return typed;
    }
    case ExpressionKind::reference:
      return check_reference(value, type, path, errors);
    case ExpressionKind::all_of:
      return check_all_of(value, type, path, errors);
    case ExpressionKind::any_of:
      return check_any_of(value, type, path, errors);
    case ExpressionKind::record:
      return check_record(value, type, path, errors);
    case ExpressionKind::list:
    case ExpressionKind::list_of:
      return check_list(value, type, path, errors);
  }
  return std::nullopt;
}

std::optional<Value> Validator::check_reference(const Value& value, const Expression& reference,
                                                const std::string& path, Errors& errors) const {
  const auto* definition = find_definition(reference.name);
  if (definition) return check(value, *definition, path, errors);
  fail(errors, ErrorCode::undefined_reference, value, path, reference.name + " is not defined in the schema");
  return std::nullopt;
}

std::optional<Value> Validator::check_all_of(const Value& value, const Expression& all_of,
                                             const std::string& path, Errors& errors) const {
  auto typed = value;
  for (const auto& part : all_of.parts) {
    Errors part_errors;
    auto next = check(typed, part, path, part_errors);
    if (next) {
      typed = std::move(*next);
      continue;
    }
    // The complete expression is more informative than the failed operand, unless the error is about a nested
    // value.
    if (!any_nested(part_errors, path)) return fail_mismatch(errors, value, all_of, path);
    append(errors, part_errors);
    return std::nullopt;
  }
  return typed;
}

std::optional<Value> Validator::check_any_of(const Value& value, const Expression& any_of,
                                             const std::string& path, Errors& errors) const {
  Errors nested_errors;  // of the first alternative that matches the value itself but not a nested value
  for (const auto& part : any_of.parts) {
    Errors part_errors;
    if (auto typed = check(value, part, path, part_errors)) return typed;
    if (nested_errors.empty() && any_nested(part_errors, path)) nested_errors = std::move(part_errors);
  }
  if (nested_errors.empty()) return fail_mismatch(errors, value, any_of, path);
  append(errors, nested_errors);
  return std::nullopt;
}

std::optional<Value> Validator::check_list(const Value& value, const Expression& type,
                                           const std::string& path, Errors& errors) const {
  const bool has_fixed_length = type.kind == ExpressionKind::list;
  const auto* list = std::get_if<List>(&value.data);
  if (!list || (has_fixed_length && list->size() != type.parts.size()))
    return fail_mismatch(errors, value, type, path);
  List typed;
  for (std::size_t i = 0; i < list->size(); ++i) {
    const auto& item_type = has_fixed_length ? type.parts[i] : type.parts.front();
    if (auto item = check((*list)[i], item_type, element_path(path, i), errors))
      typed.push_back(std::move(*item));
  }
  if (typed.size() < list->size()) return std::nullopt;
  return Value{std::move(typed), value.position};
}

std::optional<Value> Validator::check_record(const Value& value, const Expression& type,
                                             const std::string& path, Errors& errors) const {
  const auto* record = std::get_if<Record>(&value.data);
  if (!record) {
    fail(errors, ErrorCode::type_mismatch, value, path, "expected a record, found " + summarize(value));
    return std::nullopt;
  }
  Record typed;
  const bool declared_valid = check_declared_fields(value, type, path, typed, errors);
  const bool others_valid = check_other_fields(*record, type, path, typed, errors);
  if (!declared_valid || !others_valid) return std::nullopt;
  return Value{std::move(typed), value.position};
}

// Checks the fields that the schema declares and fills in the defaults of absent ones. Returns false if any
// has an error.
bool Validator::check_declared_fields(const Value& value, const Expression& type, const std::string& path,
                                      Record& typed, Errors& errors) const {
  bool valid = true;
  for (const auto& field : type.fields) {
    const auto here = field_path(path, field.name);
    const auto* given = value.find(field.name);
    if (!given && field.optional) continue;
    auto result = given ? check(*given, *field.type, here, errors) : find_default(*field.type);
    if (!given && !result)
      errors.push_back({file_, value.position, here,
                        "required field is missing; expected " + describe(*field.type),
                        ErrorCode::missing_field, ""});
    if (result)
      typed.push_back({field.name, std::move(*result)});
    else
      valid = false;
  }
  return valid;
}

// Handles fields that the schema does not declare: an open record keeps them, in a closed one they are
// errors.
bool Validator::check_other_fields(const Record& record, const Expression& type, const std::string& path,
                                   Record& typed, Errors& errors) const {
  bool valid = true;
  for (const auto& [name, value] : record) {
    const bool is_declared = std::any_of(type.fields.begin(), type.fields.end(),
                                         [&name = name](const auto& field) { return field.name == name; });
    if (is_declared) continue;
    if (type.open) {
      typed.push_back({name, value});
      continue;
    }
    std::string known;
    for (const auto& field : type.fields) known += (known.empty() ? "" : ", ") + field.name;
    fail(errors, ErrorCode::unknown_field, value, field_path(path, name),
         "unknown field; expected one of " + known);
    valid = false;
  }
  return valid;
}

std::optional<Value> Validator::find_default(const Expression& type) const {
  Errors ignored;
  switch (type.kind) {
    case ExpressionKind::literal:
      return Value{type.literal.data, {}};
    case ExpressionKind::any_of:
      return find_default_of_any_of(type);
    case ExpressionKind::all_of:
      return find_default_of_all_of(type);
    case ExpressionKind::reference: {
      const auto* definition = find_definition(type.name);
      return definition ? find_default(*definition) : std::nullopt;
    }
    case ExpressionKind::record:
      return check(Value{Record{}, {}}, type, "", ignored);
    case ExpressionKind::list:
      return type.parts.empty() ? std::optional(Value{List{}, {}}) : std::nullopt;
    case ExpressionKind::list_of:
      return Value{List{}, {}};
    default:
      return std::nullopt;
  }
}

// Returns the default, converted by the other alternatives, so that a default written as a text becomes a
// duration.
std::optional<Value> Validator::find_default_of_any_of(const Expression& any_of) const {
  if (!any_of.preferred) return std::nullopt;
  const auto preferred_index = any_of.preferred - 1;
  auto value = find_default(any_of.parts[preferred_index]);
  if (!value) return std::nullopt;
  Errors ignored;
  for (std::size_t i = 0; i < any_of.parts.size(); ++i) {
    if (i == preferred_index) continue;
    if (auto typed = check(*value, any_of.parts[i], "", ignored)) return typed;
  }
  return value;
}

std::optional<Value> Validator::find_default_of_all_of(const Expression& all_of) const {
  Errors ignored;
  for (const auto& part : all_of.parts)
    if (const auto value = find_default(part)) return check(*value, all_of, "", ignored);
  return std::nullopt;
}

// Removes errors about missing fields that are present but could not be resolved.
void drop_missing_where_unresolved(Errors& errors, const Errors& unresolved) {
  std::erase_if(errors, [&](const Error& error) {
    return error.code == ErrorCode::missing_field &&
           std::any_of(unresolved.begin(), unresolved.end(),
                       [&](const Error& other) { return other.field.starts_with(error.field); });
  });
}

void sort_by_position(Errors& errors) {
  std::stable_sort(errors.begin(), errors.end(), [](const Error& a, const Error& b) {
    return std::pair(a.position.line, a.position.column) < std::pair(b.position.line, b.position.column);
  });
}

}  // namespace

std::variant<Value, Errors> validate(const Document& data, const Document& schema,
                                     std::string_view definition) {
  Errors errors;
  const auto concrete = Resolver(data, errors).resolve(data.root, "");
  const auto unresolved = errors;
  const std::string name(definition);
  const Validator validator(schema, data.file);
  const auto* type = validator.find_definition(name);
  if (!type)
    errors.push_back({schema.file,
                      {},
                      "",
                      "expected a definition " + name + " in the schema, found none",
                      ErrorCode::undefined_reference,
                      ""});
  std::optional<Value> typed;
  if (concrete && type) typed = validator.check(*concrete, *type, "", errors);
  drop_missing_where_unresolved(errors, unresolved);
  if (errors.empty() && typed) return std::move(*typed);
  sort_by_position(errors);
  return errors;
}

}  // namespace granitegap::typed_config
