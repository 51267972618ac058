// The admin listener: an address of its own, on which operators and the platform send commands. One command
// line a connection, one reply line back.
//
// A reply is made from the process's state at once, never through a queue or the kernel, so that load does
// not delay it. Everything runs on the io thread of `executor`.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "admin/codec.h"
#include "log/logger.h"

namespace granitegap::admin {

class AdminServer {
 public:
  // Called on the io thread; must not block.
  using CommandHandler = std::function<Reply(Command)>;

  // Throws boost::system::system_error where the address can't be bound. `log` must outlive the server.
  AdminServer(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& at,
              CommandHandler handler, Logger& log);
  // Accepts connections until close().
  boost::asio::awaitable<void> serve();
  [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
  // Stops accepting; open connections are served to their end.
  void close();

  // At the limit a new connection replaces the oldest one, so that idle callers can't block the listener.
  static constexpr std::size_t kMaxConnections = 16;
  // The file descriptors to be reserved: of the connections, the listener, and a connection just accepted.
  static constexpr std::size_t kDescriptors = kMaxConnections + 2;

 private:
  class Connection;

  void accept(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<void> serve_connection(std::shared_ptr<Connection> connection);
  Reply reply_to(const CommandResult& result);

  boost::asio::ip::tcp::acceptor acceptor_;
  CommandHandler handler_;
  Logger& log_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
  bool closed_ = false;
};

}  // namespace granitegap::admin
