#include "net/client_connection.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <utility>

#include "common/overloaded.h"
#include "frames/frame_encoder.h"

namespace granitegap::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMaxQueuedMessages = 1024;
// Reading pauses while more than either of these is waiting to be written.
constexpr std::size_t kBackpressureMessages = 64;
constexpr std::size_t kBackpressureBytes = 16384;

constexpr auto kWriteTimeout = std::chrono::seconds(30);
constexpr auto kLingerTimeout = std::chrono::seconds(3);
// A client that sends nothing must be disconnected within 3 s; this leaves a wide margin.
constexpr auto kFirstMessageTimeout = std::chrono::milliseconds(1500);
constexpr auto kMessageTimeout = std::chrono::milliseconds(2500);

constexpr int kMaxMalformedInARow = int(frames::kMaxOpenRequests);
constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kDiscardBytes = 1 << 20;  // maximum per recv call
constexpr int kMaxDiscardCalls = 16;            // per close; a client that sends more gets a TCP reset

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

// Discards bytes from the socket's receive buffer without copying them. Returns the result of ::recv.
ssize_t discard(tcp::socket& socket) {
  return ::recv(socket.native_handle(), nullptr, kDiscardBytes, MSG_TRUNC | MSG_DONTWAIT);
}

}  // namespace

std::string ConnectionError::reason() const {
  switch (code) {
    case ConnectionErrorCode::protocol_error:
      return protocol_error.reason();
    case ConnectionErrorCode::stream_reused:
      return "stream used again";
    case ConnectionErrorCode::too_many_malformed_requests:
      return "too many bad requests";
    case ConnectionErrorCode::no_message:
      return "no message";
    case ConnectionErrorCode::unfinished_message:
      return "no end of a message";
  }
  return {};
}

ClientConnection::ClientConnection(tcp::socket socket, edge::PeerId id, const edge::NameRegistry& names,
                                   Mailbox<edge::Input>& inputs, const std::optional<double>& load_hint,
                                   Logger& log)
    : socket_(std::move(socket)),
      id_(id),
      decoder_(names, id),
      inputs_(inputs),
      load_hint_(load_hint),
      log_(log),
      outbox_(socket_.get_executor(), kMaxQueuedMessages),
      write_progress_(socket_.get_executor()) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

asio::awaitable<void> ClientConnection::run() {
  using namespace asio::experimental::awaitable_operators;
  try {
    co_await (read() && write());
    co_await linger();
  } catch (const std::exception& error) {
    log_.line("connection " + std::to_string(std::uint64_t(id_)) +
                  " failed with an exception, closing it: " + error.what(),
              {{"event", "connection_dropped"}, {"why", error.what()}});
  }
  close();
  if (!open_streams_.empty()) inputs_.post_control(edge::PeerDisconnected{id_});
}

void ClientConnection::close() {
  error_code ignored;
  if (socket_.is_open()) discard_unread_bytes();
  socket_.close(ignored);
  outbox_.close();
  write_progress_.cancel();
}

void ClientConnection::enforce_timeouts(Clock::time_point now) {
  if (!socket_.is_open()) return;
  if (unsent_bytes_ > 0 && now - write_started_at_ > kWriteTimeout) return close();
  // Unread bytes are read before a timeout applies: a process that was suspended or starved of CPU time must
  // not end connections whose messages arrived in time.
  if (reading_done_ || is_backpressured() || has_unread_bytes()) return;
  const bool partial = has_partial_message();
  // On a slow link the first message has the same time limit as any other, counted from the connection's
  // start.
  const auto message_began = received_message_ ? message_progress_at_ : opened_at_;
  const bool first_overdue = !received_message_ && !partial && now - opened_at_ > kFirstMessageTimeout;
  const bool end_overdue = partial && now - message_began > kMessageTimeout;
  if (!first_overdue && !end_overdue) return;
  fail_connection({partial ? ConnectionErrorCode::unfinished_message : ConnectionErrorCode::no_message, {}});
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_receive, ignored);  // wakes the reader
}

