#include "net/peer.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/write.hpp>

namespace granitegap::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMostOutgoing = 1024, kCrowdedOutgoing = 64;
constexpr std::size_t kCrowdedBytes = 16384;
constexpr auto kStuckAfter = std::chrono::seconds(30);
constexpr auto kLinger = std::chrono::seconds(1);

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

template <class... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <class... F>
Overloaded(F...) -> Overloaded<F...>;

}  // namespace

Peer::Peer(tcp::socket socket, edge::PeerId id, const edge::Catalog& catalog, Mailbox<edge::Input>& module,
           Logger& log)
    : socket_(std::move(socket)),
      id_(id),
      reader_(catalog, id),
      module_(module),
      log_(log),
      outbox_(socket_.get_executor(), kMostOutgoing),
      room_(socket_.get_executor()) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

asio::awaitable<void> Peer::run() {
  using namespace asio::experimental::awaitable_operators;
  try {
    co_await (read() && write());
    co_await linger();
  } catch (const std::exception& e) {
    log_.line(std::string("connection dropped: ") + e.what());
  }
  close();
  if (!open_.empty() && !module_.post(edge::PeerGone{id_})) log_.line("mailbox full: lost peer not told");
}

void Peer::close() {
  error_code ignored;
  socket_.close(ignored);
  outbox_.close();
  room_.cancel();
}

void Peer::deliver(Outgoing message) {
  // Guards against a flood of broken frames whose sender never reads: what it is owed stays bounded.
  if (!outbox_.post(std::move(message)) && !outbox_.closed()) close();
}

void Peer::finish() {
  finishing_ = true;
  if (idle()) outbox_.close();
}

bool Peer::crowded() const { return unsent_ > kCrowdedBytes || outbox_.size() > kCrowdedOutgoing; }

// A peer that does not read is not read from: its answers wait here, within bounds, and stall no one else.
asio::awaitable<void> Peer::wait_for_room() {
  while (crowded() && socket_.is_open()) {
    room_.expires_at(Clock::time_point::max());
    error_code woken;
    co_await room_.async_wait(into(woken));
  }
}

asio::awaitable<void> Peer::read() {
  std::array<char, 4096> chunk;
  while (!finishing_) {
    co_await wait_for_room();
    error_code error;
    const auto size = co_await socket_.async_read_some(asio::buffer(chunk), into(error));
    if (error == asio::error::eof) break;  // its answers are still owed
    if (error) co_return close();
    last_used_ = Clock::now();
    reader_.add({chunk.data(), size});
    while (auto message = reader_.next())
      if (!take(std::move(*message))) break;
  }
  finish();
}

bool Peer::take(frames::Message message) {
  return std::visit(Overloaded{[&](edge::Request& request) {
                                 const auto stream = request.from.stream;
                                 if (open_.count(stream)) {
                                   // An answer to the one could be read as the other's.
                                   log_.line("stream used again while open");
                                   deliver(StreamError{"stream used again while open"});
                                   finishing_ = true;
                                   return false;
                                 }
                                 const bool room = open_.size() < frames::kMaxOpen;
                                 open_.insert(stream);
                                 if (!room || !module_.post(std::move(request))) turn_away(stream);
                                 return true;
                               },
                               [&](edge::HealthCheck& check) {
                                 if (!module_.post(check)) deliver(edge::HealthAnswer{check.from, false, {}});
                                 return true;
                               },
                               [&](frames::BadRequest& bad) {
                                 log_.line("bad request: " + bad.why);
                                 if (open_.insert(bad.stream).second) {
                                   turn_away(bad.stream);
                                   return true;
                                 }
                                 deliver(StreamError{bad.why});
                                 finishing_ = true;
                                 return false;
                               },
                               [&](frames::BadStream& bad) {
                                 log_.line("bad frame: " + bad.why);
                                 deliver(StreamError{bad.why});
                                 finishing_ = true;
                                 return false;
                               }},
                    message);
}

// Through the module's mailbox where there is room, so that this answer too carries the current hint.
// Guards against a reset that takes the last answers with it: closing with bytes unread sends one.
asio::awaitable<void> Peer::linger() {
  std::array<char, 4096> unwanted;
  asio::steady_timer limit(socket_.get_executor(), kLinger);
  limit.async_wait([self = weak_from_this()](error_code cancelled) {
    if (const auto peer = self.lock(); peer && !cancelled) peer->close();
  });
  for (error_code error; !error && socket_.is_open();)
    co_await socket_.async_read_some(asio::buffer(unwanted), into(error));
}

void Peer::turn_away(std::uint32_t stream) {
  if (module_.post(edge::UnusableRequest{{id_, stream}})) return;
  deliver(edge::Answer{{id_, stream}, edge::Outcome::refused, nullptr, {}, {}, false});
}

asio::awaitable<void> Peer::write() {
  std::string bytes;
  for (;;) {
    const auto messages = co_await outbox_.take();
    if (messages.empty() && outbox_.closed()) break;
    bytes.clear();
    for (const auto& message : messages) {
      std::visit(Overloaded{[&](const edge::Answer& a) {
                              // The one answer of that stream: a second would find it closed.
                              if (open_.erase(a.to.stream)) frames::encode(a, bytes);
                            },
                            [&](const edge::HealthAnswer& a) { frames::encode(a, bytes); },
                            [&](const StreamError& e) { frames::encode_error(e.why, bytes); },
                            [&](const GoAway&) { frames::encode_goaway(bytes); }},
                 message);
    }
    unsent_ = bytes.size();
    asio::steady_timer stuck(socket_.get_executor(), kStuckAfter);
    stuck.async_wait([self = weak_from_this()](error_code cancelled) {
      if (const auto peer = self.lock(); peer && !cancelled) peer->close();
    });
    error_code error;
    co_await asio::async_write(socket_, asio::buffer(bytes), into(error));
    unsent_ = 0;
    last_used_ = Clock::now();
    room_.cancel();
    if (error) co_return close();
    if (finishing_ && idle()) break;
  }
  if (!socket_.is_open()) co_return;
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

}  // namespace granitegap::net
