#include "membership_udp/codec.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

#include "membership_udp/wire_reader.h"
#include "membership_udp/wire_writer.h"

namespace granitegap::membership_udp {

using namespace membership;

namespace {

// Envelope: magic with the format version, checksum (least significant byte first), protobuf message.
constexpr std::string_view kMagic = "ggm1";
constexpr std::size_t kChecksumBytes = 8;
constexpr std::size_t kHeaderBytes = kMagic.size() + kChecksumBytes;

// Returns the XXH3 of the bytes after the header.
std::uint64_t compute_checksum(std::string_view bytes) {
  return XXH3_64bits(bytes.data() + kHeaderBytes, bytes.size() - kHeaderBytes);
}

std::uint64_t stored_checksum(std::string_view bytes) {
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < kChecksumBytes; ++i)
    sum |= std::uint64_t(std::uint8_t(bytes[kMagic.size() + i])) << (8 * i);
  return sum;
}

// Encodes `packet` and puts the envelope in front.
std::string seal(const wire::Packet& packet) {
  std::string bytes(kHeaderBytes, '\0');
  packet.AppendToString(&bytes);
  std::memcpy(bytes.data(), kMagic.data(), kMagic.size());
  return reseal(std::move(bytes));
}

}  // namespace

std::string reseal(std::string bytes) {
  const auto sum = compute_checksum(bytes);
  for (std::size_t i = 0; i < kChecksumBytes; ++i) bytes[kMagic.size() + i] = char(sum >> (8 * i));
  return bytes;
}

std::string encode(const Datagram& datagram, std::string_view cluster) {
  wire::Packet packet;
  packet.set_cluster(cluster.data(), cluster.size());
  write(datagram, packet);
  return seal(packet);
}

std::string encode(const StatusQuery& query) {
  wire::Packet packet;
  write(query, *packet.mutable_status_query());
  return seal(packet);
}

std::string encode(const StatusReply& reply) {
  wire::Packet packet;
  write(reply, *packet.mutable_status_reply());
  return seal(packet);
}

Decoded decode(std::string_view bytes, std::string_view cluster) {
  if (bytes.size() > kMaxDatagram) return DecodeError::oversized;
  if (bytes.size() < kHeaderBytes || !bytes.starts_with(kMagic)) return DecodeError::foreign;
  if (stored_checksum(bytes) != compute_checksum(bytes)) return DecodeError::checksum;
  wire::Packet packet;
  if (!packet.ParseFromArray(bytes.data() + kHeaderBytes, int(bytes.size() - kHeaderBytes)))
    return DecodeError::malformed;
  if (packet.has_status_query()) {
    const auto& query = packet.status_query();
    return StatusQuery{query.nonce(), query.from(), query.recovery_report()};
  }
  WireReader reader;
  if (packet.has_status_reply()) {
    auto reply = reader.read(packet.status_reply());
    if (!reader.valid()) return DecodeError::malformed;
    return reply;
  }
  if (packet.cluster() != cluster) return DecodeError::other_cluster;
  auto datagram = reader.read_datagram(packet);
  if (!reader.valid()) return DecodeError::malformed;
  return datagram;
}

std::string text_of(const Address& a) {
  namespace ip = boost::asio::ip;
  if (a.v6) return "[" + ip::address_v6(a.ip).to_string() + "]:" + std::to_string(a.port);
  const ip::address_v4::bytes_type octets{a.ip[0], a.ip[1], a.ip[2], a.ip[3]};
  return ip::address_v4(octets).to_string() + ":" + std::to_string(a.port);
}

Address address_of(const boost::asio::ip::address& ip, std::uint16_t port) {
  Address a;
  a.port = port;
  a.v6 = ip.is_v6();
  if (a.v6) {
    a.ip = ip.to_v6().to_bytes();
  } else {
    const auto octets = ip.to_v4().to_bytes();
    std::copy(octets.begin(), octets.end(), a.ip.begin());
  }
  return a;
}

const char* text_of(DecodeError error) {
  switch (error) {
    case DecodeError::oversized:
      return "oversized";
    case DecodeError::foreign:
      return "foreign";
    case DecodeError::checksum:
      return "checksum";
    case DecodeError::other_cluster:
      return "other_cluster";
    case DecodeError::malformed:
      return "malformed";
  }
  return "?";
}

}  // namespace granitegap::membership_udp
