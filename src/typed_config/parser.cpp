// Implementation of parse() and load().
#include <algorithm>
#include <fstream>
#include <optional>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>
#include <utility>

#include "typed_config/expression_builder.h"
#include "typed_config/grammar.h"
#include "typed_config/printer.h"
#include "typed_config/typed_config.h"

namespace granitegap::typed_config {
namespace {

constexpr std::size_t kMaxBytes = 1 << 20;
constexpr std::size_t kMaxDepth = 64;
constexpr std::size_t kReadBytes = 4096;

bool is_opening_bracket(char c) { return c == '{' || c == '[' || c == '('; }
bool is_closing_bracket(char c) { return c == '}' || c == ']' || c == ')'; }

// Returns the position of the first bracket that is nested too deeply. The parser is recursive: without this
// limit a file of brackets would exhaust its stack.
std::optional<Position> find_excessive_nesting(std::string_view text) {
  std::size_t depth = 0;
  Position position{1, 1};
  bool in_text = false;
  for (std::size_t i = 0; i < text.size(); ++i, ++position.column) {
    const char c = text[i];
    if (c == '\n') {
      ++position.line;
      position.column = 0;
      in_text = false;  // the parser rejects a text that is not closed on its line
    } else if (in_text && c == '\\') {
      ++i;
      ++position.column;
    } else if (c == '"') {
      in_text = !in_text;
    } else if (in_text) {
      continue;
    } else if (is_opening_bracket(c)) {
      if (++depth > kMaxDepth) return position;
    } else if (is_closing_bracket(c) && depth > 0) {
      --depth;
    }
  }
  return std::nullopt;
}

// Describes the rest of the line that begins at `offset`, for the message of a syntax error.
std::string describe_rest_of_line(std::string_view text, std::size_t offset) {
  const auto rest = text.substr(std::min(offset, text.size()));
  if (rest.empty()) return "the end of the file";
  const auto line = rest.substr(0, rest.find_first_of("\r\n"));
  return line.empty() ? "the end of the line" : quote_excerpt(line);
}

}  // namespace

std::variant<Document, Error> parse(std::string_view text, std::string file) {
  const auto fail = [&](ErrorCode code, Position position, std::string message) {
    return Error{file, position, "", std::move(message), code, ""};
  };
  if (text.size() > kMaxBytes)
    return fail(ErrorCode::limit_exceeded, {},
                "expected at most 1 MiB, found at least " + std::to_string(text.size()) + " bytes");
  if (const auto position = find_excessive_nesting(text))
    return fail(
        ErrorCode::limit_exceeded, *position,
        "expected brackets nested at most 64 deep, found " + std::to_string(kMaxDepth + 1) + " levels");
  try {
    tao::pegtl::memory_input input(text.data(), text.size(), file);
    const auto root = tao::pegtl::parse_tree::parse<grammar::File, grammar::Selector, tao::pegtl::nothing,
                                                    grammar::Control>(input);
    return build_document(*root, file);
  } catch (const tao::pegtl::parse_error& error) {
    const auto& position = error.positions().front();
    return fail(ErrorCode::syntax_error, {position.line, position.column},
                std::string(error.message()) + ", found " + describe_rest_of_line(text, position.byte));
  } catch (const BuildError& error) {
    return fail(error.code, error.position, error.what());
  }
}

std::variant<Document, Error> load(const std::string& path) {
  const auto fail = [&](std::string message) {
    return Error{path, {}, "", std::move(message), ErrorCode::unreadable_file, ""};
  };
  std::ifstream in(path, std::ios::binary);
  if (!in) return fail("cannot open the file for reading");
  std::string bytes;
  char chunk[kReadBytes];
  // Stops after the first chunk beyond the limit, which is enough for parse() to reject the file.
  while (bytes.size() <= kMaxBytes) {
    in.read(chunk, sizeof chunk);
    if (in.gcount() == 0) break;
    bytes.append(chunk, std::size_t(in.gcount()));
  }
  if (in.bad()) return fail("cannot read the file after " + std::to_string(bytes.size()) + " bytes");
  return parse(bytes, path);
}

}  // namespace granitegap::typed_config
