#include "typed_config/string_literal.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace granitegap::typed_config {
namespace {

constexpr std::size_t kHexDigits = 4;  // hexadecimal digits of a \u escape
constexpr std::uint32_t kHighSurrogates = 0xd800, kLowSurrogates = 0xdc00, kAfterSurrogates = 0xe000;
constexpr std::uint32_t kFirstSupplementary = 0x10000;  // first code point that takes a surrogate pair

char continuation_byte(std::uint32_t code_point, int shift) {
  return char(0x80 | (code_point >> shift & 0x3f));
}

void append_utf8(std::string& out, std::uint32_t code_point) {
  if (code_point < 0x80) {
    out += char(code_point);
    return;
  }
  if (code_point < 0x800) {
    out += char(0xc0 | code_point >> 6);
  } else if (code_point < kFirstSupplementary) {
    out += char(0xe0 | code_point >> 12);
    out += continuation_byte(code_point, 6);
  } else {
    out += char(0xf0 | code_point >> 18);
    out += continuation_byte(code_point, 12);
    out += continuation_byte(code_point, 6);
  }
  out += continuation_byte(code_point, 0);
}

std::uint32_t parse_hex(std::string_view body, std::size_t at) {
  std::uint32_t code = 0;
  const auto* begin = body.data() + at;
  const auto* end = body.data() + std::min(at + kHexDigits, body.size());
  std::from_chars(begin, end, code, 16);
  return code;
}

char unescape(char escaped) {
  constexpr std::string_view kLetters = "bfnrt";
  constexpr std::string_view kCharacters = "\b\f\n\r\t";
  const auto index = kLetters.find(escaped);
  return index == std::string_view::npos ? escaped : kCharacters[index];
}

// Parses the \u escape whose u is at `at`, together with a low surrogate that follows it. Moves `at` to the
// last digit.
std::optional<std::uint32_t> parse_unicode_escape(std::string_view body, std::size_t& at) {
  auto code = parse_hex(body, at + 1);
  at += kHexDigits;
  const bool is_high = code >= kHighSurrogates && code < kLowSurrogates;
  if (is_high && body.substr(at + 1, 2) == "\\u") {
    const auto low = parse_hex(body, at + 3);
    if (low >= kLowSurrogates && low < kAfterSurrogates) {
      code = kFirstSupplementary + ((code - kHighSurrogates) << 10) + (low - kLowSurrogates);
      at += 2 + kHexDigits;
    }
  }
  if (code >= kHighSurrogates && code < kAfterSurrogates) return std::nullopt;
  return code;
}

void append_escaped(std::string& out, char c) {
  constexpr char kHex[] = "0123456789abcdef";
  switch (c) {
    case '"':
      out += "\\\"";
      return;
    case '\\':
      out += "\\\\";
      return;
    case '\n':
      out += "\\n";
      return;
    case '\r':
      out += "\\r";
      return;
    case '\t':
      out += "\\t";
      return;
    default:
      break;
  }
  if (std::uint8_t(c) >= 0x20) {
    out += c;
    return;
  }
  out += "\\u00";
  out += kHex[c >> 4 & 15];
  out += kHex[c & 15];
}

}  // namespace

std::string quote(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) append_escaped(out, c);
  return out + '"';
}

std::optional<std::string> unquote(std::string_view literal) {
  const auto body = literal.substr(1, literal.size() - 2);
  std::string out;
  for (std::size_t at = 0; at < body.size(); ++at) {
    if (body[at] != '\\') {
      out += body[at];
      continue;
    }
    ++at;
    if (body[at] != 'u') {
      out += unescape(body[at]);
      continue;
    }
    const auto code_point = parse_unicode_escape(body, at);
    if (!code_point) return std::nullopt;
    append_utf8(out, *code_point);
  }
  return out;
}

}  // namespace granitegap::typed_config
