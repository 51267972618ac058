#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <exception>
#include <fstream>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace granitegap::config {
namespace {

using Json = nlohmann::json;
using Kind = ConfigError::Kind;

constexpr double kMaxStopMs = 1e9;
constexpr double kMaxCores = 1e6;
constexpr double kMaxCount = 1e9;
constexpr std::size_t kMaxExcerptBytes = 60;
constexpr std::size_t kMaxParserMessageBytes = 240;

// Thrown by the nested readers. parse() catches it and returns its error.
class InvalidConfig : public std::exception {
 public:
  explicit InvalidConfig(ConfigError error) : error_(std::move(error)) {}
  [[nodiscard]] const ConfigError& error() const { return error_; }

 private:
  ConfigError error_;
};

// Describes a value for an error message: a scalar as ASCII JSON, cut to `max_bytes`; an array or object by
// its size, because dump() recurses and a deeply nested value would exhaust the stack.
std::string excerpt(const Json& value, std::size_t max_bytes = kMaxExcerptBytes) {
  if (value.is_array()) return "an array of " + std::to_string(value.size());
  if (value.is_object()) return "an object with " + std::to_string(value.size()) + " members";
  auto text = value.dump(-1, ' ', true, Json::error_handler_t::replace);
  if (text.size() > max_bytes) text.replace(max_bytes, std::string::npos, "...");
  return text;
}

[[noreturn]] void fail(Kind kind, const std::string& field = {}, const std::string& value = {},
                       const std::string& expected = {}) {
  throw InvalidConfig({kind, field, value, {}, expected});
}

[[noreturn]] void fail_class(const std::string& class_name, Kind kind, const std::string& field = {},
                             const std::string& value = {}) {
  throw InvalidConfig({kind, field, value, class_name});
}

// In the following readers `path` is the path of `object`, with a final dot; empty for the complete file.

const Json& read_member(const Json& object, const char* name, const std::string& path = {}) {
  const auto it = object.find(name);
  if (it == object.end()) fail(Kind::missing, path + name);
  return *it;
}

std::string read_text(const Json& object, const char* name, const std::string& path = {}) {
  const auto& value = read_member(object, name, path);
  if (!value.is_string() || value.get_ref<const std::string&>().empty())
    fail(Kind::not_text, path + name, excerpt(value));
  return value.get<std::string>();
}

double read_number(const Json& object, const char* name, double least, double most,
                   const std::string& path = {}) {
  const auto& value = read_member(object, name, path);
  const auto reject = [&] {
    fail(
        Kind::not_a_number, path + name, excerpt(value),
        "a number from " + std::to_string(std::int64_t(least)) + " to " + std::to_string(std::int64_t(most)));
  };
  if (!value.is_number()) reject();
  const double number = value.get<double>();
  if (!(number >= least) || !(number <= most)) reject();
  return number;
}

Endpoint read_address(const Json& object, const char* name) {
  const auto value = read_text(object, name);
  const auto endpoint = read_endpoint(value);
  if (!endpoint) fail(Kind::not_an_endpoint, name, excerpt(value));
  return *endpoint;
}

std::uint64_t read_seed(const Json& object) {
  const auto value = read_text(object, "seed");
  std::uint64_t seed = 0;
  const auto* end = value.data() + value.size();
  const auto [at, error] = std::from_chars(value.data(), end, seed, 16);
  if (error != std::errc{} || at != end) fail(Kind::not_hexadecimal, "seed", excerpt(value));
  return seed;
}

// Converts a scalar to one word. Separators become underscores, because the path=value lines have no quoting.
std::string to_word(const Json& value) {
  if (!value.is_string()) return value.is_null() ? std::string{} : value.dump();
  auto word = value.get<std::string>();
  const auto separates = [](char c) { return c == ' ' || c == ',' || c == '\n' || c == '\r'; };
  std::replace_if(word.begin(), word.end(), separates, '_');
  return word;
}

std::string join(const Json& list) {
  std::string joined;
  for (std::size_t i = 0; i < list.size(); ++i) {
    if (i) joined += ',';
    joined += to_word(list[i]);
  }
  return joined;
}

void add_line(std::string& lines, const std::string& path, const std::string& value) {
  lines += path;
  lines += '=';
  lines += value;
  lines += '\n';
}

// Appends nested JSON as path=value lines, the format that the simulator sends, so that parse_settings()
// reads both.
void flatten(const Json& value, const std::string& path, std::string& lines) {
  const auto child = [&](const std::string& name) {
    return path.empty() ? name : std::string(path).append(1, '.').append(name);
  };
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) flatten(inner, child(name), lines);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    add_line(lines, child("count"), std::to_string(value.size()));
    for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], child(std::to_string(i)), lines);
  } else {
    add_line(lines, path, value.is_array() ? join(value) : to_word(value));
  }
}

// Returns the names of the elements of `list`. Empty if the member is absent or not an array.
std::vector<std::string> read_names(const Json& settings, const char* list) {
  std::vector<std::string> names;
  const auto it = settings.find(list);
  if (it == settings.end() || !it->is_array()) return names;
  for (const auto& item : *it) {
    const auto path = std::string("settings.") + list + "[" + std::to_string(names.size()) + "].";
    names.push_back(read_text(item, "name", path));
  }
  return names;
}

const InvalidSetting* find_invalid(const Settings& settings, const std::string& key) {
  const auto& list = settings.invalid_settings;
  const auto it = std::find_if(list.begin(), list.end(),
                               [&](const InvalidSetting& invalid) { return invalid.key == key; });
  return it == list.end() ? nullptr : &*it;
}

