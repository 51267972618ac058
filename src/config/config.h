// Reads the platform's configuration of a tile server: the EDGE_CONFIG file with its addresses, limits and
// settings. The types are plain values, the functions may be called from any thread, and errors are returned,
// not thrown.
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

/// Resource limits that the platform sets for the process.
struct Limits {
  double cores = 1;
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;  ///< maximum number of open descriptors
  bool operator==(const Limits&) const = default;
};

/// The configuration of one process.
struct Config {
  std::string name;
  Endpoint listen, kernel, announce;
  std::optional<Endpoint> admin;     ///< address of the admin listener
  std::uint64_t seed = 0;            ///< seed of the controller's random numbers
  std::chrono::milliseconds stop{};  ///< time from SIGTERM to SIGKILL
  Limits limits;
  std::string settings_text;  ///< the settings as path=value lines
  ParsedSettings parsed;
  edge::NameRegistry catalog;  ///< class and tenant names, by position
};

/// The reason why a configuration was rejected.
struct ConfigError {
  enum class Kind {
    cannot_open,
    cannot_read,
    invalid_json,  ///< `value` is the message of the JSON parser
    not_an_object,
    missing,
    not_text,
    not_a_number,  ///< not a number, or out of range
    not_an_endpoint,
    not_hexadecimal,
    no_classes,
    class_without_effect,
    class_duration_not_positive,
    class_named_twice,
  };
  Kind kind{};
  std::string field;       ///< path of the invalid JSON member; empty if the error is about the complete file
  std::string value;       ///< the value found, or the file's path; escaped and cut to a bounded length
  std::string class_name;  ///< name of the invalid request class, otherwise empty
  std::string expected = {};  ///< the accepted range, if `kind` does not imply it

  /// Returns the error as one line: the field, what was expected and the value found.
  [[nodiscard]] std::string message() const;
};

/// Parses HOST:PORT. Returns nothing if `text` has another form. With port 0 the system chooses a port.
[[nodiscard]] std::optional<Endpoint> read_endpoint(const std::string& text);

/// Parses and checks the contents of a configuration file.
[[nodiscard]] std::variant<Config, ConfigError> parse(std::string_view json);

/// Reads and checks the configuration file at `path`. Blocks on file I/O.
[[nodiscard]] std::variant<Config, ConfigError> load(const std::string& path);

}  // namespace granitegap::config
