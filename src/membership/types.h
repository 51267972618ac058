// What members of a fleet know of each other: values only, no socket and no clock.
//
// Terms are those of SWIM (Das, Gupta, Motivala, DSN 2002) and of Lifeguard (Dadgar, Phillips, Currey, DSN-W
// 2018): incarnation, suspicion, refutation, indirect probe, local health.
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

// A numeric UDP address; an IPv4 one is in the first four bytes. Without a port there is none.
struct Address {
  std::array<std::uint8_t, 16> ip{};
  std::uint16_t port = 0;
  bool v6 = false;
  auto operator<=>(const Address&) const = default;
  explicit operator bool() const { return port != 0; }
};

// Orders updates about one member (SWIM section 4.2): only the member itself raises it, to refute a
// suspicion. Each process of a name starts above all it has learned of earlier ones.
using Incarnation = std::uint64_t;
// Drawn at random by each process: tells two processes of one name apart even where a clock went back.
enum class BootId : std::uint64_t {};

// What a member is in the view of another, in the order of precedence within one incarnation.
enum class Status : std::uint8_t { alive, suspect, dead, left };
// The stage of its lifecycle that a member reports of itself.
enum class Stage : std::uint8_t { starting, warming_up, serving, draining, leaving };

// One direction of the direct link between the reporting member and `peer` that fails.
struct LinkFault {
  std::uint64_t peer = 0;  // name_hash()
  bool inbound = false;    // true: datagrams of the peer don't arrive
  bool operator==(const LinkFault&) const = default;
};

// The result of health checks that the reporting member makes of an endpoint of a dependency: reported while
// the endpoint is unavailable, and for a while after it recovered.
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
  std::uint8_t phase = 0;              // the controller's phase and one; 0: recovery is not controlled
  std::uint8_t offered_percent = 100;  // of the capacity that it would announce
  std::uint16_t donor_port = 0;        // TCP, on its advertised address: serves warm state; 0: does not
  std::uint32_t full_service_ms = 0;   // that the last recovery took to full service; 0: not there yet
  bool operator==(const RecoveryStatus&) const = default;
};

// What a member publishes of itself; a higher version replaces a lower one within one process.
struct MemberMetadata {
  std::uint32_t version = 0;
  Stage stage = Stage::starting;
  std::uint8_t warmup_percent = 0, pressure_percent = 0;
  std::uint64_t boot_incarnation = 0;  // the incarnation with which this process began
  std::string zone;
  Address conflicting_address;  // of another process under its name, where there is one
  Address secondary_address;    // on a second network path, where it has one
  RecoveryStatus recovery_status;
  std::uint16_t cache_fill_port = 0;  // TCP, on its advertised address: fills keys for others; 0: does not
  BootId superseded_boot_id{};        // of an earlier process that this one has superseded
  std::vector<LinkFault> links;
  std::vector<EndpointHealth> endpoint_health;
  bool operator==(const MemberMetadata&) const = default;
};

// One update about one member, as datagrams carry it.
struct Record {
  std::string name;
  Address address;
  BootId boot_id{};
  Incarnation incarnation = 0;
  Status status = Status::alive;
  std::uint64_t suspected_by = 0;  // of a suspect or dead member: name_hash() of the member that suspects it
  std::uint32_t age_ms = 0;  // since it was first sent, as far as the members that forwarded it can tell
  std::optional<MemberMetadata> metadata;
  bool operator==(const Record&) const = default;
};

// XXH3 of the name, never 0: the same in every process.
std::uint64_t name_hash(std::string_view name);

// The enumerator as it is printed.
const char* text_of(Status status);
const char* text_of(Stage stage);

}  // namespace granitegap::membership
