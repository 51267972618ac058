#include "typed_config/typed_config.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace granitegap::typed_config {
namespace {

using Errors = std::vector<Error>;
using Definitions = std::map<std::string, Expression>;

std::string quoted(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    switch (c) {
      case '"':
        out += "\\\"";
        break;
      case '\\':
        out += "\\\\";
        break;
      case '\n':
        out += "\\n";
        break;
      case '\r':
        out += "\\r";
        break;
      case '\t':
        out += "\\t";
        break;
      default:
        if (std::uint8_t(c) < 0x20) {
          constexpr char kHex[] = "0123456789abcdef";
          out += "\\u00";
          out += kHex[c >> 4 & 15];
          out += kHex[c & 15];
        } else {
          out += c;
        }
    }
  }
  return out + '"';
}

std::string plain(double value) {
  char text[32];
  const auto end = std::to_chars(text, text + sizeof text, value).ptr;
  std::string out(text, end);
  if (out.find_first_of(".e") == std::string::npos) out += ".0";
  return out;
}

std::string span_text(Duration span) {
  const auto us = span.count();
  if (us % 1000000 == 0) return std::to_string(us / 1000000) + "s";
  if (us % 1000 == 0) return std::to_string(us / 1000) + "ms";
  return std::to_string(us) + "us";
}

std::string size_text(ByteSize size) {
  const auto bytes = std::uint64_t(size);
  if (bytes && bytes % 1048576 == 0) return std::to_string(bytes >> 20) + "MiB";
  if (bytes && bytes % 1024 == 0) return std::to_string(bytes >> 10) + "KiB";
  return std::to_string(bytes) + "B";
}

bool is_word(std::string_view name) {
  if (name.empty() || (name[0] >= '0' && name[0] <= '9')) return false;
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
  });
}

struct Printer {
  std::string out;
  void indent(int depth) { out.append(std::size_t(depth), '\t'); }
  void fields(const Record& record, int depth) {
    for (const auto& [name, value] : record) {
      indent(depth);
      out += is_word(name) ? name : quoted(name);
      out += ": ";
      print(value, depth);
      out += '\n';
    }
  }
  void print(const Value& value, int depth) {
    struct {
      Printer& p;
      int depth;
      void operator()(std::nullptr_t) { p.out += "null"; }
      void operator()(bool b) { p.out += b ? "true" : "false"; }
      void operator()(std::int64_t i) { p.out += std::to_string(i); }
      void operator()(double d) { p.out += plain(d); }
      void operator()(const std::string& s) { p.out += quoted(s); }
      void operator()(Duration s) { p.out += span_text(s); }
      void operator()(ByteSize s) { p.out += size_text(s); }
      void operator()(const List& list) {
        if (list.empty()) {
          p.out += "[]";
          return;
        }
        p.out += "[\n";
        for (const auto& item : list) {
          p.indent(depth + 1);
          p.print(item, depth + 1);
          p.out += ",\n";
        }
        p.indent(depth);
        p.out += ']';
      }
      void operator()(const Record& record) {
        if (record.empty()) {
          p.out += "{}";
          return;
        }
        p.out += "{\n";
        p.fields(record, depth + 1);
        p.indent(depth);
        p.out += '}';
      }
    } visitor{*this, depth};
    std::visit(visitor, value.data);
  }
};

std::string brief(const Value& value) {
  if (std::holds_alternative<Record>(value.data)) return "a record";
  if (std::holds_alternative<List>(value.data))
    return "a list of " + std::to_string(std::get<List>(value.data).size());
  Printer p;
  p.print(value, 0);
  return p.out.size() > 60 ? p.out.substr(0, 57) + "..." : p.out;
}

