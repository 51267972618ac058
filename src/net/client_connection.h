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

struct ConnectionError {  // belongs to no request; the connection ends after it
  std::string why;
};
struct GoAway {};
using OutgoingMessage = std::variant<edge::Answer, edge::HealthAnswer, ConnectionError, GoAway>;

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Clock = std::chrono::steady_clock;
  ClientConnection(boost::asio::ip::tcp::socket socket, edge::PeerId id, const edge::NameRegistry& catalog,
                   Mailbox<edge::Input>& module, const std::optional<double>& load_hint, Logger& log);

  boost::asio::awaitable<void> run();  // until the connection is over
  void deliver(OutgoingMessage message);
  void close();
  // Ends what keeps a descriptor and is nobody's: connections that never brought a whole message, messages
  // that don't end, answers that are not read.
  void enforce_timeouts(Clock::time_point now);

  bool is_open() const { return socket_.is_open(); }
  bool received_message() const { return received_message_; }
  bool is_lingering() const { return lingering_; }
  bool has_partial_message() const { return decoder_.in_frame(); }  // part of one has come
  bool has_unread_bytes() const;                                    // bytes lie in the socket
  Clock::time_point opened_at() const { return opened_at_; }
  // No answer is owed and none is on its way out.
  bool is_idle() const { return open_streams_.empty() && outbox_.empty() && unsent_bytes_ == 0; }
  bool has_pending_health_check() const { return pending_health_checks_ > 0; }
  // Nothing has come that was not heard yet, be it a part of a message: closing it cuts no one off.
  bool has_read_everything() const { return lingering_ || (!decoder_.in_frame() && !has_unread_bytes()); }
  Clock::time_point last_active() const { return last_active_; }

 private:
  boost::asio::awaitable<void> read();
  boost::asio::awaitable<void> write();
  boost::asio::awaitable<void> linger();
  boost::asio::awaitable<void> wait_for_write_progress();
  bool handle_message(frames::Message message);
  bool claim_stream(std::uint32_t stream);
  bool fail_connection(std::string why);
  void reject_malformed(std::uint32_t stream);
  bool is_backpressured() const;
  void discard_unread();
  void stop_reading();

  boost::asio::ip::tcp::socket socket_;
  edge::PeerId id_;
  frames::FrameDecoder decoder_;
  Mailbox<edge::Input>& module_;
  const std::optional<double>& load_hint_;  // the newest that any answer carried
  Logger& log_;
  Mailbox<OutgoingMessage> outbox_;
  boost::asio::steady_timer write_progress_;
  std::set<std::uint32_t> open_streams_;   // streams that wait for an answer
  std::size_t pending_health_checks_ = 0;  // health checks that wait for theirs
  std::size_t unsent_bytes_ = 0;           // bytes handed to the socket and not taken yet
  bool reading_done_ = false;              // nothing more is read; what is open is answered first
  bool received_message_ = false;          // a whole message came, be it a bad one
  bool lingering_ = false;                 // all is sent, and what still comes is thrown away
  int consecutive_malformed_ = 0;
  frames::StreamIdTracker stream_ids_;
  Clock::time_point opened_at_ = Clock::now(), last_active_ = opened_at_;
  Clock::time_point last_message_at_ = opened_at_,
                    write_started_at_ = opened_at_;  // the last whole message; the present write
};

}  // namespace granitegap::net
