// One client proxy's connection: an actor with a mailbox of what is to be written.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "edge/types.h"
#include "frames/frames.h"
#include "log/logger.h"
#include "mailbox/mailbox.h"

namespace granitegap::net {

struct StreamError {  // belongs to no request; the connection ends after it
  std::string why;
};
struct GoAway {};
using Outgoing = std::variant<edge::Answer, edge::HealthAnswer, StreamError, GoAway>;

class Peer : public std::enable_shared_from_this<Peer> {
 public:
  using Clock = std::chrono::steady_clock;
  Peer(boost::asio::ip::tcp::socket socket, edge::PeerId id, const edge::Catalog& catalog,
       Mailbox<edge::Input>& module, Logger& log);

  boost::asio::awaitable<void> run();  // until the connection is over
  void deliver(Outgoing message);
  void close();

  bool idle() const { return open_.empty() && outbox_.empty() && unsent_ == 0; }
  Clock::time_point last_used() const { return last_used_; }

 private:
  boost::asio::awaitable<void> read();
  boost::asio::awaitable<void> write();
  boost::asio::awaitable<void> linger();
  boost::asio::awaitable<void> wait_for_room();
  bool take(frames::Message message);
  void turn_away(std::uint32_t stream);
  bool crowded() const;
  void finish();

  boost::asio::ip::tcp::socket socket_;
  edge::PeerId id_;
  frames::Reader reader_;
  Mailbox<edge::Input>& module_;
  Logger& log_;
  Mailbox<Outgoing> outbox_;
  boost::asio::steady_timer room_;
  std::set<std::uint32_t> open_;  // streams that wait for an answer
  std::size_t unsent_ = 0;        // bytes handed to the socket and not taken yet
  bool finishing_ = false;        // nothing more is read; what is open is answered first
  Clock::time_point last_used_ = Clock::now();
};

}  // namespace granitegap::net
