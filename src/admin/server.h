// The operators' door: an address of its own, one line a connection, one line back. What it answers it asks
// of the process itself, never of a queue or the kernel, so that load holds up no answer.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>

#include "admin/codec.h"
#include "log/logger.h"

namespace granitegap::admin {

class AdminServer {
 public:
  // Called on the loop's thread; answers at once.
  using Answer = std::function<Reply(Call)>;
  // Throws boost::system::system_error where the address can't be bound.
  AdminServer(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& at,
              Answer answer, Logger& log);
  boost::asio::awaitable<void> serve();
  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }
  void close();

  // The descriptors that are kept free for it. One more caller takes the place of the one that has said
  // nothing for longest.
  static constexpr std::size_t kMaxConnections = 16;
  static constexpr std::size_t kDescriptors = kMaxConnections + 2;

 private:
  struct Connection;
  boost::asio::awaitable<void> talk(std::shared_ptr<Connection> with);
  boost::asio::ip::tcp::acceptor acceptor_;
  Answer answer_;
  Logger& log_;
  std::list<std::shared_ptr<Connection>> open_;  // oldest first
  bool closed_ = false;
};

}  // namespace granitegap::admin
