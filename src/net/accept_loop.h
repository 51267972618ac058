// The accept loop of the listeners that serve other members and operators.
//
// Header-only. All functions run on the acceptor's executor.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <utility>

namespace granitegap::net {

// RAII increment of a connection count: adds one on construction and subtracts it on destruction, so that an
// exception cannot leave the count too high.
class ScopedCount {
 public:
  explicit ScopedCount(std::size_t& count) : count_(count) { ++count_; }
  ~ScopedCount() { --count_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::size_t& count_;
};

// Receives ownership of an accepted connection. The connection is closed when the handler drops the socket.
using ConnectionHandler =
    std::function<void(boost::asio::ip::tcp::socket socket, const boost::asio::ip::address& client)>;

// Delay before the next accept after one has failed, for example because the process has no file descriptor
// left.
inline constexpr std::chrono::milliseconds kAcceptRetryPause{50};

// Accepts connections and passes each to `handle` until `closed` is set. The code that sets `closed` must
// then close the acceptor, which wakes this coroutine. The acceptor and the flag must outlive the coroutine.
inline boost::asio::awaitable<void> accept_connections(boost::asio::ip::tcp::acceptor& acceptor,
                                                       const bool& closed, ConnectionHandler handle) {
  namespace asio = boost::asio;
  while (!closed) {
    boost::system::error_code error;
    auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (closed) co_return;
    if (error) {
      asio::steady_timer pause(acceptor.get_executor(), kAcceptRetryPause);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    const auto client = socket.remote_endpoint(error);
    if (!error) handle(std::move(socket), client.address());
  }
}

}  // namespace granitegap::net
