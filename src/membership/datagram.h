// The datagrams of the membership protocol as values, and how large they may become on the wire.
#pragma once
#include <string>
#include <variant>
#include <vector>

#include "membership/types.h"

namespace granitegap::membership {

// In every datagram. `sent_ms` counts on the sender's steady clock from the start of its process: it tells a
// replayed or long delayed datagram from a new one without clocks that agree.
struct Sender {
  std::string name;
  Address address;  // advertised
  BootId boot_id{};
  Incarnation incarnation = 0;
  std::uint32_t sent_ms = 0;
  bool operator==(const Sender&) const = default;
};

// A probe (SWIM section 3.1). Only `target` answers; empty where only its address is known.
struct Ping {
  std::uint32_t nonce = 0;
  std::string target;
  std::string origin;           // of an indirect probe: the member that requested it; else empty
  bool secondary_path = false;  // sent by the secondary path, and answered by it
  bool operator==(const Ping&) const = default;
};
inline constexpr std::uint32_t kNeverHeard = 0xffffffffu;
// The answer to a Ping. `heard_ms`: since the answering member last heard the origin of the probe directly;
// kNeverHeard where it does not know it.
struct Ack {
  std::uint32_t nonce = 0;
  std::uint32_t heard_ms = kNeverHeard;
  bool secondary_path = false;  // as the ping's
  bool operator==(const Ack&) const = default;
};
// Requests an indirect probe of `target` ("ping-req" in SWIM section 3.1).
struct PingRequest {
  std::uint32_t nonce = 0;
  std::string target;
  Address address;
  bool operator==(const PingRequest&) const = default;
};
// The target of a PingRequest answered.
struct IndirectAck {
  std::uint32_t nonce = 0;
  std::string target;
  std::uint32_t heard_ms = kNeverHeard;
  bool operator==(const IndirectAck&) const = default;
};
// The target of a PingRequest did not answer yet: shows that the requester's own link works (Lifeguard
// section IV-A).
struct Nack {
  std::uint32_t nonce = 0;
  bool operator==(const Nack&) const = default;
};
// Requests the records that differ by `sums`, a digest under this nonce (digest.h); all records where it is
// empty. With `push` the answer carries the other side's digest, to get the records of the requester.
struct SyncRequest {
  std::uint32_t nonce = 0;
  bool push = false;
  std::vector<std::uint32_t> sums;
  bool operator==(const SyncRequest&) const = default;
};
// One chunk of the answer to a SyncRequest; its records are the datagram's updates.
struct SyncChunk {
  std::uint32_t nonce = 0;
  std::uint16_t index = 0;
  bool last = false;
  bool operator==(const SyncChunk&) const = default;
};
// Another process runs under the sender's name. `to` is that process, which only one that runs beside it can
// know.
struct NameConflict {
  BootId to{};
  bool operator==(const NameConflict&) const = default;
};
// Nothing but the updates.
struct GossipOnly {
  bool operator==(const GossipOnly&) const = default;
};
using Body =
    std::variant<Ping, Ack, PingRequest, IndirectAck, Nack, SyncRequest, SyncChunk, NameConflict, GossipOnly>;

// One message with its sender, and the updates that are piggybacked on it (SWIM section 4.1).
struct Datagram {
  Sender from;
  Body body;
  std::vector<Record> updates;
  std::uint16_t padding = 0;  // bytes: the answer to an unverified peer may have no more than came from it
  bool operator==(const Datagram&) const = default;
};

inline constexpr std::size_t kMaxDatagram = 1200;  // bytes, with the envelope
// Upper bounds of the encoded size in bytes, the envelope included; a test checks them against the codec.
std::size_t max_encoded_size(const Record& record);
std::size_t max_encoded_size(const Datagram& datagram);

}  // namespace granitegap::membership
