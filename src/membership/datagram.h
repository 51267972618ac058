// Datagrams of the membership protocol as plain values, and upper bounds of their encoded size.
#pragma once
#include <string>
#include <variant>
#include <vector>

#include "membership/types.h"

namespace granitegap::membership {

// The sender's identity, part of every datagram. `sent_ms` is the time since the sender's process started, on
// its steady clock: receivers detect replayed and long delayed datagrams by it without synchronised clocks.
struct Sender {
  std::string name;
  Address address;  // the advertised one
  BootId boot_id{};
  Incarnation incarnation = 0;
  std::uint32_t sent_ms = 0;
  bool operator==(const Sender&) const = default;
};

// A probe (SWIM section 3.1). Only the member named `target` answers; the name is empty where only its
// address is known.
struct Ping {
  std::uint32_t nonce = 0;
  std::string target;
  std::string origin;           // the member that requested an indirect probe; empty in a direct one
  bool secondary_path = false;  // sent over the secondary network path, and answered over it
  bool operator==(const Ping&) const = default;
};
// Value of `heard_ms` where the answering member does not know the origin of the probe.
inline constexpr std::uint32_t kNeverHeard = 0xffffffffu;
// The answer to a Ping. `heard_ms` is the time since the answering member last received a datagram directly
// from the origin of the probe, or kNeverHeard.
struct Ack {
  std::uint32_t nonce = 0;
  std::uint32_t heard_ms = kNeverHeard;
  bool secondary_path = false;  // same as in the ping
  bool operator==(const Ack&) const = default;
};
// Requests an indirect probe of `target` ("ping-req" in SWIM section 3.1).
struct PingRequest {
  std::uint32_t nonce = 0;
  std::string target;
  Address address;
  bool operator==(const PingRequest&) const = default;
};
// Reports to the requester of a PingRequest that the target answered.
struct IndirectAck {
  std::uint32_t nonce = 0;
  std::string target;
  std::uint32_t heard_ms = kNeverHeard;
  bool operator==(const IndirectAck&) const = default;
};
// Reports to the requester of a PingRequest that the target has not answered yet. Its arrival shows that the
// requester's own link works (Lifeguard section IV-A).
struct Nack {
  std::uint32_t nonce = 0;
  bool operator==(const Nack&) const = default;
};
// Requests the records of the buckets that differ from `sums`, a digest with the nonce as its seed
// (digest.h); all records where `sums` is empty. With `push` the receiver also replies with its own digest,
// to get the requester's records.
struct SyncRequest {
  std::uint32_t nonce = 0;
  bool push = false;
  std::vector<std::uint32_t> sums;
  bool operator==(const SyncRequest&) const = default;
};
// One chunk of the answer to a SyncRequest; its records are the updates of the datagram.
struct SyncChunk {
  std::uint32_t nonce = 0;
  std::uint16_t index = 0;
  bool last = false;
  bool operator==(const SyncChunk&) const = default;
};
// Reports that another process runs under the sender's name. `to` is the boot id of that process: only a
// process that runs at the same time can know it.
struct NameConflict {
  BootId to{};
  bool operator==(const NameConflict&) const = default;
};
// A datagram without a message, sent for its updates only.
struct GossipOnly {
  bool operator==(const GossipOnly&) const = default;
};
using Body =
    std::variant<Ping, Ack, PingRequest, IndirectAck, Nack, SyncRequest, SyncChunk, NameConflict, GossipOnly>;

// One message with its sender and the updates piggybacked on it (SWIM section 4.1).
struct Datagram {
  Sender from;
  Body body;
  std::vector<Record> updates;
  // Bytes added so that the datagram may be answered at full length: the answer to an unverified peer may be
  // no larger than the datagram it sent.
  std::uint16_t padding = 0;
  bool operator==(const Datagram&) const = default;
};

inline constexpr std::size_t kMaxDatagram = 1200;  // bytes, envelope included
// Upper bounds of the encoded size in bytes; that of a datagram includes the envelope. A test checks them
// against the codec.
std::size_t max_encoded_size(const Record& record);
std::size_t max_encoded_size(const Datagram& datagram);

}  // namespace granitegap::membership
