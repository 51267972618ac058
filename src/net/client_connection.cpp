#include "net/client_connection.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/write.hpp>

namespace granitegap::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMaxOutgoing = 1024, kCrowdedOutgoing = 64;
constexpr std::size_t kCrowdedBytes = 16384;
constexpr auto kStuckAfter = std::chrono::seconds(30);
constexpr auto kLinger = std::chrono::seconds(3);
constexpr std::size_t kDiscard = 1 << 20;  // in one turn of the loop
constexpr int kDiscardTurns = 16;          // at a close; one that sends faster than that is reset
// Well inside the 3 s in which a client that says nothing is due its close.
constexpr auto kFirstMessage = std::chrono::milliseconds(1500);
constexpr auto kWholeMessage = std::chrono::milliseconds(2500);
constexpr int kBadInARow = int(frames::kMaxOpenRequests);

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

template <class... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <class... F>
Overloaded(F...) -> Overloaded<F...>;

}  // namespace

ClientConnection::ClientConnection(tcp::socket socket, edge::PeerId id, const edge::NameRegistry& catalog,
                                   Mailbox<edge::Input>& module, const std::optional<double>& load_hint,
                                   Logger& log)
    : socket_(std::move(socket)),
      id_(id),
      decoder_(catalog, id),
      module_(module),
      load_hint_(load_hint),
      log_(log),
      outbox_(socket_.get_executor(), kMaxOutgoing),
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
  } catch (const std::exception& e) {
    log_.line(std::string("connection dropped: ") + e.what(),
              {{"event", "connection_dropped"}, {"why", e.what()}});
  }
  close();
  if (!open_streams_.empty()) module_.post_control(edge::PeerDisconnected{id_});
}

void ClientConnection::close() {
  error_code ignored;
  if (socket_.is_open()) discard_unread();
  socket_.close(ignored);
  outbox_.close();
  write_progress_.cancel();
}

void ClientConnection::enforce_timeouts(Clock::time_point now) {
  if (!socket_.is_open()) return;
  if (unsent_bytes_ > 0 && now - write_started_at_ > kStuckAfter) return close();
  // What lies unread is read first: guards against a process that stood still, or was starved, and ends
  // connections whose messages came in time.
  if (reading_done_ || is_backpressured() || has_unread_bytes()) return;
  const bool half = decoder_.in_frame();
  const bool silent = !received_message_ && !half && now - opened_at_ > kFirstMessage;
  // A first message on a slow link is given as long as any other, from the connection's start.
  const bool endless = half && now - (received_message_ ? last_message_at_ : opened_at_) > kWholeMessage;
  if (!silent && !endless) return;
  fail_connection(half ? "no end of a message" : "no message");
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_receive, ignored);  // wakes the reader
}

