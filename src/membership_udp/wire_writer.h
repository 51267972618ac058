// Encoding half of the codec, private to it: converts values of the membership protocol to protobuf messages.
#pragma once
#include "membership.pb.h"
#include "membership_udp/codec.h"

namespace granitegap::membership_udp {

void write(const membership::Datagram& datagram, membership::wire::Packet& to);
void write(const StatusQuery& query, membership::wire::StatusQuery& to);
void write(const StatusReply& reply, membership::wire::StatusReply& to);

}  // namespace granitegap::membership_udp
