// The phases of a process's recovery after a restart, and the scope of the restart: how much of the fleet
// restarts at the same time.
#pragma once
#include <cstdint>

namespace granitegap::recovery {

// A phase of recovery, in the order in which they follow each other.
enum class Phase : std::uint8_t {
  starting,            // the kernel is not up yet
  transferring_state,  // requests warm state from running members
  slow_start,          // advertises a growing share of its capacity
  in_service,          // advertises all of its capacity
};

// How much of the fleet is restarting at the same time.
enum class RestartScope : std::uint8_t {
  unknown,   // no view of the fleet yet
  single,    // only this process; its peers are in service
  partial,   // a part of the fleet
  majority,  // most of the fleet
};

// Return the word that logs, reports and commands print.
const char* phase_name(Phase phase);
const char* restart_scope_name(RestartScope scope);

// Returns the value of the phase in membership metadata, where zero means that no phase is advertised.
constexpr std::uint8_t to_metadata_value(Phase phase) { return std::uint8_t(1 + std::uint8_t(phase)); }

}  // namespace granitegap::recovery
