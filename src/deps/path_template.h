// A part's path with its placeholders, parsed once and filled in for each call.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace granitegap::deps {

struct PathVariables {
  std::uint64_t obj = 0;  // what a read is about
  std::string_view body, cls, needed;
};

class PathTemplate {
 public:
  struct ParseError {
    std::string reason;
    std::size_t position = 0;  // byte in the text
  };
  static std::variant<PathTemplate, ParseError> parse(std::string_view text);
  // Appends; whatever is filled in is percent-encoded, so that no request can end its path, name another host
  // or add a header. False where it grows over `max_bytes` bytes.
  bool expand(const PathVariables& variables, std::string& to, std::size_t max_bytes = 2048) const;
  bool uses_needed() const;

 private:
  enum class Placeholder : std::uint8_t { none, obj, body, cls, needed };
  struct Piece {
    std::string literal;
    Placeholder placeholder = Placeholder::none;
  };
  std::vector<Piece> pieces_;
};

}  // namespace granitegap::deps
