// The path of a part with its placeholders: parsed once, expanded for each request.
//
// A value type without I/O. Whatever is filled in is percent-encoded (RFC 3986), so that no request can end
// its path, name another host or add a header line.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace granitegap::deps {

// The values for the placeholders. Views: valid for the length of one expand().
struct PathVariables {
  std::uint64_t obj = 0;    // {obj}, the object that the request reads, as 16 hexadecimal digits
  std::string_view body;    // {body}, the request's body
  std::string_view cls;     // {class}, the name of the request's class
  std::string_view needed;  // {needed}, the value of the part that this one depends on
};

class PathTemplate {
 public:
  static constexpr std::size_t kMaxPathBytes = 2048;

  // Why a text is not a template.
  struct ParseError {
    std::string reason;
    std::size_t position = 0;  // byte offset in the text
  };
  static std::variant<PathTemplate, ParseError> parse(std::string_view text);

  // Appends the path to `to`. False when it would be longer than `max_bytes`; `to` then ends in a part of it.
  [[nodiscard]] bool expand(const PathVariables& variables, std::string& to,
                            std::size_t max_bytes = kMaxPathBytes) const;
  bool uses_needed() const;

 private:
  enum class Placeholder : std::uint8_t { none, obj, body, cls, needed };
  struct Segment {
    std::string literal;
    Placeholder placeholder = Placeholder::none;  // follows the literal
  };
  static Placeholder placeholder_named(std::string_view name);
  bool uses(Placeholder placeholder) const;
  std::vector<Segment> segments_;
};

}  // namespace granitegap::deps