// What an expression asks for, in its own notation.
std::string described(const Expression& e) {
  const auto joined = [&](const char* between) {
    std::string out;
    for (const auto& part : e.parts) out += (out.empty() ? "" : between) + described(part);
    return out;
  };
  switch (e.kind) {
    case ExpressionKind::literal:
      return brief(e.literal);
    case ExpressionKind::type: {
      static constexpr const char* kNames[] = {
          "anything", "null", "bool", "int", "number", "string", "duration (as 200ms)", "size (as 64KiB)"};
      return kNames[std::size_t(e.type)];
    }
    case ExpressionKind::bound: {
      static constexpr const char* kSigns[] = {"<", "<=", ">", ">=", "!="};
      return kSigns[std::size_t(e.compare)] + brief(e.literal);
    }
    case ExpressionKind::call:
      return e.name + "(" + described(e.parts.front()) + ")";
    case ExpressionKind::reference:
      return e.name;
    case ExpressionKind::all_of:
      return joined(" & ");
    case ExpressionKind::any_of:
      return joined(" | ");
    case ExpressionKind::record:
      return "a record";
    case ExpressionKind::list:
      return "a list of " + std::to_string(e.parts.size());
    case ExpressionKind::list_of:
      return "a list of " + described(e.parts.front());
  }
  return {};
}

std::string below(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}

// ---- From a data file's expressions to one concrete value ----
class Resolver {
 public:
  Resolver(const Document& data, Errors& errors) : data_(data), errors_(errors) {}

  std::optional<Value> resolve(const Expression& e, const std::string& path) {
    switch (e.kind) {
      case ExpressionKind::literal:
        return Value{e.literal.data, e.position};
      case ExpressionKind::list: {
        List list;
        for (std::size_t i = 0; i < e.parts.size(); ++i)
          if (auto item = resolve(e.parts[i], path + "[" + std::to_string(i) + "]"))
            list.push_back(std::move(*item));
        return Value{std::move(list), e.position};
      }
      case ExpressionKind::record: {
        Record record;
        for (const auto& f : e.fields) {
          if (f.optional) {
            fail(f.position, below(path, f.name), "a ? belongs in definitions; expected a value");
            continue;
          }
          if (auto value = resolve(*f.type, below(path, f.name)))
            record.emplace_back(f.name, std::move(*value));
        }
        return Value{std::move(record), e.position};
      }
      case ExpressionKind::reference: {
        const auto it = data_.definitions.find(e.name);
        if (it == data_.definitions.end())
          return fail(e.position, path, e.name + " is not defined in this file");
        // Guards against definitions that stand in each other.
        if (std::find(open_.begin(), open_.end(), e.name) != open_.end())
          return fail(e.position, path, e.name + " stands in itself");
        open_.push_back(e.name);
        auto value = resolve(it->second, path);
        open_.pop_back();
        return value;
      }
      case ExpressionKind::all_of: {
        std::optional<Value> all;
        for (const auto& part : e.parts) {
          auto one = resolve(part, path);
          if (!one) return std::nullopt;
          if (!all)
            all = std::move(one);
          else if (!merge(*all, std::move(*one), path))
            return std::nullopt;
        }
        if (all) all->position = e.position;
        return all;
      }
      case ExpressionKind::any_of:
        if (e.preferred) return resolve(e.parts[e.preferred - 1], path);
        [[fallthrough]];
      default:
        return fail(e.position, path, "expected a value, found " + described(e));
    }
  }

 private:
  std::optional<Value> fail(Position at, const std::string& path, std::string what) {
    errors_.push_back({data_.file, at, path, std::move(what)});
    return std::nullopt;
  }
  bool merge(Value& to, Value from, const std::string& path) {
    auto* record = std::get_if<Record>(&to.data);
    auto* more = std::get_if<Record>(&from.data);
    if (!record || !more) {
      if (brief(to) == brief(from) && to.data.index() == from.data.index() &&
          !std::holds_alternative<List>(to.data))
        return true;
      fail(from.position, path, "both " + brief(to) + " and " + brief(from));
      return false;
    }
    for (auto& [name, value] : *more) {
      const auto same =
          std::find_if(record->begin(), record->end(), [&n = name](auto& f) { return f.first == n; });
      if (same == record->end())
        record->emplace_back(name, std::move(value));
      else if (!merge(same->second, std::move(value), below(path, name)))
        return false;
    }
    return true;
  }
  const Document& data_;
  Errors& errors_;
  std::vector<std::string> open_;
};

