// The phases of a process's recovery after a restart, and how much of the fleet restarted with it.
#pragma once
#include <cstdint>

namespace granitegap::recovery {

enum class Phase : std::uint8_t {
  starting,            // the kernel is not up yet
  transferring_state,  // asks running members for their warm state
  slow_start,          // advertises a growing share of its capacity
  in_service,          // advertises all of its capacity
};

// How much of the fleet is restarting at the same time.
enum class RestartScope : std::uint8_t {
  unknown,   // no view of the fleet yet
  single,    // this process, among peers in service
  partial,   // a part of the fleet
  majority,  // most of the fleet
};

// The words that logs, reports and commands print.
const char* phase_name(Phase phase);
const char* restart_scope_name(RestartScope scope);

// The phase as membership's metadata carries it: zero there says that a member declares no recovery.
constexpr std::uint8_t to_metadata_value(Phase phase) { return std::uint8_t(1 + std::uint8_t(phase)); }

}  // namespace granitegap::recovery
