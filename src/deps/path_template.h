// The path of a part with its placeholders: parsed once, expanded for each request.
//
// A value type without I/O. Values are percent-encoded (RFC 3986), so that the content of a request cannot
// end the path, name another host or add a header line.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace granitegap::deps {

// The values for the placeholders. The views must be valid during expand().
struct PathVariables {
  std::uint64_t obj = 0;    // {obj}, the object that the request reads, as 16 hexadecimal digits
  std::string_view body;    // {body}, the request's body
  std::string_view cls;     // {class}, the name of the request's class
  std::string_view needed;  // {needed}, the value of the part that this one depends on
};

class PathTemplate {
 public:
  static constexpr std::size_t kMaxPathBytes = 2048;

  // The reason for which a text is not a valid template.
  struct ParseError {
    std::string reason;
    std::size_t position = 0;  // byte offset in the text
  };
  static std::variant<PathTemplate, ParseError> parse(std::string_view text);

  // Appends the path to `to`. Returns false when the path is longer than `max_bytes`; `to` then ends in an
  // incomplete path.
  [[nodiscard]] bool expand(const PathVariables& variables, std::string& to,
                            std::size_t max_bytes = kMaxPathBytes) const;
  bool uses_needed() const;

 private:
  enum class Placeholder : std::uint8_t { none, obj, body, cls, needed };
  struct Segment {
    std::string literal;
    Placeholder placeholder = Placeholder::none;  // expanded after the literal
  };
  static Placeholder parse_placeholder(std::string_view name);
  bool uses(Placeholder placeholder) const;
  std::vector<Segment> segments_;
};

}  // namespace granitegap::deps
