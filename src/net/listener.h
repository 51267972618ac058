// The listener for client proxies: accepts and owns connections, and routes answers to them.
#pragma once
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "net/client_connection.h"
#include "net/file_descriptor.h"

namespace granitegap::net {

// What happens to connections in the operating system's accept queue when a listener starts to drain.
enum class BacklogPolicy : std::uint8_t {
  accept,  // accepted before the socket is closed: closing it would reset them
  leave,   // left in the queue for another process that holds the same listening socket
};

// Accepts connections up to a limit and evicts the least useful one to make room for a new one.
//
// All members must be called on the executor's thread. The constructor throws boost::system::system_error if
// the address cannot be bound; later errors are logged.
class Listener {
 public:
  // `max_descriptors` is the limit of the whole process, part of which is reserved for uses other than client
  // connections. `inherited` is a listening socket shared with other processes and used instead of binding
  // `address`; it is closed but never shut down. `names`, `inputs` and `log` must outlive the listener.
  Listener(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& address,
           std::size_t max_descriptors, const edge::NameRegistry& names, Mailbox<edge::Input>& inputs,
           Logger& log, FileDescriptor inherited = {});

  // Accepts connections until the listener starts to drain.
  boost::asio::awaitable<void> run();
  // Enforces the timeouts of all connections ten times a second. Does not return.
  boost::asio::awaitable<void> enforce_timeouts();

  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  // Sends a message to the connection identified by `to`. Drops the message if the connection has ended.
  void deliver(const edge::ReplyAddress& to, OutgoingMessage message);

  // Closes connections that have been idle for longer than `idle_for`.
  void close_idle_connections(Duration idle_for);

  // Stops accepting, closes the listening socket and sends each client a GOAWAY. Further calls have no
  // effect.
  void start_draining(BacklogPolicy backlog);

  // Whether no request awaits its answer, no answer is being sent, and all received bytes are handled.
  bool is_quiescent() const;

  bool empty() const { return connections_.empty(); }

  // Closes all connections, after discarding their unread bytes so that they are not reset.
  void close_all();

 private:
  void admit(boost::asio::ip::tcp::socket socket);
  void start_connection(boost::asio::ip::tcp::socket socket);
  bool evict_connection();
  void accept_backlog();

  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_;
  boost::asio::steady_timer timeout_check_;
  std::size_t max_connections_;
  const edge::NameRegistry& names_;
  Mailbox<edge::Input>& inputs_;
  Logger& log_;
  std::map<edge::PeerId, std::shared_ptr<ClientConnection>> connections_;
  std::optional<double> load_hint_;  // the newest hint that any answer carried
  std::uint64_t next_id_ = 1;
  bool draining_ = false;
};

}  // namespace granitegap::net
