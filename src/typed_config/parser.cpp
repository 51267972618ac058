// parse() and load(): limits, the grammar, and errors as typed values.
#include <fstream>
#include <optional>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>
#include <utility>

#include "typed_config/expression_builder.h"
#include "typed_config/grammar.h"
#include "typed_config/typed_config.h"

namespace granitegap::typed_config {
namespace {

constexpr std::size_t kMaxBytes = 1 << 20;
constexpr std::size_t kMaxDepth = 64;
constexpr std::size_t kReadBytes = 4096;

bool opens(char c) { return c == '{' || c == '[' || c == '('; }
bool closes(char c) { return c == '}' || c == ']' || c == ')'; }

// The first bracket that is nested too deeply. The parser is recursive: without the limit a file of brackets
// would run it out of stack.
std::optional<Position> find_excessive_nesting(std::string_view text) {
  std::size_t depth = 0;
  Position position{1, 1};
  bool in_text = false;
  for (std::size_t i = 0; i < text.size(); ++i, ++position.column) {
    const char c = text[i];
    if (c == '\n') {
      ++position.line;
      position.column = 0;
      in_text = false;  // the parser rejects a text that runs past its line
    } else if (in_text && c == '\\') {
      ++i;
      ++position.column;
    } else if (c == '"') {
      in_text = !in_text;
    } else if (in_text) {
      continue;
    } else if (opens(c)) {
      if (++depth > kMaxDepth) return position;
    } else if (closes(c) && depth > 0) {
      --depth;
    }
  }
  return std::nullopt;
}

}  // namespace

std::variant<Document, Error> parse(std::string_view text, std::string file) {
  const auto fail = [&](ErrorCode code, Position position, std::string message) {
    return Error{file, position, "", std::move(message), code, ""};
  };
  if (text.size() > kMaxBytes) return fail(ErrorCode::limit_exceeded, {}, "larger than 1 MiB");
  if (const auto position = find_excessive_nesting(text))
    return fail(ErrorCode::limit_exceeded, *position, "nested more than 64 deep");
  try {
    tao::pegtl::memory_input input(text.data(), text.size(), file);
    const auto root = tao::pegtl::parse_tree::parse<grammar::File, grammar::Selector, tao::pegtl::nothing,
                                                    grammar::Control>(input);
    return build_document(*root, file);
  } catch (const tao::pegtl::parse_error& error) {
    const auto& position = error.positions().front();
    return fail(ErrorCode::syntax_error, {position.line, position.column}, std::string(error.message()));
  } catch (const BuildError& error) {
    return fail(error.code, error.position, error.what());
  }
}

std::variant<Document, Error> load(const std::string& path) {
  const auto fail = [&](std::string message) {
    return Error{path, {}, "", std::move(message), ErrorCode::unreadable_file, ""};
  };
  std::ifstream in(path, std::ios::binary);
  if (!in) return fail("cannot be opened");
  std::string bytes;
  char chunk[kReadBytes];
  // One chunk past the limit is enough for parse() to reject the file.
  while (bytes.size() <= kMaxBytes) {
    in.read(chunk, sizeof chunk);
    if (in.gcount() == 0) break;
    bytes.append(chunk, std::size_t(in.gcount()));
  }
  if (in.bad()) return fail("cannot be read");
  return parse(bytes, path);
}

}  // namespace granitegap::typed_config
