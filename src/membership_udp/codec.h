// Datagrams as bytes: protobuf inside an envelope with a format version and a checksum. No socket.
#pragma once
#include <array>
#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "membership/datagram.h"
#include "membership/local_health.h"

namespace granitegap::membership_udp {

// Why bytes are not a datagram of this cluster. Each is counted; none changes anything.
enum class DecodeError : std::uint8_t { oversized, foreign, checksum, other_cluster, malformed };
inline constexpr std::size_t kDecodeErrorCount = 5;
const char* text_of(DecodeError bad);

// What `granitegap members` asks and gets.
struct StatusQuery {
  std::uint32_t nonce = 0, from = 0;
  bool recovery_report = false;  // only how it comes back, as `granitegap recovery` asks
};
struct RecoveryReport {
  std::string phase, kind;
  std::uint64_t since_ms = 0, left_ms = 0, keyed_wait_ms = 0;
  std::uint8_t offered = 100, proven = 100;
  bool bounded = false;
  std::uint32_t recoveries = 0;
  // First answer, good health, half, 0.95, full, and the guess of full; -1: not yet.
  std::array<std::int64_t, 6> reached_ms{-1, -1, -1, -1, -1, -1};
  struct Source {
    std::string name;
    std::uint64_t age_ms = 0;
  };
  std::vector<Source> sources;
};
struct MemberStatusLine {
  std::string name, address, zone, conflicting_address;
  membership::Incarnation incarnation = 0;
  membership::Stage stage{};
  membership::Status status{}, certain_status{};
  bool reachable = true;
  std::uint64_t since_ms = 0;
  std::uint8_t warmup_percent = 0, pressure_percent = 0;
  membership::RecoveryStatus recovery_status;
  std::vector<std::string> unheard_from, not_reaching;
};
struct StatusReply {
  std::uint32_t nonce = 0, next = 0;
  bool last = false;
  std::string cluster, name;
  membership::Incarnation incarnation = 0;
  membership::Stage stage{};
  membership::LocalConnectivity local_connectivity{};
  bool has_quorum = false, uncertain = false;
  std::uint32_t fleet_size = 0;
  std::vector<MemberStatusLine> members;
  std::optional<RecoveryReport> recovery_report;
};

std::string encode(const membership::Datagram& datagram, std::string_view cluster);
std::string encode(const StatusQuery& query);
std::string encode(const StatusReply& reply);
using Decoded = std::variant<DecodeError, membership::Datagram, StatusQuery, StatusReply>;
// A datagram only of this cluster; queries and replies belong to none.
Decoded decode(std::string_view bytes, std::string_view cluster);

// The same bytes with the checksum that fits them: for tests that damage what lies behind it.
std::string reseal(std::string bytes);

// "127.0.0.1:9101", "[::1]:9101".
std::string text_of(const membership::Address& address);
membership::Address address_of(const boost::asio::ip::address& ip, std::uint16_t port);

}  // namespace granitegap::membership_udp
