#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace granitegap::config {
namespace {

using Json = nlohmann::json;

struct Bad : std::runtime_error {  // stays in this file: parse() turns it into a Problem
  using std::runtime_error::runtime_error;
};

const Json& member(const Json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) throw Bad(std::string("no ").append(name));
  return *it;
}

std::string text(const Json& object, const char* name) {
  const auto& value = member(object, name);
  if (!value.is_string() || value.get_ref<const std::string&>().empty())
    throw Bad(std::string(name).append(" is not a text"));
  return value.get<std::string>();
}

double number(const Json& object, const char* name, double least, double most) {
  const auto& value = member(object, name);
  if (!value.is_number() || !(value.get<double>() >= least) || !(value.get<double>() <= most))
    throw Bad(std::string(name).append(" is no usable number"));
  return value.get<double>();
}

Endpoint endpoint(const Json& object, const char* name) {
  const auto value = text(object, name);
  if (const auto found = read_endpoint(value)) return *found;
  throw Bad(std::string(name).append(" is no address with a port: ").append(value));
}

std::uint64_t seed_of(const Json& object) {
  const auto value = text(object, "seed");
  std::uint64_t seed = 0;
  const auto* end = value.data() + value.size();
  const auto [at, error] = std::from_chars(value.data(), end, seed, 16);
  if (error != std::errc{} || at != end)
    throw Bad(std::string("seed is no hexadecimal number: ").append(value));
  return seed;
}

// The simulator's pairs leave no room for separators inside values.
std::string plain(const Json& value) {
  if (!value.is_string()) return value.is_null() ? std::string{} : value.dump();
  auto word = value.get<std::string>();
  std::replace_if(
      word.begin(), word.end(), [](char c) { return c == ' ' || c == ',' || c == '\n' || c == '\r'; }, '_');
  return word;
}

// Nested JSON as the path=value lines that the simulator sends, so that one reader serves both.
void flatten(const Json& value, const std::string& path, std::string& out) {
  const auto below = [&](const std::string& name) {
    return path.empty() ? name : std::string(path).append(1, '.').append(name);
  };
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) flatten(inner, below(name), out);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    out += below("count");
    out += '=';
    out += std::to_string(value.size());
    out += '\n';
    for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], below(std::to_string(i)), out);
  } else {
    out += path;
    out += '=';
    if (value.is_array()) {
      for (std::size_t i = 0; i < value.size(); ++i) {
        if (i) out += ',';
        out += plain(value[i]);
      }
    } else {
      out += plain(value);
    }
    out += '\n';
  }
}

std::vector<std::string> names(const Json& settings, const char* list) {
  std::vector<std::string> found;
  if (const auto it = settings.find(list); it != settings.end() && it->is_array())
    for (const auto& item : *it) found.push_back(text(item, "name"));
  return found;
}

// Settings under which no promise could be kept are refused at the start: guards against a class whose
// requests are due at once, or whose repeats can't be told from new ones.
void hold_classes(const Config& c) {
  const auto& s = c.parsed.settings;
  const auto bad = [&](std::size_t i, const char* what) {
    throw Bad("class " + c.catalog.classes[i] + ": " + what);
  };
  for (std::size_t i = 0; i < s.classes.size() && i < c.catalog.classes.size(); ++i) {
    const auto unusable = [&](const char* key) {
      const auto name = "classes." + std::to_string(i) + "." + key;
      return std::find(s.invalid_keys.begin(), s.invalid_keys.end(), name) != s.invalid_keys.end();
    };
    const auto& cls = s.classes[i];
    if (unusable("effect")) bad(i, "effect is none of retryable, dedup, fragile");
    if (unusable("deadline_ms") || (cls.deadline && cls.deadline->count() <= 0))
      bad(i, "deadline_ms is not above 0");
    if (cls.idempotency == Idempotency::with_key &&
        (unusable("repeat_window_ms") || (cls.idempotency_window && cls.idempotency_window->count() <= 0)))
      bad(i, "repeat_window_ms is not above 0");
    for (std::size_t k = 0; k < i; ++k)
      if (c.catalog.classes[k] == c.catalog.classes[i]) bad(i, "is named twice");
  }
}

Config read(const Json& json) {
  if (!json.is_object()) throw Bad("not an object");
  Config c;
  c.name = text(json, "name");
  c.listen = endpoint(json, "listen");
  c.kernel = endpoint(json, "kernel");
  c.announce = endpoint(json, "announce");
  if (json.contains("admin_addr")) c.admin = endpoint(json, "admin_addr");
  c.seed = seed_of(json);
  c.stop = std::chrono::milliseconds(std::llround(number(json, "stop_ms", 0, 1e9)));
  const auto& limits = member(json, "limits");
  c.limits.cores = number(limits, "cores", 0, 1e6);
  c.limits.memory_mb = std::size_t(number(limits, "memory_mb", 1, 1e9));
  c.limits.sockets = std::size_t(number(limits, "sockets", 1, 1e9));
  const auto& settings = member(json, "settings");
  if (!settings.is_object()) throw Bad("\"settings\" is not an object");
  c.catalog.classes = names(settings, "classes");
  c.catalog.tenants = names(settings, "orgs");
  if (c.catalog.classes.empty()) throw Bad("\"settings\" names no class");
  flatten(settings, "", c.settings_text);
  c.parsed = parse_settings(c.settings_text);
  hold_classes(c);
  for (const auto& cls : c.parsed.settings.classes)
    c.catalog.key_required.push_back(cls.idempotency == Idempotency::with_key);
  return c;
}

}  // namespace

std::optional<Endpoint> read_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  unsigned port = 0;
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  const auto* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data() + colon + 1, end, port);
  // Port 0 is for tests: the system picks one.
  if (error != std::errc{} || at != end || port > std::numeric_limits<std::uint16_t>::max())
    return std::nullopt;
  return Endpoint{text.substr(0, colon), std::uint16_t(port)};
}

std::variant<Config, Problem> parse(std::string_view json) {
  try {
    return read(Json::parse(json));
  } catch (const Json::exception& e) {
    return Problem{e.what()};
  } catch (const Bad& e) {
    return Problem{e.what()};
  }
}

std::variant<Config, Problem> load(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return Problem{"cannot be opened"};
  const std::string bytes{std::istreambuf_iterator<char>(in), {}};
  if (in.bad()) return Problem{"cannot be read"};
  return parse(bytes);
}

}  // namespace granitegap::config
