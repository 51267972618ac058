// Loopback addresses and ports for the processes of a fleet that do not collide with those of other fleets.
//
// Errors: std::runtime_error if no port is free.
#pragma once
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>

namespace granitegap::fleet {

// A bound socket that keeps a free port until the process that it is for takes it. The port lies below the
// range of ephemeral ports, as a socket on all addresses with such a port would take it away on each.
boost::asio::ip::udp::socket reserve_port(boost::asio::io_context& io,
                                          const boost::asio::ip::address& address,
                                          std::size_t process_number);

// An IPv4 loopback address that depends on this process's id, so that other fleets use others.
boost::asio::ip::address loopback_address(std::size_t process_number);

}  // namespace granitegap::fleet
