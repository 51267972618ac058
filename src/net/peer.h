// One client proxy's connection: an actor with a mailbox of what is to be written.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "actor/mailbox.h"
#include "edge/types.h"
#include "frames/frames.h"
#include "log/logger.h"

namespace granitegap::net {

struct StreamError {  // belongs to no request; the connection ends after it
  std::string why;
};
struct GoAway {};
using Outgoing = std::variant<edge::Response, edge::HealthResponse, StreamError, GoAway>;

class Peer : public std::enable_shared_from_this<Peer> {
 public:
  using Clock = std::chrono::steady_clock;
  Peer(boost::asio::ip::tcp::socket socket, edge::PeerId id, const edge::NameRegistry& catalog,
       Mailbox<edge::Input>& module, const std::optional<double>& hint, Logger& log);

  boost::asio::awaitable<void> run();  // until the connection is over
  void deliver(Outgoing message);
  void close();
  // Ends what keeps a descriptor and is nobody's: connections that never brought a whole message, messages
  // that don't end, answers that are not read.
  void mind(Clock::time_point now);

  bool is_open() const { return socket_.is_open(); }
  bool spoke() const { return spoke_; }
  bool lingering() const { return lingering_; }
  bool in_message() const { return reader_.in_frame(); }  // part of one has come
  bool unread() const;                                    // bytes lie in the socket
  Clock::time_point born() const { return born_; }
  // No answer is owed and none is on its way out.
  bool idle() const { return open_.empty() && outbox_.empty() && unsent_ == 0; }
  bool awaits_check() const { return checks_ > 0; }
  // Nothing has come that was not heard yet, be it a part of a message: closing it cuts no one off.
  bool heard_out() const { return lingering_ || (!reader_.in_frame() && !unread()); }
  Clock::time_point last_used() const { return last_used_; }

 private:
  boost::asio::awaitable<void> read();
  boost::asio::awaitable<void> write();
  boost::asio::awaitable<void> linger();
  boost::asio::awaitable<void> wait_for_room();
  bool take(frames::Message message);
  bool claim(std::uint32_t stream);
  bool fault(std::string why);
  void turn_away(std::uint32_t stream);
  bool crowded() const;
  void discard_unread();
  void finish();

  boost::asio::ip::tcp::socket socket_;
  edge::PeerId id_;
  frames::Reader reader_;
  Mailbox<edge::Input>& module_;
  const std::optional<double>& hint_;  // the newest that any answer carried
  Logger& log_;
  Mailbox<Outgoing> outbox_;
  boost::asio::steady_timer room_;
  std::set<std::uint32_t> open_;  // streams that wait for an answer
  std::size_t checks_ = 0;        // health checks that wait for theirs
  std::size_t unsent_ = 0;        // bytes handed to the socket and not taken yet
  bool finishing_ = false;        // nothing more is read; what is open is answered first
  bool spoke_ = false;            // a whole message came, be it a bad one
  bool lingering_ = false;        // all is sent, and what still comes is thrown away
  int bad_in_a_row_ = 0;
  frames::UsedStreams used_;
  Clock::time_point born_ = Clock::now(), last_used_ = born_;
  Clock::time_point heard_ = born_, sending_since_ = born_;  // the last whole message; the present write
};

}  // namespace granitegap::net
