// Membership datagrams as bytes: protobuf (membership.proto) inside an envelope with a format version and a
// checksum. No socket, no thread, no state. Errors: DecodeError.
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
enum class DecodeError : std::uint8_t {
  oversized,      // over kMaxDatagram
  foreign,        // without the envelope of this format
  checksum,       // damaged
  other_cluster,  // of another cluster
  malformed       // no protobuf message, or a field out of its bounds
};
inline constexpr std::size_t kDecodeErrorCount = 5;
// The enumerator as it is printed.
const char* text_of(DecodeError error);

// The request of `granitegap members` and `granitegap recovery`.
struct StatusQuery {
  std::uint32_t nonce = 0;
  std::uint32_t from = 0;        // the first member wanted: StatusReply::next of the reply before
  bool recovery_report = false;  // only the recovery report
};
// The state of a process' recovery. Percentages of 100, times in milliseconds.
struct RecoveryReport {
  std::string phase, kind;
  std::uint64_t since_ms = 0, left_ms = 0, keyed_wait_ms = 0;
  std::uint8_t offered = 100, proven = 100;
  bool bounded = false;
  std::uint32_t recoveries = 0;
  // First answer, good health, half, 0.95, full, and the estimate of full; -1: not yet.
  std::array<std::int64_t, 6> reached_ms{-1, -1, -1, -1, -1, -1};
  // A donor of warm state, and the age of what it sent.
  struct Source {
    std::string name;
    std::uint64_t age_ms = 0;
  };
  std::vector<Source> sources;
};
// One member in a StatusReply.
struct MemberStatusLine {
  std::string name, address, zone, conflicting_address;
  membership::Incarnation incarnation = 0;
  membership::Stage stage{};
  membership::Status status{}, certain_status{};
  bool reachable = true;
  std::uint64_t since_ms = 0;  // in this status
  std::uint8_t warmup_percent = 0, pressure_percent = 0;
  membership::RecoveryStatus recovery_status;
  std::vector<std::string> unheard_from;  // members whose datagrams don't arrive at it directly
  std::vector<std::string> not_reaching;  // members at which its datagrams don't arrive directly
};
// The view of one process, or a part of it: as many members as one datagram takes.
struct StatusReply {
  std::uint32_t nonce = 0;
  std::uint32_t next = 0;  // StatusQuery::from of the next part
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

// The bytes of one UDP datagram.
std::string encode(const membership::Datagram& datagram, std::string_view cluster);
std::string encode(const StatusQuery& query);
std::string encode(const StatusReply& reply);
using Decoded = std::variant<DecodeError, membership::Datagram, StatusQuery, StatusReply>;
// Accepts datagrams of this cluster only; queries and replies belong to none.
Decoded decode(std::string_view bytes, std::string_view cluster);

// The same bytes with a valid checksum: for tests that change what lies behind it.
std::string reseal(std::string bytes);

// "127.0.0.1:9101", "[::1]:9101".
std::string text_of(const membership::Address& address);
membership::Address address_of(const boost::asio::ip::address& ip, std::uint16_t port);

}  // namespace granitegap::membership_udp
