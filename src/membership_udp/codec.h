// Codec of membership datagrams: a protobuf message (membership.proto) inside an envelope with a format
// version and a checksum. Uses no socket and no thread, and holds no state. Reports errors as DecodeError.
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

// Reasons for which received bytes are not accepted as a datagram of this cluster. Such datagrams are counted
// and have no other effect.
enum class DecodeError : std::uint8_t {
  oversized,      // longer than kMaxDatagram
  foreign,        // does not start with the envelope of this format
  checksum,       // checksum mismatch: the datagram was damaged
  other_cluster,  // belongs to another cluster
  malformed       // not a protobuf message, or a field is out of bounds
};
inline constexpr std::size_t kDecodeErrorCount = 5;
// Returns the name of the enumerator, as it appears in log lines.
const char* text_of(DecodeError error);

// The request of `granitegap members` and `granitegap recovery`.
struct StatusQuery {
  std::uint32_t nonce = 0;
  std::uint32_t from = 0;        // first member to list: 0, or StatusReply::next of the previous reply
  bool recovery_report = false;  // requests only the recovery report
};
// State of the recovery of a process. `offered` and `proven` are percentages, times are in milliseconds.
struct RecoveryReport {
  std::string phase, kind;
  std::uint64_t since_ms = 0, left_ms = 0, keyed_wait_ms = 0;
  std::uint8_t offered = 100, proven = 100;
  bool bounded = false;
  std::uint32_t recoveries = 0;
  // Times from the start to the first answer, good health, half, 0.95 and full service, and the estimate for
  // full service. -1: not reached yet.
  std::array<std::int64_t, 6> reached_ms{-1, -1, -1, -1, -1, -1};
  // A donor of warm state, and the age of the state that it sent.
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
  std::uint64_t since_ms = 0;  // time in this status
  std::uint8_t warmup_percent = 0, pressure_percent = 0;
  membership::RecoveryStatus recovery_status;
  std::vector<std::string> unheard_from;  // members whose datagrams don't reach this one directly
  std::vector<std::string> not_reaching;  // members that this one's datagrams don't reach directly
};
// View of one process, or a part of it: as many members as fit into one datagram.
struct StatusReply {
  std::uint32_t nonce = 0;
  std::uint32_t next = 0;  // StatusQuery::from of the next part
  bool last = false;       // whether this part completes the view
  std::string cluster, name;
  membership::Incarnation incarnation = 0;
  membership::Stage stage{};
  membership::LocalConnectivity local_connectivity{};
  bool has_quorum = false, uncertain = false;
  std::uint32_t fleet_size = 0;
  std::vector<MemberStatusLine> members;
  std::optional<RecoveryReport> recovery_report;
};

// Returns the payload of one UDP datagram.
std::string encode(const membership::Datagram& datagram, std::string_view cluster);
std::string encode(const StatusQuery& query);
std::string encode(const StatusReply& reply);
using Decoded = std::variant<DecodeError, membership::Datagram, StatusQuery, StatusReply>;
// Decodes the payload of one UDP datagram. Accepts member datagrams of `cluster` only; status queries and
// replies carry no cluster.
Decoded decode(std::string_view bytes, std::string_view cluster);

// Returns `bytes` with a recomputed checksum. For tests that modify an encoded message.
std::string reseal(std::string bytes);

// Returns the address as text, such as "127.0.0.1:9101" or "[::1]:9101".
std::string text_of(const membership::Address& address);
membership::Address address_of(const boost::asio::ip::address& ip, std::uint16_t port);

}  // namespace granitegap::membership_udp
