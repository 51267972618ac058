// The grammar, in PEGTL, and the way from its parse tree to expressions.
#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <optional>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

#include "typed_config/typed_config.h"

namespace granitegap::typed_config {
namespace {

namespace p = tao::pegtl;

constexpr std::size_t kMaxBytes = 1 << 20;
constexpr std::size_t kMaxDepth = 64;

// ---- Grammar ----
struct comment : p::seq<p::string<'/', '/'>, p::until<p::at<p::eolf>>> {};
struct inline_space : p::star<p::blank> {};
struct space : p::star<p::sor<p::space, comment>> {};

struct hex4 : p::rep<4, p::xdigit> {};
struct escaped : p::seq<p::one<'\\'>,
                        p::sor<p::one<'"', '\\', '/', 'b', 'f', 'n', 'r', 't'>, p::seq<p::one<'u'>, hex4>>> {
};
struct text_inside : p::star<p::sor<escaped, p::seq<p::not_at<p::one<'"', '\\', '\n', '\r'>>, p::any>>> {};
struct text_end : p::one<'"'> {};
struct text : p::seq<p::one<'"'>, text_inside, p::must<text_end>> {};

struct digits : p::plus<p::digit> {};
struct unit : p::sor<p::string<'u', 's'>, p::string<'m', 's'>, p::string<'K', 'i', 'B'>,
                     p::string<'M', 'i', 'B'>, p::string<'G', 'i', 'B'>, p::one<'s', 'm', 'h', 'B'>> {};
struct exponent : p::seq<p::one<'e', 'E'>, p::opt<p::one<'+', '-'>>, digits> {};
struct number_end : p::not_at<p::identifier_other> {};
struct number : p::seq<p::opt<p::one<'-'>>, digits, p::opt<p::one<'.'>, digits>, p::opt<exponent>,
                       p::opt<unit>, p::must<number_end>> {};

struct expression;
struct word : p::seq<p::identifier_first,
                     p::star<p::sor<p::identifier_other, p::seq<p::one<'.'>, p::at<p::alpha>>>>> {};
struct call_end : p::one<')'> {};
struct call_argument : p::seq<space, p::must<expression>, space> {};
struct call : p::seq<word, p::one<'('>, call_argument, p::must<call_end>> {};
struct reference : p::seq<p::one<'#'>, p::identifier> {};
struct compare : p::sor<p::string<'<', '='>, p::string<'>', '='>, p::string<'!', '='>, p::one<'<', '>'>> {};
struct bound_of : p::sor<number, text> {};
struct bound : p::seq<compare, inline_space, p::must<bound_of>> {};

struct separator : p::seq<inline_space, p::opt<comment>, p::sor<p::one<','>, p::eol>, space> {};
struct label : p::sor<reference, text, p::identifier> {};
struct optional_mark : p::one<'?'> {};
struct colon : p::one<':'> {};
struct field_value : p::must<expression> {};
struct field : p::seq<label, p::opt<optional_mark>, inline_space, p::must<colon>, space, field_value> {};
struct open_mark : p::string<'.', '.', '.'> {};
struct member : p::sor<open_mark, field> {};
struct members : p::opt<p::list_tail<member, separator>> {};
struct record_end : p::one<'}'> {};
struct record : p::seq<p::one<'{'>, space, members, space, p::must<record_end>> {};
struct elements : p::opt<p::list_tail<expression, p::seq<space, p::one<','>, space>>> {};
struct list_end : p::one<']'> {};
struct list_of : p::seq<p::one<'['>, space, p::string<'.', '.', '.'>, space,
                        p::sor<p::at<p::one<']'>>, p::must<expression>>, space, p::must<list_end>> {};
struct list : p::seq<p::one<'['>, space, elements, space, p::must<list_end>> {};
struct group_end : p::one<')'> {};
struct group : p::seq<p::one<'('>, space, p::must<expression>, space, p::must<group_end>> {};
struct term : p::sor<number, text, record, list_of, list, bound, reference, call, group, word> {};
struct operand : p::must<term> {};
struct all_of : p::seq<term, p::star<inline_space, p::one<'&'>, space, operand>> {};
struct preferred : p::one<'*'> {};
struct alternative : p::seq<p::opt<preferred>, all_of> {};
struct more_alternatives : p::must<alternative> {};
struct expression : p::seq<alternative, p::star<inline_space, p::one<'|'>, space, more_alternatives>> {};
// JSON's outermost braces may stand round the whole.
struct end_of_file : p::eof {};
struct file
    : p::seq<space, p::sor<p::seq<record, space, p::at<p::eof>>, members>, space, p::must<end_of_file>> {};

template <class Rule>
using selector =
    p::parse_tree::selector<Rule,
                            p::parse_tree::store_content::on<number, text, word, reference, compare, label,
                                                             optional_mark, open_mark, preferred>,
                            p::parse_tree::remove_content::on<expression, alternative, all_of, bound, call,
                                                              record, list, list_of, group, field>>;

// ---- What was expected, where it was not found ----
template <class>
constexpr const char* expected = nullptr;
template <>
constexpr const char* expected<text_end> = "expected the closing \" of a text on its line";
template <>
constexpr const char* expected<number_end> =
    "expected a number, or one with a unit: us ms s m h B KiB MiB GiB";
template <>
constexpr const char* expected<expression> = "expected a value";
template <>
constexpr const char* expected<term> = "expected a value after the operator";
template <>
constexpr const char* expected<alternative> = "expected a value after |";
template <>
constexpr const char* expected<call_end> = "expected ) after the argument";
template <>
constexpr const char* expected<bound_of> = "expected a number or text to compare with";
template <>
constexpr const char* expected<colon> = "expected : after the field's name";
template <>
constexpr const char* expected<record_end> =
    "expected a field or }, with a comma or a new line between fields";
template <>
constexpr const char* expected<list_end> = "expected , or ]";
template <>
constexpr const char* expected<group_end> = "expected )";
template <>
constexpr const char* expected<end_of_file> = "expected a field, with a comma or a new line between fields";

struct messages {
  template <class Rule>
  static constexpr auto message = expected<Rule>;
  template <class Rule>
  static constexpr bool raise_on_failure =
      false;  // only where must<> asks for it: elsewhere it may be an option
};
template <class Rule>
using control = p::must_if<messages>::control<Rule>;

// ---- From the tree to expressions ----
using Node = p::parse_tree::node;

Position place(const Node& n) { return {n.begin().line, n.begin().column}; }

struct Bad {  // stays in this file
  Position position;
  std::string message;
};

void put_utf8(std::string& to, std::uint32_t c) {
  if (c < 0x80) {
    to += char(c);
  } else if (c < 0x800) {
    to += char(0xc0 | c >> 6);
    to += char(0x80 | (c & 0x3f));
  } else if (c < 0x10000) {
    to += char(0xe0 | c >> 12);
    to += char(0x80 | (c >> 6 & 0x3f));
    to += char(0x80 | (c & 0x3f));
  } else {
    to += char(0xf0 | c >> 18);
    to += char(0x80 | (c >> 12 & 0x3f));
    to += char(0x80 | (c >> 6 & 0x3f));
    to += char(0x80 | (c & 0x3f));
  }
}

std::string unquote(std::string_view quoted, Position at) {
  std::string out;
  const auto body = quoted.substr(1, quoted.size() - 2);
  const auto code_at = [&](std::size_t i) {
    std::uint32_t code = 0;
    std::from_chars(body.data() + i, body.data() + std::min(i + 4, body.size()), code, 16);
    return code;
  };
  for (std::size_t i = 0; i < body.size(); ++i) {
    if (body[i] != '\\') {
      out += body[i];
      continue;
    }
    const char c = body[++i];
    if (c != 'u') {
      constexpr std::string_view from = "bfnrt", to = "\b\f\n\r\t";
      const auto k = from.find(c);
      out += k == std::string_view::npos ? c : to[k];
      continue;
    }
    auto code = code_at(i + 1);
    i += 4;
    if (code >= 0xd800 && code < 0xdc00 && body.substr(i + 1, 2) == "\\u") {
      const auto low = code_at(i + 3);
      if (low >= 0xdc00 && low < 0xe000) {
        code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
        i += 6;
      }
    }
    if (code >= 0xd800 && code < 0xe000) throw Bad{at, "half of a surrogate pair in a text"};
    put_utf8(out, code);
  }
  return out;
}

Value read_number(std::string_view text, Position at) {
  Duration span{};
  ByteSize size{};
  if (parse_duration(text, span)) return {span, at};
  if (parse_byte_size(text, size)) return {size, at};
  const auto* end = text.data() + text.size();
  if (text.find_first_of(".eE") == std::string_view::npos) {
    std::int64_t whole = 0;
    const auto [to, error] = std::from_chars(text.data(), end, whole);
    if (error == std::errc{} && to == end) return {whole, at};
  }
  double value = 0;
  const auto [to, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || to != end || !std::isfinite(value)) throw Bad{at, "a number out of range"};
  return {value, at};
}

Expression literal(Value value, Position at) {
  Expression e;
  e.kind = ExpressionKind::literal;
  e.position = at;
  e.literal = std::move(value);
  return e;
}

Expression read_word(std::string_view word, Position at) {
  if (word == "true" || word == "false") return literal({word == "true", at}, at);
  if (word == "null") return literal({nullptr, at}, at);
  static constexpr std::pair<std::string_view, ValueType> kTypes[] = {
      {"_", ValueType::any},         {"bool", ValueType::boolean},  {"int", ValueType::integer},
      {"number", ValueType::number}, {"string", ValueType::string}, {"duration", ValueType::duration},
      {"size", ValueType::byte_size}};
  for (const auto& [name, type] : kTypes)
    if (word == name) {
      Expression e;
      e.kind = ExpressionKind::type;
      e.position = at;
      e.type = type;
      return e;
    }
  throw Bad{at, "unknown word " + std::string(word) +
                    "; expected true, false, null, a \"text\", or one of the types bool int number string "
                    "duration size _"};
}

Expression convert(const Node& n);

void convert_members(const Node& n, Expression& record, std::map<std::string, Expression>* definitions) {
  for (const auto& child : n.children) {
    if (child->is_type<open_mark>()) {
      record.open = true;
      continue;
    }
    if (!child->is_type<field>()) continue;
    FieldDeclaration f;
    f.position = place(*child);
    const auto& name = *child->children.at(0);
    f.name = name.string().starts_with('"') ? unquote(name.string_view(), f.position) : name.string();
    f.optional = child->children.at(1)->is_type<optional_mark>();
    auto value = convert(*child->children.back());
    if (f.name.starts_with('#')) {
      if (!definitions) throw Bad{f.position, "definitions stand at the top of the file"};
      if (!definitions->emplace(f.name, std::move(value)).second)
        throw Bad{f.position, f.name + " is defined twice"};
      continue;
    }
    if (std::any_of(record.fields.begin(), record.fields.end(), [&](auto& k) { return k.name == f.name; }))
      throw Bad{f.position, "field " + f.name + " stands twice"};
    f.type = std::make_shared<const Expression>(std::move(value));
    record.fields.push_back(std::move(f));
  }
}

Comparison compare_of(std::string_view sign) {
  if (sign == "<") return Comparison::less;
  if (sign == "<=") return Comparison::at_most;
  if (sign == ">") return Comparison::more;
  return sign == ">=" ? Comparison::at_least : Comparison::unlike;
}

Expression convert(const Node& n) {
  Expression e;
  e.position = place(n);
  const auto parts = [&] {
    for (const auto& c : n.children) e.parts.push_back(convert(*c));
  };
  if (n.is_type<number>()) return literal(read_number(n.string_view(), e.position), e.position);
  if (n.is_type<text>()) return literal({unquote(n.string_view(), e.position), e.position}, e.position);
  if (n.is_type<word>()) return read_word(n.string_view(), e.position);
  if (n.is_type<reference>()) {
    e.kind = ExpressionKind::reference;
    e.name = n.string();
  } else if (n.is_type<bound>()) {
    e.kind = ExpressionKind::bound;
    e.compare = compare_of(n.children.at(0)->string_view());
    e.literal = convert(*n.children.at(1)).literal;
  } else if (n.is_type<call>()) {
    e.kind = ExpressionKind::call;
    e.name = n.children.at(0)->string();
    e.parts.push_back(convert(*n.children.at(1)));
    const auto& argument = e.parts.front();
    static constexpr std::string_view kKnown[] = {"list.MinItems", "list.MaxItems", "strings.MinRunes",
                                                  "strings.MaxRunes"};
    if (std::find(std::begin(kKnown), std::end(kKnown), e.name) == std::end(kKnown))
      throw Bad{e.position,
                "unknown " + e.name +
                    "(); expected list.MinItems, list.MaxItems, strings.MinRunes or strings.MaxRunes"};
    if (argument.kind != ExpressionKind::literal ||
        !std::holds_alternative<std::int64_t>(argument.literal.data))
      throw Bad{argument.position, "expected a whole number as the argument of " + e.name};
  } else if (n.is_type<record>()) {
    e.kind = ExpressionKind::record;
    convert_members(n, e, nullptr);
  } else if (n.is_type<list>()) {
    e.kind = ExpressionKind::list;
    parts();
  } else if (n.is_type<list_of>()) {
    e.kind = ExpressionKind::list_of;
    parts();
    if (e.parts.empty()) {  // [...]: of anything
      e.parts.emplace_back().kind = ExpressionKind::type;
      e.parts.back().type = ValueType::any;
    }
  } else if (n.is_type<all_of>()) {
    if (n.children.size() == 1) return convert(*n.children.front());
    e.kind = ExpressionKind::all_of;
    parts();
  } else if (n.is_type<expression>()) {
    e.kind = ExpressionKind::any_of;
    for (const auto& alternative : n.children) {
      const bool marked = alternative->children.front()->is_type<preferred>();
      if (marked && e.preferred) throw Bad{place(*alternative), "a second default"};
      e.parts.push_back(convert(*alternative->children.back()));
      if (marked) e.preferred = e.parts.size();
    }
    if (e.parts.size() == 1 && !e.preferred) return std::move(e.parts.front());
  } else {  // a group
    return convert(*n.children.front());
  }
  return e;
}

// Guards against a file so deeply nested that reading it would run out of stack.
std::optional<Position> too_deep(std::string_view text) {
  std::size_t depth = 0;
  Position at{1, 1};
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i, ++at.column) {
    const char c = text[i];
    if (c == '\n') {
      ++at.line;
      at.column = 0;
      quoted = false;
    } else if (quoted) {
      if (c == '\\') ++i, ++at.column;
      quoted = c != '"';
    } else if (c == '"') {
      quoted = true;
    } else if (c == '{' || c == '[' || c == '(') {
      if (++depth > kMaxDepth) return at;
    } else if (depth && (c == '}' || c == ']' || c == ')')) {
      --depth;
    }
  }
  return std::nullopt;
}

template <class T>
bool read_with_unit(std::string_view text, std::initializer_list<std::pair<std::string_view, double>> units,
                    double most, T& to) {
  const auto end_of_number = text.find_first_not_of("0123456789.");
  if (end_of_number == 0 || end_of_number == std::string_view::npos) return false;
  double value = 0;
  const auto [at, error] = std::from_chars(text.data(), text.data() + end_of_number, value);
  if (error != std::errc{} || at != text.data() + end_of_number) return false;
  for (const auto& [name, factor] : units)
    if (text.substr(end_of_number) == name && value * factor <= most) {
      to = T(std::llround(value * factor));
      return true;
    }
  return false;
}

}  // namespace

