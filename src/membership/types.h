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

// A numeric UDP address; an IPv4 one stands in the first four bytes.
struct Address {
  std::array<std::uint8_t, 16> ip{};
  std::uint16_t port = 0;
  bool v6 = false;
  auto operator<=>(const Address&) const = default;
  explicit operator bool() const { return port != 0; }
};

// Orders what is said of one member: only the member itself raises it, to refute, and each of its lives
// begins beyond all that it has learned of its earlier ones.
using Incarnation = std::uint64_t;
// Drawn by chance at each start: tells two lives under one name apart even where a clock went back.
enum class BootId : std::uint64_t {};

// What is held of a member. The order is that of precedence within one incarnation.
enum class Status : std::uint8_t { alive, suspect, dead, left };
// What a member says of itself.
enum class Stage : std::uint8_t { starting, warming_up, serving, draining, leaving };

// A direction that does not carry, between whoever tells it and `peer`.
struct LinkFault {
  std::uint64_t peer = 0;  // name_hash()
  bool inbound = false;    // true: what the peer sends does not arrive
  bool operator==(const LinkFault&) const = default;
};

// What whoever probes an endpoint of a dependency has found: told while that is out, and a while after it is
// back.
struct EndpointHealth {
  std::uint64_t endpoint = 0;  // name_hash() of the dependency's name and the address
  bool unavailable = false;
  bool operator==(const EndpointHealth&) const = default;
};

inline constexpr std::size_t kMaxNameBytes = 64, kMaxZoneBytes = 32;  // bytes
inline constexpr std::uint8_t kMaxRecoveryPhase = 4;
inline constexpr std::size_t kMaxLinkFaults = 4, kMaxEndpointHealth = 8;

// How a member comes back from a restart, where it says so (recovery/recovery_controller.h).
struct RecoveryStatus {
  std::uint8_t phase = 0;              // 0 where it does not, else its phase and one
  std::uint8_t offered_percent = 100;  // hundredths of what it would announce
  std::uint16_t donor_port =
      0;  // TCP, on the address it advertises: tells others what it has learned; 0: nowhere
  std::uint32_t full_service_ms = 0;  // that its last way to full service took; 0: it is on its way
  bool operator==(const RecoveryStatus&) const = default;
};

// Owned and versioned by the member it is about; a stale version never wins within one life.
struct MemberMetadata {
  std::uint32_t version = 0;
  Stage stage = Stage::starting;
  std::uint8_t warmup_percent = 0, pressure_percent = 0;  // in 100
  std::uint64_t boot_incarnation = 0;                     // the incarnation with which this life began
  std::string zone;
  Address conflicting_address;  // another live process under its name, where there is one
  Address secondary_address;    // where it is reached by another path, should it have one
  RecoveryStatus recovery_status;
  std::uint16_t cache_fill_port =
      0;                        // TCP, on the address it advertises: fills keys for others; 0: it does not
  BootId superseded_boot_id{};  // an earlier life that this one has superseded
  std::vector<LinkFault> links;
  std::vector<EndpointHealth> endpoint_health;
  bool operator==(const MemberMetadata&) const = default;
};

// One member as one datagram tells of it.
struct Record {
  std::string name;
  Address address;
  BootId boot_id{};
  Incarnation incarnation = 0;
  Status status = Status::alive;
  std::uint64_t suspected_by = 0;  // of a suspect or dead one: name_hash() of who found it silent
  std::uint32_t age_ms = 0;        // since it was first said, as far as those who passed it on can tell
  std::optional<MemberMetadata> metadata;
  bool operator==(const Record&) const = default;
};

// XXH3 of the name, never 0: the same in every process.
std::uint64_t name_hash(std::string_view name);

const char* text_of(Status status);
const char* text_of(Stage stage);

}  // namespace granitegap::membership