void ClientConnection::deliver(OutgoingMessage message) {
  // Guards against a flood of broken frames whose sender never reads: what it is owed stays bounded.
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

// Closing over unread bytes sends a reset, which takes from the other side answers that it has not read yet.
void ClientConnection::discard_unread() {
  for (int turns = 0; turns < kDiscardTurns; ++turns)
    if (::recv(socket_.native_handle(), nullptr, kDiscard, MSG_TRUNC | MSG_DONTWAIT) <= 0) return;
}

bool ClientConnection::is_backpressured() const {
  return unsent_bytes_ > kCrowdedBytes || outbox_.size() > kCrowdedOutgoing;
}

// A peer that does not read is not read from: its answers wait here, within bounds, and stall no one else.
asio::awaitable<void> ClientConnection::wait_for_write_progress() {
  while (is_backpressured() && socket_.is_open()) {
    write_progress_.expires_at(Clock::time_point::max());
    error_code woken;
    co_await write_progress_.async_wait(into(woken));
  }
}

asio::awaitable<void> ClientConnection::read() {
  // One for all connections, filled and emptied within a turn: hundreds that ask once and stay would else
  // hold a buffer each. Its size bounds what one connection has done for it in a turn.
  static std::array<char, 4096> chunk;
  while (!reading_done_) {
    co_await wait_for_write_progress();
    error_code error;
    co_await socket_.async_wait(tcp::socket::wait_read, into(error));
    if (error || !socket_.is_open()) co_return close();
    const auto size = socket_.read_some(asio::buffer(chunk), error);
    if (error == asio::error::would_block || error == asio::error::try_again) continue;
    if (error == asio::error::eof) break;  // its answers are still owed
    if (error) co_return close();
    last_active_ = Clock::now();
    if (!decoder_.in_frame()) last_message_at_ = last_active_;  // a message begins
    decoder_.add({chunk.data(), size});
    while (auto message = decoder_.next()) {
      received_message_ = true;
      last_message_at_ = last_active_;
      if (!handle_message(std::move(*message))) break;
    }
  }
  stop_reading();
}

// An error that belongs to no request ends the connection, once what is open on it is answered.
bool ClientConnection::fail_connection(std::string why) {
  log_.line("bad connection: " + why, {{"event", "bad_connection"}, {"why", why}});
  deliver(ConnectionError{std::move(why)});
  reading_done_ = true;
  return false;
}

// Guards against two requests under one number: an answer to the one could be read as the other's, so the one
// still open is failed and neither is served.
bool ClientConnection::claim_stream(std::uint32_t stream) {
  if (stream_ids_.take(stream)) return true;
  if (open_streams_.count(stream)) module_.post_control(edge::RequestCancelled{{id_, stream}});
  return fail_connection("stream used again");
}

bool ClientConnection::handle_message(frames::Message message) {
  return std::visit(
      Overloaded{[&](edge::Request& request) {
                   const auto stream = request.from.stream;
                   if (!claim_stream(stream)) return false;
                   consecutive_malformed_ = 0;
                   const bool room = open_streams_.size() < frames::kMaxOpenRequests;
                   open_streams_.insert(stream);
                   if (!room || !module_.post(std::move(request))) reject_malformed(stream);
                   return true;
                 },
                 [&](edge::HealthCheck& check) {
                   ++pending_health_checks_;
                   if (!module_.post(check)) deliver(edge::HealthAnswer{check.from, false, load_hint_});
                   return true;
                 },
                 [&](frames::MalformedRequest& bad) {
                   if (!claim_stream(bad.stream)) return false;
                   log_.line("bad request: " + bad.why, {{"event", "bad_request"}, {"why", bad.why}});
                   open_streams_.insert(bad.stream);
                   reject_malformed(bad.stream);
                   // Guards against one that sends the same again as soon as it is turned away.
                   return ++consecutive_malformed_ < kBadInARow || fail_connection("too many bad requests");
                 },
                 [&](frames::ProtocolError& bad) { return fail_connection(std::move(bad.why)); }},
      message);
}

// Guards against a reset that takes the last answers with it: closing with bytes unread sends one. What comes
// is dropped by the system uncopied, so that a body of any size costs little.
asio::awaitable<void> ClientConnection::linger() {
  lingering_ = true;
  asio::steady_timer limit(socket_.get_executor(), kLinger);
  limit.async_wait([self = weak_from_this()](error_code cancelled) {
    if (const auto peer = self.lock(); peer && !cancelled) peer->close();
  });
  while (socket_.is_open()) {
    error_code error;
    co_await socket_.async_wait(tcp::socket::wait_read, into(error));
    if (error || !socket_.is_open()) break;
    const auto dropped = ::recv(socket_.native_handle(), nullptr, kDiscard, MSG_TRUNC | MSG_DONTWAIT);
    if (dropped == 0 || (dropped < 0 && errno != EAGAIN && errno != EINTR)) break;
  }
}

// Through the module's mailbox where there is room, so that this answer too carries the current hint.
void ClientConnection::reject_malformed(std::uint32_t stream) {
  if (module_.post(edge::UnusableRequest{{id_, stream}})) return;
  deliver(edge::Answer{{id_, stream}, edge::Outcome::refused, nullptr, load_hint_, {}, false});
}

asio::awaitable<void> ClientConnection::write() {
  for (;;) {
    const auto messages = co_await outbox_.take();
    if (messages.empty() && outbox_.closed()) break;
    std::string bytes;  // not kept: see the reader's
    for (const auto& message : messages) {
      std::visit(Overloaded{[&](const edge::Answer& a) {
                              // The one answer of that stream: a second would find it closed.
                              if (open_streams_.erase(a.to.stream)) frames::encode(a, bytes);
                            },
                            [&](const edge::HealthAnswer& a) {
                              if (pending_health_checks_ > 0) --pending_health_checks_;
                              frames::encode(a, bytes);
                            },
                            [&](const ConnectionError& e) { frames::encode_error(e.why, bytes); },
                            [&](const GoAway&) { frames::encode_goaway(bytes); }},
                 message);
    }
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

}  // namespace granitegap::net
