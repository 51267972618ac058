// The connection of one client proxy: an actor that posts the requests it reads to the edge's mailbox and
// writes the messages delivered to its own mailbox.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "actor/mailbox.h"
#include "edge/types.h"
#include "frames/frame_decoder.h"
#include "frames/stream_id_tracker.h"
#include "log/logger.h"
#include "net/outgoing_message.h"

namespace granitegap::net {

// Owned by shared_ptr: by its listener, and by run() while it is running. All members must be called on the
// socket's executor. Socket errors end the connection; no member throws.
//
// An orderly close has these steps: reading stops, the outstanding answers are written, the sending side is
// shut down, and incoming bytes are discarded until the client closes its side. Closing the socket earlier,
// with unread bytes in its receive buffer, would send a TCP reset, which discards answers that the client has
// not read yet.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Clock = std::chrono::steady_clock;

  // `inputs` receives the requests. `load_hint` is the newest hint that any answer carried; it is sent with
  // the answers that the connection creates itself. `names`, `inputs`, `load_hint` and `log` must outlive the
  // connection.
  ClientConnection(boost::asio::ip::tcp::socket socket, edge::PeerId id, const edge::NameRegistry& names,
                   Mailbox<edge::Input>& inputs, const std::optional<double>& load_hint, Logger& log);

  // Serves the connection until it ends.
  boost::asio::awaitable<void> run();

  // Queues a message. Disconnects the client if too many messages are queued because it does not read.
  void deliver(OutgoingMessage message);

  // Closes the connection immediately, after discarding the unread bytes in the socket.
  void close();

  // Ends the connection if no first message arrived in time, if a message was not completed in time, or if
  // the client does not read its answers; each would otherwise hold a file descriptor indefinitely. To be
  // called a few times a second.
  void enforce_timeouts(Clock::time_point now);

  bool is_open() const { return socket_.is_open(); }
  // Whether a complete message, valid or malformed, has been received.
  bool received_message() const { return received_message_; }
  // Whether everything has been sent and incoming bytes are being discarded.
  bool is_lingering() const { return lingering_; }
  // Whether part of a message has been received, but not its end.
  bool has_partial_message() const { return decoder_.in_frame(); }
  // Whether the socket's receive buffer holds unread bytes.
  bool has_unread_bytes() const;
  // Whether no request awaits its answer and nothing is queued or being written.
  bool is_idle() const { return open_streams_.empty() && outbox_.empty() && unsent_bytes_ == 0; }
  bool has_pending_health_check() const { return pending_health_checks_ > 0; }
  // Whether all received bytes have been handled, so that closing now loses no request.
  bool has_read_everything() const { return lingering_ || (!decoder_.in_frame() && !has_unread_bytes()); }
  Clock::time_point opened_at() const { return opened_at_; }
  // Time of the last read or write.
  Clock::time_point last_active() const { return last_active_; }

 private:
  enum class ReadResult : std::uint8_t { received, nothing, end_of_stream, failed };

  boost::asio::awaitable<void> read();
  ReadResult read_available();
  void handle_messages();
  boost::asio::awaitable<void> write();
  std::string encode(const std::vector<OutgoingMessage>& messages);
  boost::asio::awaitable<void> linger();
  boost::asio::awaitable<void> wait_while_backpressured();

  // Each returns whether the connection continues to read.
  bool handle(edge::Request& request);
  bool handle(edge::HealthCheck& check);
  bool handle(frames::MalformedRequest& request);
  bool handle(frames::ProtocolError& error);

  bool reserve_stream(std::uint32_t stream);
  void reject_request(std::uint32_t stream);
  void fail_connection(ConnectionError error);
  bool is_backpressured() const;
  void discard_unread_bytes();
  void stop_reading();

  boost::asio::ip::tcp::socket socket_;
  edge::PeerId id_;
  frames::FrameDecoder decoder_;
  Mailbox<edge::Input>& inputs_;
  const std::optional<double>& load_hint_;
  Logger& log_;
  Mailbox<OutgoingMessage> outbox_;
  boost::asio::steady_timer write_progress_;  // never expires; cancelled to wake the reader
  std::set<std::uint32_t> open_streams_;      // streams whose request awaits its answer
  std::size_t pending_health_checks_ = 0;
  std::size_t unsent_bytes_ = 0;  // size of the write in progress
  bool reading_done_ = false;     // no more input is read; outstanding answers are still written
  bool received_message_ = false;
  bool lingering_ = false;
  int malformed_in_a_row_ = 0;
  frames::StreamIdTracker stream_ids_;
  Clock::time_point opened_at_ = Clock::now();
  Clock::time_point last_active_ = opened_at_;
  // When the last message ended or the current one began.
  Clock::time_point message_progress_at_ = opened_at_;
  Clock::time_point write_started_at_ = opened_at_;
};

}  // namespace granitegap::net