void ClientConnection::deliver(OutgoingMessage message) {
  // A client that sends malformed frames and never reads the errors must not make the queue grow without
  // bound.
  if (!outbox_.post(std::move(message)) && !outbox_.closed()) close();
}

void ClientConnection::stop_reading() {
  reading_done_ = true;
  if (is_idle()) outbox_.close();
}

bool ClientConnection::has_unread_bytes() const {
  error_code ignored;
  return socket_.is_open() && socket_.available(ignored) > 0;
}

void ClientConnection::discard_unread_bytes() {
  for (int calls = 0; calls < kMaxDiscardCalls; ++calls)
    if (discard(socket_) <= 0) return;
}

bool ClientConnection::is_backpressured() const {
  return unsent_bytes_ > kBackpressureBytes || outbox_.size() > kBackpressureMessages;
}

// Pauses reading from a client that does not read its answers. The queue of its answers stays bounded and
// does not delay other connections.
asio::awaitable<void> ClientConnection::wait_while_backpressured() {
  while (is_backpressured() && socket_.is_open()) {
    write_progress_.expires_at(Clock::time_point::max());
    error_code woken;
    co_await write_progress_.async_wait(into(woken));
  }
}

asio::awaitable<void> ClientConnection::read() {
  while (!reading_done_) {
    co_await wait_while_backpressured();
    error_code error;
    co_await socket_.async_wait(tcp::socket::wait_read, into(error));
    if (error || !socket_.is_open()) co_return close();
    const auto result = read_available();
    if (result == ReadResult::failed) co_return close();
    if (result == ReadResult::end_of_stream) break;  // outstanding answers are still written
  }
  stop_reading();
}

ClientConnection::ReadResult ClientConnection::read_available() {
  // Shared by all connections, because its content is consumed before this function returns; otherwise each
  // of hundreds of idle connections would hold a buffer. Its size bounds the work for one connection in one
  // iteration of the event loop.
  static std::array<char, kReadBytes> chunk;
  error_code error;
  const auto size = socket_.read_some(asio::buffer(chunk), error);
  if (error == asio::error::would_block || error == asio::error::try_again) return ReadResult::nothing;
  if (error == asio::error::eof) return ReadResult::end_of_stream;
  if (error) return ReadResult::failed;
  last_active_ = Clock::now();
  if (!decoder_.in_frame()) message_progress_at_ = last_active_;
  decoder_.add({chunk.data(), size});
  handle_messages();
  return ReadResult::received;
}

void ClientConnection::handle_messages() {
  while (auto message = decoder_.next()) {
    received_message_ = true;
    message_progress_at_ = last_active_;
    const bool continue_reading = std::visit([&](auto& content) { return handle(content); }, *message);
    if (!continue_reading) return;
  }
}

// Sends the error and stops reading. The connection ends once its open requests are answered.
void ClientConnection::fail_connection(ConnectionError error) {
  const auto reason = error.reason();
  log_.line("connection " + std::to_string(std::uint64_t(id_)) + ": error: " + reason +
                "; closing it once its open requests are answered",
            {{"event", "bad_connection"}, {"why", reason}});
  deliver(error);
  reading_done_ = true;
}

// Marks a stream identifier as used. If two requests had the same identifier, the client could take the
// answer to the first for the answer to the second. On reuse, a request that is still open on the stream is
// cancelled, the new one is not served, and the connection fails.
bool ClientConnection::reserve_stream(std::uint32_t stream) {
  if (stream_ids_.mark_used(stream)) return true;
  if (open_streams_.contains(stream)) inputs_.post_control(edge::RequestCancelled{{id_, stream}});
  fail_connection({ConnectionErrorCode::stream_reused, {}});
  return false;
}

