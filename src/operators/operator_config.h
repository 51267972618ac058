// The operator's own file, read: what it declares, checked against its schema and in itself.
//
// Nothing here keeps state; the functions may be called from any thread. Only load() does I/O, and it blocks.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "deps/spec.h"
#include "edge/types.h"
#include "membership_udp/settings.h"
#include "typed_config/typed_config.h"

namespace granitegap::operators {

using typed_config::Errors;

// A class that has gathers, by the name that the platform's settings give it.
struct GatherClass {
  std::string name;
  typed_config::Position position;
};

struct OperatorConfig {
  // The return to service after a restart; see docs/recovery-operators.md.
  struct Recovery {
    // Requests with idempotency keys wait until no run of an earlier incarnation can be repeated.
    bool quarantine_keys = true;
    std::string directory;  // of snapshots and the shutdown record; empty: none
    Duration max_clock_back{};
    Duration snapshot_every{};
    bool guided = true;  // the load accepted grows with proven work
    double first = 0.1;
    double growth = 1.5;
    double wait_bound = 1;
    Duration max_learn{};
    std::uint16_t state_transfer_port = 0;  // TCP; 0: any that is free
    Duration max_pause{};
    Duration calm_for{};
    bool operator==(const Recovery&) const = default;
  };

  deps::Spec spec;                          // its classes are numbered by resolve_classes()
  std::vector<GatherClass> gather_classes;  // one for each of the spec's gathers
  std::size_t dependency_connections = 128;
  std::uint16_t cache_fill_port = 0;  // TCP; 0: any that is free
  std::optional<membership_udp::Settings> membership;
  std::optional<Recovery> recovery;
  typed_config::Value values;  // the whole file, with defaults
  std::string file;            // its name

  // Whether this process fills caches for other members: some dependency asks for it, and there is a fleet.
  bool cache_fill_enabled() const;
};

// The schema that the program carries (deploy/operator.schema.cue).
const typed_config::Document& schema();

// "127.0.0.1:9101", "[::1]:9101". Absent if it is anything else; nothing is looked up.
std::optional<membership::Address> parse_address(const std::string& text);

// What the document declares, or every error there is.
[[nodiscard]] std::variant<OperatorConfig, Errors> from_document(const typed_config::Document& document);

// Reads and checks the file at `path`.
[[nodiscard]] std::variant<OperatorConfig, Errors> load(const std::string& path);

// Numbers the classes as the platform's settings do. One error for each class that these do not name.
[[nodiscard]] Errors resolve_classes(OperatorConfig& config, const edge::NameRegistry& names);

}  // namespace granitegap::operators