// ---- Against a schema ----
class Checker {
 public:
  Checker(const Document& schema, const std::string& file) : schema_(schema), file_(file) {}

  // The value as the schema types it, with its defaults; absent with at least one error added.
  std::optional<Value> check(const Value& v, const Expression& e, const std::string& path,
                             Errors& errors) const {
    const auto fail = [&](const std::string& what) -> std::optional<Value> {
      errors.push_back({file_, v.position, path, what});
      return std::nullopt;
    };
    const auto mismatch = [&] { return fail("expected " + described(e) + ", found " + brief(v)); };
    switch (e.kind) {
      case ExpressionKind::literal: {
        const auto own = coerced(v, type_of(e.literal));
        return own && equal(*own, e.literal) ? own : mismatch();
      }
      case ExpressionKind::type: {
        auto own = coerced(v, e.type);
        return own ? own : mismatch();
      }
      case ExpressionKind::bound: {
        const auto own = coerced(v, e.literal.data.index() == 2 ? ValueType::number : type_of(e.literal));
        if (!own || !holds(*own, e)) return mismatch();
        // A bound on a number leaves a whole number whole.
        return std::holds_alternative<double>(own->data) ? v : *own;
      }
      case ExpressionKind::call:
        return counts(v, e) ? std::optional(v) : mismatch();
      case ExpressionKind::reference: {
        const auto* definition = find(e.name);
        return definition ? check(v, *definition, path, errors)
                          : fail(e.name + " is not defined in the schema");
      }
      case ExpressionKind::all_of: {
        auto all = v;
        for (const auto& part : e.parts) {
          Errors own;
          auto next = check(all, part, path, own);
          if (!next) {
            // What the whole asks for says more than the part that failed, unless that lies deeper.
            const bool deeper = std::any_of(own.begin(), own.end(), [&](auto& x) { return x.field != path; });
            if (!deeper) return mismatch();
            errors.insert(errors.end(), own.begin(), own.end());
            return std::nullopt;
          }
          all = std::move(*next);
        }
        return all;
      }
      case ExpressionKind::any_of: {
        Errors deepest;
        for (const auto& part : e.parts) {
          Errors own;
          if (auto fits = check(v, part, path, own)) return fits;
          const bool deeper = std::any_of(own.begin(), own.end(), [&](auto& x) { return x.field != path; });
          if (deeper && deepest.empty()) deepest = std::move(own);
        }
        if (deepest.empty()) return mismatch();
        errors.insert(errors.end(), deepest.begin(), deepest.end());
        return std::nullopt;
      }
      case ExpressionKind::record:
        return check_record(v, e, path, errors);
      case ExpressionKind::list: {
        const auto* list = std::get_if<List>(&v.data);
        if (!list || list->size() != e.parts.size()) return mismatch();
        return check_list(
            v, *list, [&](std::size_t i) -> const Expression& { return e.parts[i]; }, path, errors);
      }
      case ExpressionKind::list_of: {
        const auto* list = std::get_if<List>(&v.data);
        if (!list) return mismatch();
        return check_list(
            v, *list, [&](std::size_t) -> const Expression& { return e.parts.front(); }, path, errors);
      }
    }
    return std::nullopt;
  }

  const Expression* find(const std::string& name) const {
    const auto it = schema_.definitions.find(name);
    return it == schema_.definitions.end() ? nullptr : &it->second;
  }

 private:
  template <class TypeOf>
  std::optional<Value> check_list(const Value& v, const List& list, TypeOf type_of_item,
                                  const std::string& path, Errors& errors) const {
    List typed;
    bool good = true;
    for (std::size_t i = 0; i < list.size(); ++i) {
      auto item = check(list[i], type_of_item(i), path + "[" + std::to_string(i) + "]", errors);
      good = good && item;
      if (item) typed.push_back(std::move(*item));
    }
    if (!good) return std::nullopt;
    return Value{std::move(typed), v.position};
  }

