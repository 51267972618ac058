// Values that members of a fleet exchange about each other; no socket and no clock.
//
// The terms are those of SWIM (Das, Gupta, Motivala, DSN 2002) and of Lifeguard (Dadgar, Phillips, Currey,
// DSN-W 2018): incarnation, suspicion, refutation, indirect probe, local health.
#pragma once
#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::membership {

// A numeric UDP address; an IPv4 address is in the first four bytes. Port 0 means that there is no address.
struct Address {
  std::array<std::uint8_t, 16> ip{};
  std::uint16_t port = 0;
  bool v6 = false;
  auto operator<=>(const Address&) const = default;
  explicit operator bool() const { return port != 0; }
};

// Orders updates about one member (SWIM section 4.2). Only the member itself raises it, to refute a
// suspicion. Each process starts above all incarnations that it knows of earlier processes with the same
// name.
using Incarnation = std::uint64_t;
// Random number drawn by each process: distinguishes two processes with the same name even if a clock went
// back.
enum class BootId : std::uint64_t {};

// Status of a member in the view of another, in the order of precedence within one incarnation.
enum class Status : std::uint8_t { alive, suspect, dead, left };
// Stage of its lifecycle that a member reports about itself.
enum class Stage : std::uint8_t { starting, warming_up, serving, draining, leaving };

// A direction that fails of the direct link between the reporting member and `peer`.
struct LinkFault {
  std::uint64_t peer = 0;  // name_hash()
  bool inbound = false;    // true: datagrams of the peer don't arrive
  bool operator==(const LinkFault&) const = default;
};

// Result of the reporting member's health checks of an endpoint of a dependency. Reported while the endpoint
// is unavailable, and for some time after it recovered.
struct EndpointHealth {
  std::uint64_t endpoint = 0;  // name_hash() of the dependency's name and the address
  bool unavailable = false;
  bool operator==(const EndpointHealth&) const = default;
};

inline constexpr std::size_t kMaxNameBytes = 64, kMaxZoneBytes = 32;
inline constexpr std::uint8_t kMaxRecoveryPhase = 4;
inline constexpr std::size_t kMaxLinkFaults = 4, kMaxEndpointHealth = 8;

// The recovery of a member after a restart (recovery/recovery_controller.h).
struct RecoveryStatus {
  std::uint8_t phase = 0;              // the recovery controller's phase plus one; 0: there is no controller
  std::uint8_t offered_percent = 100;  // of the capacity that it announces at full service
  std::uint16_t donor_port = 0;        // TCP port on its advertised address that serves warm state; 0: none
  std::uint32_t full_service_ms = 0;   // duration of the last recovery up to full service; 0: not reached yet
  bool operator==(const RecoveryStatus&) const = default;
};

// What a member publishes about itself. A higher version replaces a lower one of the same process.
struct MemberMetadata {
  std::uint32_t version = 0;
  Stage stage = Stage::starting;
  std::uint8_t warmup_percent = 0, pressure_percent = 0;
  std::uint64_t boot_incarnation = 0;  // incarnation with which this process started
  std::string zone;
  Address conflicting_address;  // of another process with the same name, where there is one
  Address secondary_address;    // on a second network path, where it has one
  RecoveryStatus recovery_status;
  std::uint16_t cache_fill_port = 0;  // TCP port on its advertised address for cache fills by others; 0: none
  BootId superseded_boot_id{};        // of an earlier process that this one superseded
  std::vector<LinkFault> links;
  std::vector<EndpointHealth> endpoint_health;
  bool operator==(const MemberMetadata&) const = default;
};

// One update about one member, as carried by datagrams.
struct Record {
  std::string name;
  Address address;
  BootId boot_id{};
  Incarnation incarnation = 0;
  Status status = Status::alive;
  std::uint64_t suspected_by = 0;  // name_hash() of the member that suspects a suspect or dead one
  std::uint32_t age_ms = 0;        // since it was first sent, as measured by the members that forwarded it
  std::optional<MemberMetadata> metadata;
  bool operator==(const Record&) const = default;
};

// Returns the XXH3 hash of the name, never 0; it is the same in every process.
std::uint64_t name_hash(std::string_view name);

// Returns the value as printed in logs and status output.
const char* text_of(Status status);
const char* text_of(Stage stage);

}  // namespace granitegap::membership
