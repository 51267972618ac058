#include "deps/path_template.h"

#include <algorithm>

namespace granitegap::deps {
namespace {

constexpr char kUpperHex[] = "0123456789ABCDEF";
constexpr char kLowerHex[] = "0123456789abcdef";

bool is_unreserved(char c) {  // RFC 3986, 2.3
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.' ||
         c == '_' || c == '~';
}

bool is_allowed_in_literal(char c) { return c > ' ' && c < 127 && c != '}' && c != '#'; }

// `c` as a hexadecimal byte: it may be a control character.
std::string describe_disallowed(char c) {
  std::string text = "character 0x";
  text += kLowerHex[std::uint8_t(c) >> 4];
  text += kLowerHex[std::uint8_t(c) & 15];
  return text + " is not allowed in a path";
}

void append_encoded(std::string_view value, std::string& to) {
  for (const char c : value) {
    if (is_unreserved(c)) {
      to += c;
      continue;
    }
    to += '%';
    to += kUpperHex[std::uint8_t(c) >> 4];
    to += kUpperHex[std::uint8_t(c) & 15];
  }
}

void append_hex(std::uint64_t value, std::string& to) {
  for (int shift = 60; shift >= 0; shift -= 4) to += kLowerHex[value >> shift & 15];
}

}  // namespace

PathTemplate::Placeholder PathTemplate::parse_placeholder(std::string_view name) {
  if (name == "obj") return Placeholder::obj;
  if (name == "body") return Placeholder::body;
  if (name == "class") return Placeholder::cls;
  if (name == "needed") return Placeholder::needed;
  return Placeholder::none;
}

std::variant<PathTemplate, PathTemplate::ParseError> PathTemplate::parse(std::string_view text) {
  if (text.empty() || text.front() != '/') return ParseError{"a path must begin with /", 0};
  PathTemplate path;
  std::string literal;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c != '{') {
      if (!is_allowed_in_literal(c)) return ParseError{describe_disallowed(c), i};
      literal += c;
      continue;
    }
    const auto end = text.find('}', i);
    auto placeholder = Placeholder::none;
    if (end != std::string_view::npos) placeholder = parse_placeholder(text.substr(i + 1, end - i - 1));
    if (placeholder == Placeholder::none) return ParseError{"expected {obj}, {body}, {class} or {needed}", i};
    path.segments_.push_back({std::move(literal), placeholder});
    literal.clear();
    i = end;
  }
  path.segments_.push_back({std::move(literal), Placeholder::none});
  return path;
}

bool PathTemplate::expand(const PathVariables& variables, std::string& to, std::size_t max_bytes) const {
  const auto start = to.size();
  for (const auto& segment : segments_) {
    to += segment.literal;
    switch (segment.placeholder) {
      case Placeholder::obj:
        append_hex(variables.obj, to);
        break;
      case Placeholder::body:
        append_encoded(variables.body.substr(0, max_bytes), to);
        break;
      case Placeholder::cls:
        append_encoded(variables.cls, to);
        break;
      case Placeholder::needed:
        append_encoded(variables.needed.substr(0, max_bytes), to);
        break;
      case Placeholder::none:
        break;
    }
    if (to.size() - start > max_bytes) return false;
  }
  // A truncated value would expand to a different path.
  const bool body_was_truncated = variables.body.size() > max_bytes && uses(Placeholder::body);
  const bool needed_was_truncated = variables.needed.size() > max_bytes && uses(Placeholder::needed);
  return !body_was_truncated && !needed_was_truncated;
}

bool PathTemplate::uses(Placeholder placeholder) const {
  return std::any_of(segments_.begin(), segments_.end(),
                     [&](const Segment& segment) { return segment.placeholder == placeholder; });
}

bool PathTemplate::uses_needed() const { return uses(Placeholder::needed); }

}  // namespace granitegap::deps