  std::optional<Value> check_record(const Value& v, const Expression& e, const std::string& path,
                                    Errors& errors) const {
    const auto* record = std::get_if<Record>(&v.data);
    if (!record) {
      errors.push_back({file_, v.position, path, "expected a record, found " + brief(v)});
      return std::nullopt;
    }
    Record typed;
    bool good = true;
    for (const auto& f : e.fields) {
      const auto here = below(path, f.name);
      if (const auto* given = v.find(f.name)) {
        auto value = check(*given, *f.type, here, errors);
        good = good && value;
        if (value) typed.emplace_back(f.name, std::move(*value));
      } else if (!f.optional) {
        auto value = default_of(*f.type);
        good = good && value;
        if (value)
          typed.emplace_back(f.name, std::move(*value));
        else
          errors.push_back({file_, v.position, here, "missing; expected " + described(*f.type)});
      }
    }
    for (const auto& [name, value] : *record) {
      if (std::any_of(e.fields.begin(), e.fields.end(), [&n = name](auto& f) { return f.name == n; }))
        continue;
      if (e.open) {
        typed.emplace_back(name, value);
        continue;
      }
      std::string known;
      for (const auto& f : e.fields) known += (known.empty() ? "" : ", ") + f.name;
      errors.push_back({file_, value.position, below(path, name), "unknown field; expected one of " + known});
      good = false;
    }
    if (!good) return std::nullopt;
    return Value{std::move(typed), v.position};
  }

  std::optional<Value> default_of(const Expression& e) const {
    Errors ignored;
    switch (e.kind) {
      case ExpressionKind::literal:
        return Value{e.literal.data, {}};
      case ExpressionKind::any_of: {
        if (!e.preferred) return std::nullopt;
        auto own = default_of(e.parts[e.preferred - 1]);
        // Typed as the other alternatives are, so that a default written as a text comes out a duration.
        for (std::size_t i = 0; own && i < e.parts.size(); ++i)
          if (i + 1 != e.preferred)
            if (auto typed = check(*own, e.parts[i], "", ignored)) return typed;
        return own;
      }
      case ExpressionKind::reference: {
        const auto* definition = find(e.name);
        return definition ? default_of(*definition) : std::nullopt;
      }
      case ExpressionKind::record:
        return check(Value{Record{}, {}}, e, "", ignored);
      case ExpressionKind::list:
        return e.parts.empty() ? std::optional(Value{List{}, {}}) : std::nullopt;
      case ExpressionKind::list_of:
        return Value{List{}, {}};
      case ExpressionKind::all_of: {
        for (const auto& part : e.parts)
          if (const auto own = default_of(part)) return check(*own, e, "", ignored);
        return std::nullopt;
      }
      default:
        return std::nullopt;
    }
  }

