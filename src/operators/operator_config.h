// Reads the operator file and checks it against its schema and against the rules that the schema cannot
// express.
//
// The functions keep no state and may be called from any thread. Only load() does I/O, and it blocks.
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

// The class of a gather, by its name in the platform's settings.
struct GatherClass {
  std::string name;
  typed_config::Position position;  // of the name in the operator file
};

// The declarations of an operator file.
struct OperatorConfig {
  // Settings of the recovery after a restart; see docs/recovery-operators.md.
  struct Recovery {
    // Whether requests with idempotency keys are rejected until no run of a previous incarnation can be
    // repeated.
    bool quarantine_keys = true;
    std::string directory;      // holds the snapshots and the shutdown record; empty: nothing is stored
    Duration max_clock_back{};  // largest setback of the Unix clock that prolongs the quarantine
    Duration snapshot_every{};  // interval between snapshots
    bool guided = true;         // whether the advertised share grows with runs that met their objective
    double first = 0.1;         // share advertised before any run has ended
    double growth = 1.5;        // the advertised share is at most this times the verified share
    double wait_bound = 1;      // longest expected wait for a core, in latency objectives of the class
    Duration max_learn{};       // longest state transfer
    std::uint16_t state_transfer_port = 0;  // TCP; 0: any free port
    Duration max_pause{};                   // a longer pause of the process begins another recovery
    Duration calm_for{};  // time without rejections for load after which waits are no longer bounded
    bool operator==(const Recovery&) const = default;
  };

  deps::Spec spec;                           // resolve_classes() sets the class numbers of its gathers
  std::vector<GatherClass> gather_classes;   // the class of each gather in `spec`, in the same order
  std::size_t dependency_connections = 128;  // descriptors for calls, idle connections included
  std::uint16_t cache_fill_port = 0;         // TCP; 0: any free port
  std::optional<membership_udp::Settings> membership;
  std::optional<Recovery> recovery;
  typed_config::Value values;  // all values of the file, with defaults filled in
  std::string file;            // name of the file

  // Returns whether this process fills caches for other members: the file declares membership, and at least
  // one dependency enables fleet-wide cache fills.
  bool cache_fill_enabled() const;
};

// Returns the schema of operator files, which is built into the program (deploy/operator.schema.cue).
const typed_config::Document& schema();

// Parses a numeric address and a port, such as "127.0.0.1:9101" or "[::1]:9101". Returns nothing if `text`
// has another form; names are not resolved.
std::optional<membership::Address> parse_address(const std::string& text);

// Returns the declarations of `document`, or all errors in it.
[[nodiscard]] std::variant<OperatorConfig, Errors> from_document(const typed_config::Document& document);

// Reads and checks the operator file at `path`.
[[nodiscard]] std::variant<OperatorConfig, Errors> load(const std::string& path);

// Sets the class numbers of the gathers from the platform's settings. Returns one error for each class that
// is not in `names`.
[[nodiscard]] Errors resolve_classes(OperatorConfig& config, const edge::NameRegistry& names);

}  // namespace granitegap::operators
