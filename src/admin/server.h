// The admin listener: accepts commands of operators and the platform on its own address. Each connection
// carries one command line and one reply line.
//
// The reply is computed synchronously by the command handler, without a queue or the kernel, so that load
// does not delay it. Everything runs on the io thread of `executor`.
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

  // Throws boost::system::system_error if the address cannot be bound. `log` must outlive the server.
  AdminServer(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& at,
              CommandHandler handler, Logger& log);
  // Accepts and serves connections until close().
  boost::asio::awaitable<void> serve();
  [[nodiscard]] boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
  // Stops accepting. Open connections are still served.
  void close();

  // Maximum number of open connections. Beyond it a new connection replaces the oldest one, so that idle
  // callers cannot block the listener.
  static constexpr std::size_t kMaxConnections = 16;
  // File descriptors to reserve: the connections, the listening socket, and one connection just accepted.
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
