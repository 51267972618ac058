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

// Leaves the nested readers; parse() returns its error.
class InvalidConfig : public std::exception {
 public:
  explicit InvalidConfig(ConfigError error) : error_(std::move(error)) {}
  [[nodiscard]] const ConfigError& error() const { return error_; }

 private:
  ConfigError error_;
};

[[noreturn]] void fail(Kind kind, const std::string& field = {}, const std::string& value = {}) {
  throw InvalidConfig({kind, field, value, {}});
}

[[noreturn]] void fail_class(const std::string& class_name, Kind kind, const std::string& field = {}) {
  throw InvalidConfig({kind, field, {}, class_name});
}

const Json& member(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) fail(Kind::missing, name);
  return *it;
}

std::string text(const Json& object, const char* name) {
  const auto& value = member(object, name);
  if (!value.is_string() || value.get_ref<const std::string&>().empty()) fail(Kind::not_text, name);
  return value.get<std::string>();
}

double number(const Json& object, const char* name, double least, double most) {
  const auto& value = member(object, name);
  if (!value.is_number()) fail(Kind::not_a_number, name, value.dump());
  const double read = value.get<double>();
  if (!(read >= least) || !(read <= most)) fail(Kind::not_a_number, name, value.dump());
  return read;
}

Endpoint endpoint(const Json& object, const char* name) {
  const auto value = text(object, name);
  const auto found = read_endpoint(value);
  if (!found) fail(Kind::not_an_endpoint, name, value);
  return *found;
}

std::uint64_t read_seed(const Json& object) {
  const auto value = text(object, "seed");
  std::uint64_t seed = 0;
  const auto* end = value.data() + value.size();
  const auto [at, error] = std::from_chars(value.data(), end, seed, 16);
  if (error != std::errc{} || at != end) fail(Kind::not_hexadecimal, "seed", value);
  return seed;
}

// Values as one word each: the path=value lines leave no room for separators inside them.
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

// Nested JSON as the path=value lines that the simulator sends, so that one reader serves both.
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

std::vector<std::string> names(const Json& settings, const char* list) {
  std::vector<std::string> found;
  const auto it = settings.find(list);
  if (it == settings.end() || !it->is_array()) return found;
  for (const auto& item : *it) found.push_back(text(item, "name"));
  return found;
}

bool is_invalid(const Settings& settings, const std::string& key) {
  return std::any_of(settings.invalid_settings.begin(), settings.invalid_settings.end(),
                     [&](const InvalidSetting& invalid) { return invalid.key == key; });
}

bool is_present_and_not_positive(const std::optional<Duration>& duration) {
  return duration && duration->count() <= 0;
}

// Settings under which no promise could be kept are rejected at the start: guards against a class whose
// requests are due at once, or whose repeats can't be told from new ones.
void check_classes(const Config& config) {
  const auto& settings = config.parsed.settings;
  const auto& class_names = config.catalog.classes;
  for (std::size_t i = 0; i < settings.classes.size() && i < class_names.size(); ++i) {
    const auto invalid = [&](const char* key) {
      return is_invalid(settings, "classes." + std::to_string(i) + "." + key);
    };
    const auto& request_class = settings.classes[i];
    const auto& name = class_names[i];
    if (invalid("effect")) fail_class(name, Kind::class_without_effect, "effect");
    if (invalid("deadline_ms") || is_present_and_not_positive(request_class.deadline))
      fail_class(name, Kind::class_duration_not_positive, "deadline_ms");
    if (request_class.idempotency == Idempotency::with_key &&
        (invalid("repeat_window_ms") || is_present_and_not_positive(request_class.idempotency_window)))
      fail_class(name, Kind::class_duration_not_positive, "repeat_window_ms");
    if (std::find(class_names.begin(), class_names.begin() + std::ptrdiff_t(i), name) !=
        class_names.begin() + std::ptrdiff_t(i))
      fail_class(name, Kind::class_named_twice);
  }
}

Limits read_limits(const Json& json) {
  const auto& granted = member(json, "limits");
  Limits limits;
  limits.cores = number(granted, "cores", 0, kMaxCores);
  limits.memory_mb = std::size_t(number(granted, "memory_mb", 1, kMaxCount));
  limits.sockets = std::size_t(number(granted, "sockets", 1, kMaxCount));
  return limits;
}

void read_settings(const Json& json, Config& config) {
  const auto& settings = member(json, "settings");
  if (!settings.is_object()) fail(Kind::not_an_object, "settings");
  config.catalog.classes = names(settings, "classes");
  config.catalog.tenants = names(settings, "orgs");
  if (config.catalog.classes.empty()) fail(Kind::no_classes, "settings");
  flatten(settings, "", config.settings_text);
  config.parsed = parse_settings(config.settings_text);
  check_classes(config);
  for (const auto& request_class : config.parsed.settings.classes)
    config.catalog.key_required.push_back(request_class.idempotency == Idempotency::with_key);
}

Config read(const Json& json) {
  if (!json.is_object()) fail(Kind::not_an_object);
  Config config;
  config.name = text(json, "name");
  config.listen = endpoint(json, "listen");
  config.kernel = endpoint(json, "kernel");
  config.announce = endpoint(json, "announce");
  if (json.contains("admin_addr")) config.admin = endpoint(json, "admin_addr");
  config.seed = read_seed(json);
  config.stop = std::chrono::milliseconds(std::llround(number(json, "stop_ms", 0, kMaxStopMs)));
  config.limits = read_limits(json);
  read_settings(json, config);
  return config;
}

}  // namespace

std::string ConfigError::message() const {
  const std::string quoted = "\"" + field + "\"";
  const std::string in_class = "class " + class_name + ": ";
  switch (kind) {
    case Kind::cannot_open:
      return "cannot be opened";
    case Kind::cannot_read:
      return "cannot be read";
    case Kind::invalid_json:
      return value;
    case Kind::not_an_object:
      return field.empty() ? "not an object" : quoted + " is not an object";
    case Kind::missing:
      return "no " + field;
    case Kind::not_text:
      return field + " is not a text";
    case Kind::not_a_number:
      return field + " is no usable number";
    case Kind::not_an_endpoint:
      return field + " is no address with a port: " + value;
    case Kind::not_hexadecimal:
      return field + " is no hexadecimal number: " + value;
    case Kind::no_classes:
      return quoted + " names no class";
    case Kind::class_without_effect:
      return in_class + field + " is none of retryable, dedup, fragile";
    case Kind::class_duration_not_positive:
      return in_class + field + " is not above 0";
    case Kind::class_named_twice:
      return in_class + "is named twice";
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
    return ConfigError{Kind::invalid_json, {}, exception.what(), {}};
  } catch (const InvalidConfig& invalid) {
    return invalid.error();
  }
}

std::variant<Config, ConfigError> load(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return ConfigError{Kind::cannot_open, {}, {}, {}};
  const std::string bytes{std::istreambuf_iterator<char>(in), {}};
  if (in.bad()) return ConfigError{Kind::cannot_read, {}, {}, {}};
  return parse(bytes);
}

}  // namespace granitegap::config