  static ValueType type_of(const Value& v) {
    switch (v.data.index()) {
      case 0:
        return ValueType::null;
      case 1:
        return ValueType::boolean;
      case 2:
        return ValueType::integer;
      case 3:
        return ValueType::number;
      case 4:
        return ValueType::string;
      case 5:
        return ValueType::duration;
      case 6:
        return ValueType::byte_size;
      default:
        return ValueType::any;
    }
  }
  // JSON has no literals for durations and sizes: a text that reads as one is one.
  static std::optional<Value> coerced(const Value& v, ValueType type) {
    if (type == ValueType::any || type_of(v) == type) return v;
    if (type == ValueType::number && std::holds_alternative<std::int64_t>(v.data))
      return Value{double(std::get<std::int64_t>(v.data)), v.position};
    if (const auto* text = std::get_if<std::string>(&v.data)) {
      Duration span{};
      ByteSize size{};
      if (type == ValueType::duration && parse_duration(*text, span)) return Value{span, v.position};
      if (type == ValueType::byte_size && parse_byte_size(*text, size)) return Value{size, v.position};
    }
    return std::nullopt;
  }
  static bool equal(const Value& a, const Value& b) {
    return a.data.index() == b.data.index() && !std::holds_alternative<Record>(a.data) &&
           !std::holds_alternative<List>(a.data) && brief(a) == brief(b);
  }
  template <class T>
  static bool compares(const T& a, Comparison how, const T& b) {
    switch (how) {
      case Comparison::less:
        return a < b;
      case Comparison::at_most:
        return a <= b;
      case Comparison::more:
        return a > b;
      case Comparison::at_least:
        return a >= b;
      case Comparison::unlike:
        return a != b;
    }
    return false;
  }
  static bool holds(const Value& v, const Expression& bound) {
    if (const auto* number = std::get_if<double>(&v.data))
      return compares(*number, bound.compare, bound.literal.as_double());
    if (const auto* text = std::get_if<std::string>(&v.data))
      return compares(*text, bound.compare, bound.literal.as_string());
    if (const auto* span = std::get_if<Duration>(&v.data))
      return compares(*span, bound.compare, bound.literal.as_duration());
    if (const auto* size = std::get_if<ByteSize>(&v.data))
      return compares(*size, bound.compare, std::get<ByteSize>(bound.literal.data));
    return false;
  }
  static bool counts(const Value& v, const Expression& call) {
    const auto n = call.parts.front().literal.as_int();
    const bool least = call.name.ends_with("MinItems") || call.name.ends_with("MinRunes");
    std::int64_t count = 0;
    if (call.name.starts_with("list.")) {
      const auto* list = std::get_if<List>(&v.data);
      if (!list) return false;
      count = std::int64_t(list->size());
    } else {
      const auto* text = std::get_if<std::string>(&v.data);
      if (!text) return false;
      count =
          std::count_if(text->begin(), text->end(), [](char c) { return (std::uint8_t(c) & 0xc0) != 0x80; });
    }
    return least ? count >= n : count <= n;
  }

  const Document& schema_;
  const std::string& file_;
};

}  // namespace

std::string Error::text() const {
  std::string out = file;
  if (position.line) out += ":" + std::to_string(position.line) + ":" + std::to_string(position.column);
  out += ": ";
  if (!field.empty()) out += field + ": ";
  return out + message;
}

const Value* Value::find(std::string_view field) const {
  const auto* record = std::get_if<Record>(&data);
  if (!record) return nullptr;
  const auto it = std::find_if(record->begin(), record->end(), [&](auto& f) { return f.first == field; });
  return it == record->end() ? nullptr : &it->second;
}

const Value& Value::operator[](std::string_view field) const {
  const auto* value = find(field);
  if (!value) throw std::bad_variant_access();
  return *value;
}

double Value::as_double() const {
  const auto* whole = std::get_if<std::int64_t>(&data);
  return whole ? double(*whole) : std::get<double>(data);
}

std::variant<Value, std::vector<Error>> validate(const Document& data, const Document& schema,
                                                 std::string_view definition) {
  Errors errors;
  const auto concrete = Resolver(data, errors).resolve(data.top, "");
  const auto unresolved = errors;
  const Checker checker(schema, data.file);
  const auto* type = checker.find(std::string(definition));
  if (!type) errors.push_back({schema.file, {}, "", "no " + std::string(definition) + " in the schema"});
  std::optional<Value> typed;
  if (concrete && type) typed = checker.check(*concrete, *type, "", errors);
  // A field that could not be read is not missing as well.
  std::erase_if(errors, [&](const Error& e) {
    return e.message.starts_with("missing") &&
           std::any_of(unresolved.begin(), unresolved.end(),
                       [&](const Error& u) { return u.field.starts_with(e.field); });
  });
  if (!errors.empty() || !typed) {
    std::stable_sort(errors.begin(), errors.end(), [](const Error& a, const Error& b) {
      return std::pair(a.position.line, a.position.column) < std::pair(b.position.line, b.position.column);
    });
    return errors;
  }
  return std::move(*typed);
}

std::string print(const Value& value) {
  Printer p;
  if (const auto* record = std::get_if<Record>(&value.data)) {
    p.fields(*record, 0);
    return p.out;
  }
  p.print(value, 0);
  return p.out + "\n";
}

}  // namespace granitegap::typed_config
