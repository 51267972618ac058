// The front end for client proxies: accepts connections, owns their actors, hands out answers.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>

#include "net/peer.h"

namespace granitegap::net {

class Listener {
 public:
  // `sockets`: the descriptors the whole process may hold. `inherited`: a listening socket that others hold
  // too; it is taken in place of a bind at `at`, closed here and never shut down.
  Listener(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& at,
           std::size_t sockets, const edge::NameRegistry& catalog, Mailbox<edge::Input>& module, Logger& log,
           std::optional<int> inherited = {});
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> mind_peers();  // what a connection must not keep for long
  boost::asio::ip::tcp::endpoint local() const { return acceptor_.local_endpoint(); }

  void deliver(const edge::ReplyAddress& to, Outgoing message);
  void close_idle(Duration idle_for);
  // Nothing new comes in any more: what waits in the backlog is taken, the door closed, every peer told.
  void close_door();
  // No answer is owed or on its way out, and nothing has come that was not heard yet.
  bool at_rest() const;
  // As close_door, but what waits in the backlog is left to another process that holds the socket too.
  void leave_door();
  bool empty() const { return peers_.empty(); }
  // Ends every connection, none by a reset.
  void close_all();

 private:
  void start_peer(boost::asio::ip::tcp::socket socket);
  bool make_room();
  void tell_all();
  void admit(boost::asio::ip::tcp::socket socket);
  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_, look_;
  std::size_t max_peers_;
  const edge::NameRegistry& catalog_;
  Mailbox<edge::Input>& module_;
  Logger& log_;
  std::map<edge::PeerId, std::shared_ptr<Peer>> peers_;
  std::optional<double> hint_;  // the newest that any answer carried
  std::uint64_t next_peer_ = 1;
  bool door_closed_ = false;
};

}  // namespace granitegap::net