bool ClientConnection::handle(edge::Request& request) {
  const auto stream = request.reply_to.stream;
  if (!reserve_stream(stream)) return false;
  malformed_in_a_row_ = 0;
  const bool under_limit = open_streams_.size() < frames::kMaxOpenRequests;
  open_streams_.insert(stream);
  if (!under_limit || !inputs_.post(std::move(request))) reject_request(stream);
  return true;
}

bool ClientConnection::handle(edge::HealthCheck& check) {
  ++pending_health_checks_;
  if (!inputs_.post(check)) deliver(edge::HealthResponse{check.reply_to, false, load_hint_});
  return true;
}

bool ClientConnection::handle(frames::MalformedRequest& request) {
  if (!reserve_stream(request.stream)) return false;
  const auto reason = request.reason();
  log_.line("connection " + std::to_string(std::uint64_t(id_)) + ": rejected malformed request on stream " +
                std::to_string(request.stream) + ": " + reason,
            {{"event", "bad_request"}, {"why", reason}});
  open_streams_.insert(request.stream);
  reject_request(request.stream);
  // A client that resends a malformed request whenever it is rejected would do so indefinitely.
  if (++malformed_in_a_row_ < kMaxMalformedInARow) return true;
  fail_connection({ConnectionErrorCode::too_many_malformed_requests, {}});
  return false;
}

bool ClientConnection::handle(frames::ProtocolError& error) {
  fail_connection({ConnectionErrorCode::protocol_error, error});
  return false;
}

// Rejects a request through the edge's mailbox if it has capacity, so that the answer carries the current
// load hint; otherwise directly, with the newest known hint.
void ClientConnection::reject_request(std::uint32_t stream) {
  if (inputs_.post(edge::MalformedRequest{{id_, stream}})) return;
  deliver(edge::Response{{id_, stream}, edge::Outcome::rejected, nullptr, load_hint_, {}, false});
}

asio::awaitable<void> ClientConnection::write() {
  for (;;) {
    const auto messages = co_await outbox_.take();
    if (messages.empty() && outbox_.closed()) break;
    const auto bytes = encode(messages);
    unsent_bytes_ = bytes.size();
    write_started_at_ = Clock::now();
    error_code error;
    co_await asio::async_write(socket_, asio::buffer(bytes), into(error));
    unsent_bytes_ = 0;
    last_active_ = Clock::now();
    write_progress_.cancel();
    if (error) co_return close();
    if (reading_done_ && is_idle()) break;
  }
  if (!socket_.is_open()) co_return;
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

std::string ClientConnection::encode(const std::vector<OutgoingMessage>& messages) {
  std::string bytes;
  const Overloaded append{
      [&](const edge::Response& answer) {
        // Only the first answer on a stream is sent; a later one finds the stream no longer open.
        if (open_streams_.erase(answer.to.stream)) frames::encode(answer, bytes);
      },
      [&](const edge::HealthResponse& answer) {
        if (pending_health_checks_ > 0) --pending_health_checks_;
        frames::encode(answer, bytes);
      },
      [&](const ConnectionError& error) { frames::encode_error(error.reason(), bytes); },
      [&](const GoAway&) { frames::encode_goaway(bytes); },
  };
  for (const auto& message : messages) std::visit(append, message);
  return bytes;
}

asio::awaitable<void> ClientConnection::linger() {
  lingering_ = true;
  asio::steady_timer limit(socket_.get_executor(), kLingerTimeout);
  limit.async_wait([weak = weak_from_this()](error_code cancelled) {
    const auto self = weak.lock();
    if (self && !cancelled) self->close();
  });
  while (socket_.is_open()) {
    error_code error;
    co_await socket_.async_wait(tcp::socket::wait_read, into(error));
    if (error || !socket_.is_open()) break;
    const auto discarded = discard(socket_);
    const bool end_of_stream = discarded == 0;
    const bool failed = discarded < 0 && errno != EAGAIN && errno != EINTR;
    if (end_of_stream || failed) break;
  }
}

}  // namespace granitegap::net
