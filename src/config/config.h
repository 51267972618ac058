// What the platform configures for a tile server: the EDGE_CONFIG file with its addresses, limits and
// settings. Everything is a value; the functions may run on any thread. Errors are returned, not thrown.
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

/// A host and a port, as in 10.0.0.4:7001.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
};

/// What the platform grants the process.
struct Limits {
  double cores = 1;
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;  ///< open descriptors
  bool operator==(const Limits&) const = default;
};

/// The configuration of one process.
struct Config {
  std::string name;
  Endpoint listen, kernel, announce;
  std::optional<Endpoint> admin;     ///< where operators connect
  std::uint64_t seed = 0;            ///< of the controller's random numbers
  std::chrono::milliseconds stop{};  ///< from SIGTERM to SIGKILL
  Limits limits;
  std::string settings_text;  ///< as path=value lines
  ParsedSettings parsed;
  edge::NameRegistry catalog;  ///< class and tenant names, by position
};

/// Why a configuration can't be used.
struct ConfigError {
  enum class Kind {
    cannot_open,
    cannot_read,
    invalid_json,  ///< `value` is the parser's message
    not_an_object,
    missing,
    not_text,
    not_a_number,  ///< or one out of range
    not_an_endpoint,
    not_hexadecimal,
    no_classes,
    class_without_effect,
    class_duration_not_positive,
    class_named_twice,
  };
  Kind kind{};
  std::string field;       ///< the JSON member at fault; empty where it is the complete file
  std::string value;       ///< what it held, where that tells more
  std::string class_name;  ///< of the request class at fault, else empty

  /// One line for logs.
  [[nodiscard]] std::string message() const;
};

/// Reads a host and a port; absent where the text is none. Port 0 lets the system choose one.
[[nodiscard]] std::optional<Endpoint> read_endpoint(const std::string& text);
[[nodiscard]] std::variant<Config, ConfigError> parse(std::string_view json);
[[nodiscard]] std::variant<Config, ConfigError> load(const std::string& path);

}  // namespace granitegap::config
