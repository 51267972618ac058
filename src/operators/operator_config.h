// The operator's own file, made ready: what it declares, checked against its schema and in itself.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "deps/spec.h"
#include "edge/types.h"
#include "membership_udp/settings.h"
#include "typed_config/typed_config.h"

namespace granitegap::operators {

using Errors = std::vector<typed_config::Error>;

struct OperatorConfig {
  deps::Spec spec;  // its classes are numbered by bind()
  std::vector<std::pair<std::string, typed_config::Position>> gather_classes;  // of the gathers, in order
  std::size_t dependency_connections = 128;
  std::optional<membership_udp::Settings> membership;
  std::uint16_t cache_fill_port = 0;
  bool cache_fill_enabled() const {
    for (const auto& d : spec.dependencies)
      if (d.fleet_cache_fill) return membership.has_value();
    return false;
  }
  struct Recovery {
    bool quarantine_keys = true;  // keyed requests, after memory was lost
    std::string directory;        // empty: none
    Duration max_clock_back{}, snapshot_every{};
    bool guided = true;  // the return to full service
    double first = 0.1, growth = 1.5, wait_bound = 1;
    Duration max_learn{};
    std::uint16_t state_transfer_port = 0;
    Duration max_pause{}, calm_for{};
    bool operator==(const Recovery&) const = default;
  };
  std::optional<Recovery> recovery;
  typed_config::Value values;  // the file, with defaults
  std::string file;
};

// The schema that the program carries (deploy/operator.schema.cue).
const typed_config::Document& schema();
// A Declared, or every error there is.
// "127.0.0.1:9101", "[::1]:9101"; absent where it is none.
std::optional<membership::Address> parse_address(const std::string& text);
std::variant<OperatorConfig, Errors> from_document(const typed_config::Document& document);
std::variant<OperatorConfig, Errors> load(const std::string& path);
// Numbers the classes as the platform's settings do; names those that it does not know.
Errors resolve_classes(OperatorConfig& declared, const edge::NameRegistry& catalog);

}  // namespace granitegap::operators
