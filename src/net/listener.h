// The listener for client proxies: accepts connections, owns them, and hands out answers.
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

// What happens to connections that still wait in the kernel's accept queue when a listener starts to drain.
enum class BacklogPolicy : std::uint8_t {
  accept,  // accepted first: closing the socket over them would reset them
  leave,   // left to another process that holds the same listening socket
};

// All members are to be used on the executor's thread. The constructor throws boost::system::system_error if
// the address can't be bound; later errors are logged.
class Listener {
 public:
  // `max_descriptors`: what the whole process may hold; connections get what the rest of it does not need.
  // `names`, `inputs` and `log` must outlive the listener. `inherited`: a listening socket that other
  // processes hold too, taken in place of a bind to `address`; it is closed here and never shut down.
  Listener(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& address,
           std::size_t max_descriptors, const edge::NameRegistry& names, Mailbox<edge::Input>& inputs,
           Logger& log, FileDescriptor inherited = {});

  // Accepts connections until the listener drains.
  boost::asio::awaitable<void> run();
  // Has connections end what exceeds its time, ten times a second. Does not return.
  boost::asio::awaitable<void> enforce_timeouts();

  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  // Sends a message to the connection that `to` names; dropped if that is over.
  void deliver(const edge::ReplyAddress& to, OutgoingMessage message);

  // Closes connections that were idle for at least that long.
  void close_idle_connections(Duration idle_for);

  // Stops accepting, closes the listening socket and sends every client a GOAWAY. Does nothing the second
  // time.
  void start_draining(BacklogPolicy backlog);

  // No answer is owed or being sent, and no received byte is waiting to be handled.
  bool is_quiescent() const;

  bool empty() const { return connections_.empty(); }

  // Ends every connection, none by a reset.
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
  std::optional<double> load_hint_;  // the newest that any answer carried
  std::uint64_t next_id_ = 1;
  bool draining_ = false;
};

}  // namespace granitegap::net
