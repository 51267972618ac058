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

std::variant<PathTemplate, PathTemplate::Bad> PathTemplate::parse(std::string_view text) {
  PathTemplate t;
  if (text.empty() || text.front() != '/') return Bad{"a path begins with /", 0};
  std::string literal;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c != '{') {
      if (c <= ' ' || c >= 127 || c == '}' || c == '#') return Bad{"a character no path may hold", i};
      literal += c;
      continue;
    }
    const auto end = text.find('}', i);
    const auto name = text.substr(i + 1, end == std::string_view::npos ? end : end - i - 1);
    Hole hole = Hole::none;
    if (end != std::string_view::npos)
      hole = name == "obj"      ? Hole::obj
             : name == "body"   ? Hole::body
             : name == "class"  ? Hole::cls
             : name == "needed" ? Hole::needed
                                : Hole::none;
    if (hole == Hole::none) return Bad{"expected {obj}, {body}, {class} or {needed}", i};
    t.pieces_.push_back({std::move(literal), hole});
    literal.clear();
    i = end;
  }
  t.pieces_.push_back({std::move(literal), Hole::none});
  return t;
}

bool PathTemplate::fill(const PathVariables& variables, std::string& to, std::size_t most) const {
  const auto start = to.size();
  for (const auto& piece : pieces_) {
    to += piece.literal;
    if (piece.hole == Hole::obj) encode_hex(variables.obj, to);
    if (piece.hole == Hole::body) encode(variables.body.substr(0, most), to);
    if (piece.hole == Hole::cls) encode(variables.cls, to);
    if (piece.hole == Hole::needed) encode(variables.needed.substr(0, most), to);
    if (to.size() - start > most) return false;
  }
  // What was cut would be another path than the one meant.
  const bool cut = variables.body.size() > most || variables.needed.size() > most;
  return !cut || std::none_of(pieces_.begin(), pieces_.end(), [&](const auto& p) {
    return (p.hole == Hole::body && variables.body.size() > most) ||
           (p.hole == Hole::needed && variables.needed.size() > most);
  });
}

bool PathTemplate::uses_needed() const {
  return std::any_of(pieces_.begin(), pieces_.end(), [](const auto& p) { return p.hole == Hole::needed; });
}

}  // namespace granitegap::deps
