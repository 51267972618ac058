// What the platform tells a tile server: EDGE_CONFIG, its settings and its limits.
#pragma once
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "edge/types.h"
#include "settings/settings.h"

namespace granitegap::config {

struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};
struct Limits {
  double cores = 1;
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;
  bool operator==(const Limits&) const = default;
};
struct Config {
  std::string name;
  Endpoint listen, kernel, announce;
  std::optional<Endpoint> admin;  // the operators' door
  std::uint64_t seed = 0;
  std::chrono::milliseconds stop{};  // from the notice to leave to the kill
  Limits limits;
  std::string settings_text;  // as path=value lines
  ParsedSettings parsed;
  edge::NameRegistry catalog;
};
struct Problem {
  std::string what;  // one line
};

// A host and a port, as 10.0.0.4:7001; absent where it is none.
std::optional<Endpoint> read_endpoint(const std::string& text);
std::variant<Config, Problem> parse(std::string_view json);
std::variant<Config, Problem> load(const std::string& path);

}  // namespace granitegap::config
