// One client proxy's connection: an actor that reads requests into the edge's mailbox and writes what is
// delivered to its own.
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

// Owned by shared_ptr: by its listener, and by run() while that goes on. All members are to be used on the
// socket's executor. Errors of the socket end the connection; no member throws.
//
// A connection ends in order: reading stops, what is owed is written, the sending side is shut down, and what
// the client still sends is discarded until it closes its side. Closing earlier, over bytes that were not
// read, would send a reset, which takes from the client answers that it has not read yet.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Clock = std::chrono::steady_clock;

  // `names`, `inputs`, to which requests go, and `log` must outlive the connection, as must `load_hint`: the
  // newest that any answer carried, sent with answers that are made here.
  ClientConnection(boost::asio::ip::tcp::socket socket, edge::PeerId id, const edge::NameRegistry& names,
                   Mailbox<edge::Input>& inputs, const std::optional<double>& load_hint, Logger& log);

  // Serves the connection until it is over.
  boost::asio::awaitable<void> run();

  // Queues a message. A client that does not read, and for which too many messages wait, is disconnected.
  void deliver(OutgoingMessage message);

  // Closes the connection at once, after discarding what lies unread in the socket.
  void close();

  // Ends what holds a descriptor to no purpose: a connection on which no message came, a message that does
  // not end, a client that does not read its answers. To be called a few times a second.
  void enforce_timeouts(Clock::time_point now);

  bool is_open() const { return socket_.is_open(); }
  // A complete message has come, be it a malformed one.
  bool received_message() const { return received_message_; }
  // Everything is sent, and what still comes is discarded.
  bool is_lingering() const { return lingering_; }
  // Part of a message has come.
  bool has_partial_message() const { return decoder_.in_frame(); }
  // Bytes lie in the socket that have not been read.
  bool has_unread_bytes() const;
  // No answer is owed, and none is waiting or being written.
  bool is_idle() const { return open_streams_.empty() && outbox_.empty() && unsent_bytes_ == 0; }
  bool has_pending_health_check() const { return pending_health_checks_ > 0; }
  // All that has come is handled, so that closing now loses no request.
  bool has_read_everything() const { return lingering_ || (!decoder_.in_frame() && !has_unread_bytes()); }
  Clock::time_point opened_at() const { return opened_at_; }
  // The last read or write.
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

  // Each returns whether the connection goes on reading.
  bool handle(edge::Request& request);
  bool handle(edge::HealthCheck& check);
  bool handle(frames::MalformedRequest& request);
  bool handle(frames::ProtocolError& error);

  bool claim_stream(std::uint32_t stream);
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
  boost::asio::steady_timer write_progress_;  // never expires: cancelled to wake the reader
  std::set<std::uint32_t> open_streams_;      // on which a request waits for its answer
  std::size_t pending_health_checks_ = 0;
  std::size_t unsent_bytes_ = 0;  // handed to the socket and not taken yet
  bool reading_done_ = false;     // nothing more is read; what is owed is written first
  bool received_message_ = false;
  bool lingering_ = false;
  int malformed_in_a_row_ = 0;
  frames::StreamIdTracker stream_ids_;
  Clock::time_point opened_at_ = Clock::now();
  Clock::time_point last_active_ = opened_at_;
  Clock::time_point message_progress_at_ = opened_at_;  // a message ended, or the present one began
  Clock::time_point write_started_at_ = opened_at_;
};

}  // namespace granitegap::net
