// The datagrams of the membership protocol as values, and how large they may become on the wire.
#pragma once
#include <string>
#include <variant>
#include <vector>

#include "membership/types.h"

namespace granitegap::membership {

// In every datagram. `sent_ms` counts on the sender's steady clock from the start of its life: it tells a
// replayed or long delayed datagram from a new one without clocks that agree.
struct Sender {
  std::string name;
  Address address;  // where it is reached: what it advertises
  BootId boot_id{};
  Incarnation incarnation = 0;
  std::uint32_t sent_ms = 0;
  bool operator==(const Sender&) const = default;
};

// Are you there? `target` is empty where only an address is known; whoever else is there does not answer for
// it. `for_other`: on behalf of `asker`, to whom the answer is passed on.
struct Ping {
  std::uint32_t nonce = 0;
  std::string target;
  std::string origin;
  bool secondary_path = false;  // it came by the second path, and is answered by that
  bool operator==(const Ping&) const = default;
};
// `heard_ms`: since the answering one last heard the asker itself, without a relay; unknown: the most.
inline constexpr std::uint32_t kNeverHeard = 0xffffffffu;
struct Ack {
  std::uint32_t nonce = 0;
  std::uint32_t heard_ms = kNeverHeard;
  bool secondary_path = false;  // as the ping's
  bool operator==(const Ack&) const = default;
};
// PingRequest `target` for me.
struct PingRequest {
  std::uint32_t nonce = 0;
  std::string target;
  Address address;
  bool operator==(const PingRequest&) const = default;
};
// `target` answered whom I asked for you.
struct IndirectAck {
  std::uint32_t nonce = 0;
  std::string target;
  std::uint32_t heard_ms = kNeverHeard;
  bool operator==(const IndirectAck&) const = default;
};
// I have your PingRequest, and nothing from the target yet: says that the asker's own link works.
struct Nack {
  std::uint32_t nonce = 0;
  bool operator==(const Nack&) const = default;
};
// Give me what you hold otherwise than I do, by `sums`, a digest under this nonce (digest.h); all of it where
// there are none. Where `push` is set you get mine as well: the answer carries your digest.
struct SyncRequest {
  std::uint32_t nonce = 0;
  bool push = false;
  std::vector<std::uint32_t> sums;
  bool operator==(const SyncRequest&) const = default;
};
// A piece of a full exchange; its records are in the datagram's updates.
struct SyncChunk {
  std::uint32_t nonce = 0;
  std::uint16_t index = 0;
  bool last = false;
  bool operator==(const SyncChunk&) const = default;
};
// You live under my name. Names the life it is for, which only a process that lives beside it can know.
struct NameConflict {
  BootId to{};
  bool operator==(const NameConflict&) const = default;
};
// Only what the updates carry, as an orderly leave.
struct GossipOnly {
  bool operator==(const GossipOnly&) const = default;
};
using Body =
    std::variant<Ping, Ack, PingRequest, IndirectAck, Nack, SyncRequest, SyncChunk, NameConflict, GossipOnly>;

struct Datagram {
  Sender from;
  Body body;
  std::vector<Record> updates;
  std::uint16_t padding = 0;  // bytes: what is sent to a stranger may be no more than came from it
  bool operator==(const Datagram&) const = default;
};

inline constexpr std::size_t kMaxDatagram = 1200;  // bytes, with the envelope
// Upper bounds of what the codec makes of them, the envelope included: checked against it by a test.
std::size_t max_encoded_size(const Record& record);
std::size_t max_encoded_size(const Datagram& datagram);

}  // namespace granitegap::membership
