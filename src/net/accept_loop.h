// What the doors between members have in common: connections are taken one after the other, and counted while
// they are served.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <functional>

namespace granitegap::net {

// Counts one while it lives, however that ends: guards against a door that an exception closes for good.
class ScopedCount {
 public:
  explicit ScopedCount(std::size_t& count) : count_(count) { ++count_; }
  ~ScopedCount() { --count_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::size_t& count_;
};

// Until `closed`, which whoever closes the door has set by then. `take` drops a connection by not keeping it.
using ConnectionHandler =
    std::function<void(boost::asio::ip::tcp::socket, const boost::asio::ip::address& from)>;
inline boost::asio::awaitable<void> accept_connections(boost::asio::ip::tcp::acceptor& door,
                                                       const bool& closed, ConnectionHandler take) {
  namespace asio = boost::asio;
  while (!closed) {
    boost::system::error_code error;
    auto socket = co_await door.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (closed) co_return;
    if (error) {  // as with no descriptor left: no reason to spin
      asio::steady_timer pause(door.get_executor(), std::chrono::milliseconds(50));
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    const auto from = socket.remote_endpoint(error);
    if (!error) take(std::move(socket), from.address());
  }
}

}  // namespace granitegap::net