bool parse_duration(std::string_view text, Duration& to) {
  return read_with_unit(text, {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 6e7}, {"h", 3.6e9}}, 1e15, to);
}
bool parse_byte_size(std::string_view text, ByteSize& to) {
  return read_with_unit(text, {{"B", 1}, {"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}}, 1e15, to);
}

std::variant<Document, Error> parse(std::string_view source, std::string name) {
  const auto fail = [&](Position at, std::string what) { return Error{name, at, "", std::move(what)}; };
  if (source.size() > kMaxBytes) return fail({}, "larger than 1 MiB");
  if (const auto at = too_deep(source)) return fail(*at, "nested more than 64 deep");
  try {
    p::memory_input input(source.data(), source.size(), name);
    const auto root = p::parse_tree::parse<file, selector, p::nothing, control>(input);
    Document d;
    d.file = name;
    d.top.kind = ExpressionKind::record;
    d.top.position = {1, 1};
    const auto& children = root->children;
    const bool braces = children.size() == 1 && children.front()->is_type<record>();
    convert_members(braces ? *children.front() : *root, d.top, &d.definitions);
    return d;
  } catch (const p::parse_error& e) {
    const auto& at = e.positions().front();
    return fail({at.line, at.column}, std::string(e.message()));
  } catch (const Bad& bad) {
    return fail(bad.position, bad.message);
  }
}

std::variant<Document, Error> load(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return Error{path, {}, "", "cannot be opened"};
  std::string bytes;
  char chunk[4096];
  while (bytes.size() <= kMaxBytes && (in.read(chunk, sizeof chunk), in.gcount() > 0))
    bytes.append(chunk, std::size_t(in.gcount()));
  if (in.bad()) return Error{path, {}, "", "cannot be read"};
  return parse(bytes, path);
}

}  // namespace granitegap::typed_config
