#include "frames/request_parser.h"

#include <charconv>
#include <chrono>
#include <cmath>
#include <system_error>
#include <utility>

#include "frames/field_reader.h"

namespace granitegap::frames {
namespace {

constexpr std::size_t kRequestIdLength = 16;  // hexadecimal digits
constexpr std::size_t kMaxTokenBytes = 64;
constexpr std::int64_t kMaxUnixMilliseconds = std::int64_t(1) << 50;
constexpr double kMaxMemoryMegabytes = 2000;
constexpr double kMaxCostMilliseconds = 3.6e6;  // one hour on one core, the maximum cost of a request

// Parses all of `text` as an integer in the given base; absent if it is not one or is out of range.
template <class T>
std::optional<T> parse_integer(std::string_view text, int base) {
  T value{};
  const auto* text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value, base);
  if (error != std::errc{} || end != text_end) return std::nullopt;
  return value;
}

bool is_digits(std::string_view text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

// Parses digits with an optional decimal fraction. std::from_chars alone would also accept signs, exponents
// and infinities.
std::optional<double> parse_decimal(std::string_view text) {
  const auto point = text.find('.');
  if (!is_digits(text.substr(0, point))) return std::nullopt;
  if (point != std::string_view::npos && !is_digits(text.substr(point + 1))) return std::nullopt;
  double value = 0;
  const auto* text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  if (error != std::errc{} || end != text_end || !std::isfinite(value)) return std::nullopt;
  return value;
}

// Collects the fields of one request.
class RequestParser {
 public:
  RequestParser(const edge::ReplyAddress& origin, const edge::NameRegistry& names) : names_(names) {
    request_.reply_to = origin;
    request_.tenant = names_.find_tenant({});
  }

  // Validates and stores a field. Unknown fields are ignored.
  void add_field(std::string_view name, std::string_view value) {
    for (const auto& handler : kHandlers) {
      if (handler.name != name) continue;
      if (!(this->*handler.parse)(value)) invalid_field_ = handler.name;
      return;
    }
  }

  // Returns the request or the error. To be called once, after all fields are added.
  Message finish(std::string_view body) {
    if (invalid_field_.empty()) invalid_field_ = missing_field();
    const auto fail = [&](RequestErrorCode code) {
      return MalformedRequest{request_.reply_to.stream, code, std::string(invalid_field_)};
    };
    if (!invalid_field_.empty()) return fail(RequestErrorCode::invalid_field);
    if (body.size() > kMaxBodyBytes) return fail(RequestErrorCode::body_too_large);
    request_.cls = *class_;
    if (!names_.requires_idempotency_key(request_.cls)) request_.idempotency_key.clear();
    request_.body = body;
    return std::move(request_);
  }

 private:
  // The parser of a named field. It stores the value and returns whether the value is valid.
  struct Handler {
    std::string_view name;
    bool (RequestParser::*parse)(std::string_view value);
  };
  static const Handler kHandlers[10];

  bool parse_class(std::string_view value) {
    class_ = names_.find_class(value);
    return class_.has_value();
  }
  bool parse_request_id(std::string_view value) {
    request_.rid = value;
    return value.size() == kRequestIdLength && parse_integer<std::uint64_t>(value, 16);
  }
  bool parse_arrival_time(std::string_view value) {
    has_arrival_time_ = true;
    const auto milliseconds = parse_integer<std::int64_t>(value, 10);
    if (!is_digits(value) || !milliseconds || *milliseconds >= kMaxUnixMilliseconds) return false;
    request_.arrived_at = edge::UnixTime(std::chrono::milliseconds(*milliseconds));
    return true;
  }
  bool parse_caller(std::string_view value) {
    const auto number = parse_integer<std::uint32_t>(value, 10);
    request_.caller = CallerId(number.value_or(0));
    return is_digits(value) && number;
  }
  // If the settings name tenants, requests of other tenants are rejected; otherwise every tenant name is
  // accepted.
  bool parse_tenant(std::string_view value) {
    request_.tenant = names_.find_tenant(value);
    return names_.tenants.empty() || std::size_t(request_.tenant) < names_.tenants.size();
  }
  bool parse_cost_hint(std::string_view value) {
    const auto milliseconds = parse_decimal(value);
    if (!milliseconds || *milliseconds >= kMaxCostMilliseconds) return false;
    if (*milliseconds > 0) request_.cost_hint = Duration(std::llround(*milliseconds * 1000));
    return true;
  }
  bool parse_memory(std::string_view value) {
    has_memory_ = true;
    const auto megabytes = parse_decimal(value);
    if (!megabytes || *megabytes <= 0 || *megabytes >= kMaxMemoryMegabytes) return false;
    request_.memory = MemorySize(std::llround(*megabytes * 1000));
    return true;
  }
  // The priority is not used, but a value out of range makes the request malformed.
  bool parse_priority(std::string_view value) {
    const auto priority = parse_decimal(value);
    return priority && *priority < 1;
  }
  bool parse_idempotency_key(std::string_view value) {
    request_.idempotency_key = value;
    return !value.empty() && value.size() <= kMaxTokenBytes;
  }
  bool parse_object(std::string_view value) {
    const auto object = parse_integer<std::uint64_t>(value, 16);
    request_.read_key = object.value_or(0);
    return object.has_value();
  }

  // Returns the name of the first missing required field, or an empty string if none is missing.
  std::string_view missing_field() const {
    if (!class_) return "method";
    if (request_.rid.empty()) return "rid";
    if (!has_arrival_time_) return "t0";
    if (!has_memory_) return "mem";
    // Without a key, retries of the request could not be recognised, and it could run twice.
    if (names_.requires_idempotency_key(*class_) && request_.idempotency_key.empty()) return "token";
    return {};
  }

  const edge::NameRegistry& names_;
  edge::Request request_;
  std::optional<ClassId> class_;
  bool has_arrival_time_ = false;
  bool has_memory_ = false;
  std::string_view invalid_field_;  // the last invalid field, or empty
};

const RequestParser::Handler RequestParser::kHandlers[10] = {
    {"method", &RequestParser::parse_class},
    {"rid", &RequestParser::parse_request_id},
    {"t0", &RequestParser::parse_arrival_time},
    {"peer", &RequestParser::parse_caller},
    {"acct", &RequestParser::parse_tenant},
    {"est", &RequestParser::parse_cost_hint},
    {"mem", &RequestParser::parse_memory},
    {"prio", &RequestParser::parse_priority},
    {"token", &RequestParser::parse_idempotency_key},
    {"obj", &RequestParser::parse_object},
};

}  // namespace

Message parse_request(const edge::ReplyAddress& origin, std::string_view payload,
                      const edge::NameRegistry& names) {
  RequestParser parser(origin, names);
  auto body = payload;
  const bool complete = read_fields(
      body, [&](std::string_view name, std::string_view value) { parser.add_field(name, value); });
  if (!complete) return MalformedRequest{origin.stream, RequestErrorCode::malformed_fields, ""};
  return parser.finish(body);
}

}  // namespace granitegap::frames
