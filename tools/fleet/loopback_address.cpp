#include "fleet/loopback_address.h"

#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace granitegap::fleet {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr unsigned kFirstPort = 12000, kPorts = 18000, kMaxRetries = 200;
constexpr unsigned kPidStride = 61, kRetryStride = 251;  // spread the ports of processes and retries

}  // namespace

udp::socket reserve_port(asio::io_context& io, const asio::ip::address& address, std::size_t process_number) {
  const auto start = unsigned(::getpid()) * kPidStride + unsigned(process_number);
  for (unsigned retry = 0;; ++retry) {
    udp::socket socket(io, address.is_v6() ? udp::v6() : udp::v4());
    const auto port = std::uint16_t(kFirstPort + (start + retry * kRetryStride) % kPorts);
    boost::system::error_code error;
    socket.bind({address, port}, error);
    if (!error) return socket;
    if (retry >= kMaxRetries) throw std::runtime_error("no free port for the fleet: " + error.message());
  }
}

asio::ip::address loopback_address(std::size_t process_number) {
  const auto pid = std::uint32_t(::getpid());
  return asio::ip::address_v4(
      {127, std::uint8_t(64 + pid % 128), std::uint8_t(pid / 128), std::uint8_t(1 + process_number % 250)});
}

}  // namespace granitegap::fleet
