// Where other members ask for what this one fills for the fleet: HTTP/1.1, GET, one question at a time on a
// connection, only for whoever may ask. A question goes to the module's mailbox, its answer comes back under
// its tag. docs/recovery.md tells why it is a call like any other to the one who asks.
//
// Bounds: connections (kMaxConnections), bytes of a question (4 KiB), silence (kIdle), and the time that a
// question names, of which a fifth more passes before it is answered with 503.
#pragma once
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>

#include "edge/types.h"
#include "log/logger.h"

namespace granitegap::cache_fill_http {

class CacheFillServer {
 public:
  static constexpr std::size_t kMaxConnections = 32;
  struct Hooks {  // called on the io thread
    std::function<bool(const boost::asio::ip::address&)> may_ask;
    std::function<bool(edge::CacheFillQuery)> ask;  // false: there is no room for it
  };
  // Throws boost::system::system_error where it can't be opened.
  CacheFillServer(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& at,
                  Logger& log);
  void start(membership::BootId boot_id, Hooks hooks);
  std::uint16_t port() const { return door_.local_endpoint().port(); }
  boost::asio::awaitable<void> serve();
  void reply(edge::CacheFillReply answer);
  void close();

 private:
  using Tcp = boost::asio::ip::tcp;
  struct Waiting;
  boost::asio::awaitable<void> converse(Tcp::socket socket);

  boost::asio::any_io_executor executor_;
  Logger& log_;
  Tcp::acceptor door_;
  membership::BootId boot_id_{};
  Hooks hooks_;
  std::map<std::uint64_t, std::shared_ptr<Waiting>> waiting_;  // by tag
  std::uint64_t next_ = 1;
  std::size_t connections_ = 0;
  bool closed_ = false;
};

}  // namespace granitegap::cache_fill_http