// Rejects a duration that could not be parsed or is present and not positive.
void check_duration(const std::string& class_name, const char* field, const InvalidSetting* invalid,
                    const std::optional<Duration>& duration) {
  if (invalid) fail_class(class_name, Kind::class_duration_not_positive, field, excerpt(invalid->value));
  if (duration && duration->count() <= 0)
    fail_class(class_name, Kind::class_duration_not_positive, field,
               std::to_string(duration->count()) + " us");
}

// Rejects classes whose guarantees could not be met: an unknown effect, requests whose deadline passes on
// arrival, an idempotency window in which no repetition can be recognised, and ambiguous names.
void check_classes(const Config& config) {
  const auto& settings = config.parsed.settings;
  const auto& class_names = config.catalog.classes;
  for (std::size_t i = 0; i < settings.classes.size() && i < class_names.size(); ++i) {
    const auto invalid = [&](const char* key) {
      return find_invalid(settings, "classes." + std::to_string(i) + "." + key);
    };
    const auto& request_class = settings.classes[i];
    const auto& name = class_names[i];
    if (const auto* effect = invalid("effect"))
      fail_class(name, Kind::class_without_effect, "effect", excerpt(effect->value));
    check_duration(name, "deadline_ms", invalid("deadline_ms"), request_class.deadline);
    if (request_class.idempotency == Idempotency::with_key)
      check_duration(name, "repeat_window_ms", invalid("repeat_window_ms"), request_class.idempotency_window);
    if (std::find(class_names.begin(), class_names.begin() + std::ptrdiff_t(i), name) !=
        class_names.begin() + std::ptrdiff_t(i))
      fail_class(name, Kind::class_named_twice);
  }
}

Limits read_limits(const Json& json) {
  const auto& granted = read_member(json, "limits");
  const std::string path = "limits.";
  Limits limits;
  limits.cores = read_number(granted, "cores", 0, kMaxCores, path);
  limits.memory_mb = std::size_t(read_number(granted, "memory_mb", 1, kMaxCount, path));
  limits.sockets = std::size_t(read_number(granted, "sockets", 1, kMaxCount, path));
  return limits;
}

void read_settings(const Json& json, Config& config) {
  const auto& settings = read_member(json, "settings");
  if (!settings.is_object()) fail(Kind::not_an_object, "settings", excerpt(settings));
  config.catalog.classes = read_names(settings, "classes");
  config.catalog.tenants = read_names(settings, "orgs");
  if (config.catalog.classes.empty())
    fail(Kind::no_classes, "settings.classes",
         settings.contains("classes") ? excerpt(settings["classes"]) : "no such field");
  flatten(settings, "", config.settings_text);
  config.parsed = parse_settings(config.settings_text);
  check_classes(config);
  for (const auto& request_class : config.parsed.settings.classes)
    config.catalog.key_required.push_back(request_class.idempotency == Idempotency::with_key);
}

Config read(const Json& json) {
  if (!json.is_object()) fail(Kind::not_an_object, {}, excerpt(json));
  Config config;
  config.name = read_text(json, "name");
  config.listen = read_address(json, "listen");
  config.kernel = read_address(json, "kernel");
  config.announce = read_address(json, "announce");
  if (json.contains("admin_addr")) config.admin = read_address(json, "admin_addr");
  config.seed = read_seed(json);
  config.stop = std::chrono::milliseconds(std::llround(read_number(json, "stop_ms", 0, kMaxStopMs)));
  config.limits = read_limits(json);
  read_settings(json, config);
  return config;
}

}  // namespace

std::string ConfigError::message() const {
  const auto in_field = [&](const std::string& wanted) {
    return field + ": expected " + wanted + ", found " + value;
  };
  const auto in_class = "class " + excerpt(class_name) + ": ";
  switch (kind) {
    case Kind::cannot_open:
      return "cannot open the configuration file " + value;
    case Kind::cannot_read:
      return "cannot read the configuration file " + value;
    case Kind::invalid_json:
      return "invalid JSON: " + value;
    case Kind::not_an_object:
      return field.empty() ? "expected an object as the complete file, found " + value
                           : in_field("an object");
    case Kind::missing:
      return "required field " + field + " is missing";
    case Kind::not_text:
      return in_field("a non-empty string");
    case Kind::not_a_number:
      return in_field(expected);
    case Kind::not_an_endpoint:
      return in_field("HOST:PORT with a port from 0 to 65535");
    case Kind::not_hexadecimal:
      return in_field("a hexadecimal number of at most 64 bits");
    case Kind::no_classes:
      return in_field("an array of at least one class");
    case Kind::class_without_effect:
      return in_class + in_field("one of retryable, dedup, fragile");
    case Kind::class_duration_not_positive:
      return in_class + in_field("milliseconds above 0 and at most 1e12");
    case Kind::class_named_twice:
      return in_class + "duplicate name; expected a different name for each class";
  }
  return {};
}

std::optional<Endpoint> read_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  unsigned port = 0;
  const auto* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc{} || at != end) return std::nullopt;
  if (port > std::numeric_limits<std::uint16_t>::max()) return std::nullopt;
  return Endpoint{text.substr(0, colon), std::uint16_t(port)};
}

std::variant<Config, ConfigError> parse(std::string_view json) {
  try {
    return read(Json::parse(json));
  } catch (const Json::exception& exception) {
    return ConfigError{Kind::invalid_json, {}, excerpt(exception.what(), kMaxParserMessageBytes), {}};
  } catch (const InvalidConfig& invalid) {
    return invalid.error();
  }
}

std::variant<Config, ConfigError> load(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return ConfigError{Kind::cannot_open, {}, excerpt(path), {}};
  const std::string bytes{std::istreambuf_iterator<char>(in), {}};
  if (in.bad()) return ConfigError{Kind::cannot_read, {}, excerpt(path), {}};
  return parse(bytes);
}

}  // namespace granitegap::config
