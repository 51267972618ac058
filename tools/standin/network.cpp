#include "standin/network.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace granitegap::standin {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int kReceiveBufferBytes = 1 << 20;
constexpr int kCorruptedBytes = 3;               // of a corrupted datagram
constexpr std::uint64_t kSeedMix = 0x5bd1e995u;  // keeps the draws apart from the fault injector's

}  // namespace

Network::Network(asio::io_context& io, std::uint64_t seed)
    : io_(io), fault_injector_(seed), corruption_random_(seed ^ kSeedMix) {}

Duration Network::elapsed() const {
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - began_);
}

Network::Udp::endpoint Network::add(const std::string& name, const Udp::endpoint& bound) {
  auto port = std::make_unique<Port>(Port{name, bound, Udp::socket(io_), {}, {}});
  port->socket.open(bound.protocol());
  port->socket.bind({bound.address(), 0});
  port->socket.non_blocking(true);
  error_code ignored;  // a smaller buffer only loses more
  port->socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  auto advertised = port->socket.local_endpoint();
  names_[bound] = name;
  asio::co_spawn(io_, receive(*port), asio::detached);
  ports_[name] = std::move(port);
  return advertised;
}

asio::awaitable<void> Network::receive(Port& to) {
  for (;;) {
    error_code error;
    const auto bytes = co_await to.socket.async_receive_from(
        asio::buffer(to.buffer), to.sender, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted || !to.socket.is_open()) co_return;
    if (error) continue;
    const auto from = names_.find(to.sender);
    if (from != names_.end()) relay(from->second, to, std::string(to.buffer.data(), bytes));
  }
}

void Network::relay(const std::string& from, Port& to, std::string bytes) {
  const auto delivery = fault_injector_.decide(from, to.name, bytes.size(), elapsed());
  if (delivery.corrupt) corrupt(bytes);
  for (const auto delay : delivery.delays) {
    if (delay.count() == 0)
      send(from, to, bytes);
    else
      send_later(delay, from, to, bytes);
  }
}

void Network::corrupt(std::string& bytes) {
  if (bytes.empty()) return;
  for (int k = 0; k < kCorruptedBytes; ++k) {
    const auto flipped_bits = char(1 + corruption_random_() % 255);
    auto& damaged = bytes[corruption_random_() % bytes.size()];
    damaged = char(damaged ^ flipped_bits);
  }
}

void Network::send_later(Duration delay, const std::string& from, Port& to, const std::string& bytes) {
  auto timer = std::make_shared<asio::steady_timer>(io_, delay);
  timer->async_wait([this, timer, from, &to, bytes](const error_code& error) {
    if (!error) send(from, to, bytes);
  });
}

void Network::send(const std::string& from, Port& to, const std::string& bytes) {
  const auto sender = ports_.find(from);
  if (sender == ports_.end()) return;
  error_code ignored;  // a full buffer loses the datagram
  sender->second->socket.send_to(asio::buffer(bytes), to.bound, 0, ignored);
}

void Network::inject(const std::string& from, const std::string& to, const std::string& bytes) {
  const auto port = ports_.find(to);
  if (port != ports_.end()) send(from, *port->second, bytes);
}

}  // namespace granitegap::standin
