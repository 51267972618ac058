// Values of the membership protocol as protobuf messages: the writing half of the codec. Private to it.
#pragma once
#include "membership.pb.h"
#include "membership_udp/codec.h"

namespace granitegap::membership_udp {

void write(const membership::Datagram& datagram, membership::wire::Packet& to);
void write(const StatusQuery& query, membership::wire::StatusQuery& to);
void write(const StatusReply& reply, membership::wire::StatusReply& to);

}  // namespace granitegap::membership_udp
