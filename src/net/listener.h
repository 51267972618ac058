// The front end for client proxies: accepts connections, owns their actors, hands out answers.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

#include "net/client_connection.h"

namespace granitegap::net {

// What happens to connections that still wait in the kernel's accept queue when a listener starts to drain.
enum class BacklogPolicy : std::uint8_t {
  accept,  // accepted first: closing the socket over them would reset them
  leave,   // left to another process that holds the same listening socket
};

class Listener {
 public:
  // `sockets`: the descriptors the whole process may hold. `inherited`: a listening socket that others hold
  // too; it is taken in place of a bind at `at`, closed here and never shut down.
  Listener(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& at,
           std::size_t sockets, const edge::NameRegistry& catalog, Mailbox<edge::Input>& module, Logger& log,
           std::optional<int> inherited = {});
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> enforce_timeouts();  // what a connection must not keep for long
  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  void deliver(const edge::Origin& to, OutgoingMessage message);
  void close_idle_connections(Duration idle_for);
  // Stops accepting, closes the listening socket and sends every client a GOAWAY. Does nothing the second
  // time.
  void start_draining(BacklogPolicy backlog);
  // True while no answer is owed or being sent and no received byte is waiting to be parsed.
  bool is_quiescent() const;
  bool empty() const { return peers_.empty(); }
  // Ends every connection, none by a reset.
  void close_all();

 private:
  void start_connection(boost::asio::ip::tcp::socket socket);
  bool evict_connection();
  void accept_backlog();
  void announce_shutdown();
  void admit(boost::asio::ip::tcp::socket socket);
  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_, look_;
  std::size_t max_peers_;
  const edge::NameRegistry& catalog_;
  Mailbox<edge::Input>& module_;
  Logger& log_;
  std::map<edge::PeerId, std::shared_ptr<ClientConnection>> peers_;
  std::optional<double> hint_;  // the newest that any answer carried
  std::uint64_t next_peer_ = 1;
  bool door_closed_ = false;
};

}  // namespace granitegap::net
