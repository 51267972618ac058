#include "standin/network.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace granitegap::standin {

namespace asio = boost::asio;
using boost::system::error_code;

Network::Network(asio::io_context& io, std::uint64_t seed)
    : io_(io), fault_injector_(seed), damage_(seed ^ 0x5bd1e995u) {}

Duration Network::elapsed() const {
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - began_);
}

Network::Udp::endpoint Network::add(const std::string& name, const Udp::endpoint& bound) {
  auto place = std::make_unique<Place>(Place{name, bound, Udp::socket(io_), {}, {}});
  place->socket.open(bound.protocol());
  place->socket.bind({bound.address(), 0});
  place->socket.non_blocking(true);
  error_code ignored;
  place->socket.set_option(asio::socket_base::receive_buffer_size(1 << 20), ignored);
  const auto advertised = place->socket.local_endpoint();
  bound_[bound] = name;
  asio::co_spawn(io_, receive(*place), asio::detached);
  places_[name] = std::move(place);
  return advertised;
}

asio::awaitable<void> Network::receive(Place& to) {
  for (;;) {
    error_code error;
    const auto bytes = co_await to.socket.async_receive_from(
        asio::buffer(to.buffer), to.from, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted || !to.socket.is_open()) co_return;
    if (error) continue;
    const auto from = bound_.find(to.from);
    if (from == bound_.end()) {
      ++foreign_;
      continue;
    }
    pass(from->second, to, std::string(to.buffer.data(), bytes));
  }
}

void Network::pass(const std::string& from, Place& to, std::string bytes) {
  if (tap) tap(from, to.name, bytes);
  const auto fate = fault_injector_.fate(from, to.name, bytes.size(), elapsed());
  if (fate.corrupt && !bytes.empty())
    for (int k = 0; k < 3; ++k) bytes[damage_() % bytes.size()] ^= char(1 + damage_() % 255);
  for (const auto after : fate.arrives) {
    if (after.count() == 0) {
      out(from, to, bytes);
      continue;
    }
    auto timer = std::make_shared<asio::steady_timer>(io_, after);
    timer->async_wait([this, timer, from, &to, bytes](const error_code& error) {
      if (!error) out(from, to, bytes);
    });
  }
}

void Network::out(const std::string& from, Place& to, const std::string& bytes) {
  const auto sender = places_.find(from);
  if (sender == places_.end()) return;
  error_code lost;  // a full buffer loses it
  sender->second->socket.send_to(asio::buffer(bytes), to.bound, 0, lost);
}

void Network::inject(const std::string& from, const std::string& to, std::string bytes) {
  const auto place = places_.find(to);
  if (place != places_.end()) out(from, *place->second, bytes);
}

}  // namespace granitegap::standin
