#include "deps/path_template.h"

#include <algorithm>

namespace granitegap::deps {
namespace {

constexpr char kHex[] = "0123456789ABCDEF";

bool unreserved(char c) {  // RFC 3986, 2.3
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.' ||
         c == '_' || c == '~';
}

void encode(std::string_view value, std::string& to) {
  for (const char c : value) {
    if (unreserved(c)) {
      to += c;
      continue;
    }
    to += '%';
    to += kHex[std::uint8_t(c) >> 4];
    to += kHex[std::uint8_t(c) & 15];
  }
}

void encode_hex(std::uint64_t value, std::string& to) {
  for (int shift = 60; shift >= 0; shift -= 4) to += "0123456789abcdef"[value >> shift & 15];
}

}  // namespace

std::variant<PathTemplate, PathTemplate::ParseError> PathTemplate::parse(std::string_view text) {
  PathTemplate t;
  if (text.empty() || text.front() != '/') return ParseError{"a path begins with /", 0};
  std::string literal;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c != '{') {
      if (c <= ' ' || c >= 127 || c == '}' || c == '#') return ParseError{"a character no path may hold", i};
      literal += c;
      continue;
    }
    const auto end = text.find('}', i);
    const auto name = text.substr(i + 1, end == std::string_view::npos ? end : end - i - 1);
    Placeholder placeholder = Placeholder::none;
    if (end != std::string_view::npos)
      placeholder = name == "obj"      ? Placeholder::obj
                    : name == "body"   ? Placeholder::body
                    : name == "class"  ? Placeholder::cls
                    : name == "needed" ? Placeholder::needed
                                       : Placeholder::none;
    if (placeholder == Placeholder::none) return ParseError{"expected {obj}, {body}, {class} or {needed}", i};
    t.pieces_.push_back({std::move(literal), placeholder});
    literal.clear();
    i = end;
  }
  t.pieces_.push_back({std::move(literal), Placeholder::none});
  return t;
}

bool PathTemplate::expand(const PathVariables& variables, std::string& to, std::size_t max_bytes) const {
  const auto start = to.size();
  for (const auto& piece : pieces_) {
    to += piece.literal;
    if (piece.placeholder == Placeholder::obj) encode_hex(variables.obj, to);
    if (piece.placeholder == Placeholder::body) encode(variables.body.substr(0, max_bytes), to);
    if (piece.placeholder == Placeholder::cls) encode(variables.cls, to);
    if (piece.placeholder == Placeholder::needed) encode(variables.needed.substr(0, max_bytes), to);
    if (to.size() - start > max_bytes) return false;
  }
  // What was cut would be another path than the one meant.
  const bool cut = variables.body.size() > max_bytes || variables.needed.size() > max_bytes;
  return !cut || std::none_of(pieces_.begin(), pieces_.end(), [&](const auto& p) {
    return (p.placeholder == Placeholder::body && variables.body.size() > max_bytes) ||
           (p.placeholder == Placeholder::needed && variables.needed.size() > max_bytes);
  });
}

bool PathTemplate::uses_needed() const {
  return std::any_of(pieces_.begin(), pieces_.end(),
                     [](const auto& p) { return p.placeholder == Placeholder::needed; });
}

}  // namespace granitegap::deps
