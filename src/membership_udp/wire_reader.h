// Decoding half of the codec, private to it: converts protobuf messages to values of the membership protocol.
//
// Every field is checked against its bounds. One field out of bounds invalidates the whole message: valid()
// then returns false, and the values read must not be used.
#pragma once
#include "membership.pb.h"
#include "membership_udp/codec.h"

namespace granitegap::membership_udp {

// Converts one message and records whether its fields are within their bounds.
class WireReader {
 public:
  // Returns whether all fields read so far are within their bounds.
  bool valid() const { return valid_; }

  membership::Datagram read_datagram(const membership::wire::Packet& packet);
  StatusReply read(const membership::wire::StatusReply& reply);

 private:
  void require(bool condition) { valid_ = valid_ && condition; }
  std::uint8_t percent(std::uint32_t value);
  std::uint16_t port(std::uint32_t value);
  template <class Enum>
  Enum enumerator(std::uint32_t value, Enum last) {
    require(value <= std::uint32_t(last));
    return Enum(value);
  }
  // Reads printable ASCII without spaces, of at most `max_bytes`.
  std::string text(const std::string& value, std::size_t max_bytes);
  std::string name(const std::string& value);
  std::string optional_name(const std::string& value);
  membership::Incarnation incarnation(std::uint64_t value);

  membership::Address read(const membership::wire::Address& address);
  membership::RecoveryStatus read(const membership::wire::RecoveryStatus& status);
  membership::MemberMetadata read(const membership::wire::MemberMetadata& metadata);
  membership::Record read(const membership::wire::Record& record);
  membership::Sender read(const membership::wire::Sender& sender);
  membership::SyncRequest read(const membership::wire::SyncRequest& request);
  membership::SyncChunk read(const membership::wire::SyncChunk& chunk);
  membership::Body read_body(const membership::wire::Packet& packet);
  MemberStatusLine read(const membership::wire::MemberStatusLine& member);
  RecoveryReport read(const membership::wire::RecoveryReport& report);

  bool valid_ = true;
};

}  // namespace granitegap::membership_udp
