#include "standin/dependency.h"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <utility>

namespace granitegap::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMaxHeadBytes = 16384;
constexpr auto kTrickleInterval = std::chrono::milliseconds(50);  // between two bytes
constexpr auto kCapacityPollInterval = std::chrono::milliseconds(1);
constexpr int kEndlessChunks = 1024;
constexpr std::size_t kChunkBytes = 0x1000;

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

std::string head_of(const std::string& status, std::size_t content_length) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(content_length) + "\r\n";
}

std::string empty_response(const std::string& status) { return head_of(status, 0) + "\r\n"; }

std::string busy_response(Duration retry_after) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(retry_after).count();
  auto response = head_of("503 Service Unavailable", 0);
  if (seconds) response += "Retry-After: " + std::to_string(seconds) + "\r\n";
  return response + "\r\n";
}

// The path of a request line: its second word.
std::string path_of(const std::string& head) {
  const auto from = head.find(' ') + 1;
  return head.substr(from, head.find(' ', from) - from);
}

// A request in flight, for as long as this object lives.
class InFlight {
 public:
  explicit InFlight(Dependency::Counters& counters) : counters_(counters) {
    ++counters_.open;
    counters_.max_open = std::max(counters_.max_open, counters_.open);
  }
  ~InFlight() { --counters_.open; }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

 private:
  Dependency::Counters& counters_;
};

// Whether the other side has closed the connection.
bool is_closed_by_peer(tcp::socket& socket) {
  char byte = 0;
  const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

struct Dependency::State {
  Script script;
  std::mt19937_64 random;
  Clock::time_point start;
  Counters counters;
  std::uint32_t busy = 0;  // requests that take up `capacity`
  bool prefixes_bodies = false;
  AwaitedCallback awaited_changed;
  Duration elapsed() const { return std::chrono::duration_cast<Duration>(Clock::now() - start); }
};

// A client that awaits its response, until end() or the end of this object.
class Dependency::AwaitedResponse {
 public:
  explicit AwaitedResponse(std::shared_ptr<State> state) : state_(std::move(state)) { change(1); }
  ~AwaitedResponse() { end(); }
  AwaitedResponse(const AwaitedResponse&) = delete;
  AwaitedResponse& operator=(const AwaitedResponse&) = delete;
  void end() {
    if (!std::exchange(has_ended_, true)) change(-1);
  }
  bool has_ended() const { return has_ended_; }

 private:
  void change(int by) {
    auto& counters = state_->counters;
    counters.awaited = std::size_t(std::ptrdiff_t(counters.awaited) + by);
    counters.max_awaited = std::max(counters.max_awaited, counters.awaited);
    if (state_->awaited_changed) state_->awaited_changed(counters.awaited);
  }
  std::shared_ptr<State> state_;
  bool has_ended_ = false;
};

// One client's connection, served until it closes or a fault ends it.
class Dependency::Connection : public std::enable_shared_from_this<Dependency::Connection> {
 public:
  Connection(std::shared_ptr<State> state, tcp::socket socket, int endpoint)
      : state_(std::move(state)),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        endpoint_(endpoint) {}
  asio::awaitable<void> run();
  // At once, although the watch for the client's close still refers to the connection.
  void close() { socket_.close(error_); }

 private:
  asio::awaitable<bool> serve_request(std::string path);
  asio::awaitable<void> watch_for_close(std::shared_ptr<AwaitedResponse> response);
  asio::awaitable<bool> respond(ResponsePlan plan, std::string body);
  asio::awaitable<void> wait_for_capacity(ResponsePlan plan);
  asio::awaitable<void> send(std::string text);
  asio::awaitable<void> send_trickling(std::string text);
  asio::awaitable<void> send_endless_body();
  asio::awaitable<void> wait_for_close();
  asio::awaitable<void> pause(Duration duration);
  std::string body_of(const ResponsePlan& plan, const std::string& path) const;

  std::shared_ptr<State> state_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  int endpoint_;
  error_code error_;  // of the last operation on the socket
};

Dependency::Dependency(asio::io_context& io, Script script, std::uint64_t seed,
                       const std::vector<std::uint16_t>& ports, Clock::time_point start)
    : io_(io), state_(std::make_shared<State>()) {
  state_->script = std::move(script);
  state_->random.seed(seed);
  state_->start = start;
  for (std::size_t i = 0; i < ports.size(); ++i) {
    listeners_.push_back(
        std::make_unique<tcp::acceptor>(io, tcp::endpoint(asio::ip::address_v4::loopback(), ports[i])));
    asio::co_spawn(io, accept(i), asio::detached);
  }
}

void Dependency::prefix_bodies_with_arrival() { state_->prefixes_bodies = true; }

void Dependency::on_awaited_changed(AwaitedCallback callback) {
  state_->awaited_changed = std::move(callback);
}

const Dependency::Counters& Dependency::counters() const { return state_->counters; }

asio::awaitable<void> Dependency::accept(std::size_t endpoint) {
  for (;;) {
    error_code error;
    auto socket = co_await listeners_[endpoint]->async_accept(into(error));
    if (error) co_return;
    auto connection = std::make_shared<Connection>(state_, std::move(socket), int(endpoint));
    asio::co_spawn(
        io_,
        [connection]() -> asio::awaitable<void> {
          co_await connection->run();
          connection->close();
        },
        asio::detached);
  }
}

asio::awaitable<void> Dependency::Connection::run() {
  socket_.set_option(tcp::no_delay(true), error_);
  std::string buffer;
  for (;;) {
    const auto head_size = co_await asio::async_read_until(
        socket_, asio::dynamic_buffer(buffer, kMaxHeadBytes), "\r\n\r\n", into(error_));
    if (error_) co_return;
    auto path = path_of(buffer);
    buffer.erase(0, head_size);
    const bool stays_open = co_await serve_request(std::move(path));
    if (!stays_open || error_) co_return;
  }
}

// Whether the connection stays open for another request.
asio::awaitable<bool> Dependency::Connection::serve_request(std::string path) {
  const auto elapsed = state_->elapsed();
  const auto plan = plan_response(state_->script, endpoint_, elapsed, state_->random);
  state_->counters.arrivals.push_back(elapsed);
  const InFlight in_flight(state_->counters);
  const auto awaited = std::make_shared<AwaitedResponse>(state_);
  asio::co_spawn(
      socket_.get_executor(),
      [self = shared_from_this(), awaited]() -> asio::awaitable<void> {
        co_await self->watch_for_close(awaited);
      },
      asio::detached);
  if (plan.fault == FaultKind::hang) {
    co_await wait_for_close();
    awaited->end();
    co_return false;
  }
  co_await wait_for_capacity(plan);
  ++state_->busy;
  co_await pause(plan.after);
  --state_->busy;
  // The client may have read the response, and sent its next request elsewhere, before the write returns
  // here.
  if (plan.fault == FaultKind::none) awaited->end();
  const bool stays_open = co_await respond(plan, body_of(plan, path));
  awaited->end();
  co_return stays_open;
}

// Ends `response` when its client closes the connection first.
asio::awaitable<void> Dependency::Connection::watch_for_close(std::shared_ptr<AwaitedResponse> response) {
  error_code error;
  co_await socket_.async_wait(tcp::socket::wait_read, into(error));
  if (response->has_ended() || error == asio::error::operation_aborted) co_return;
  if (error || is_closed_by_peer(socket_)) response->end();
}

asio::awaitable<bool> Dependency::Connection::respond(ResponsePlan plan, std::string body) {
  const auto complete = head_of("200 OK", body.size()) + "\r\n" + body;
  switch (plan.fault) {
    case FaultKind::none:
      co_await send(complete);
      co_return true;
    case FaultKind::close:
      co_await send(complete);
      co_return false;
    case FaultKind::error:
      co_await send(empty_response("500 Internal Server Error"));
      co_return true;
    case FaultKind::no_data:
      co_await send(empty_response("404 Not Found"));
      co_return true;
    case FaultKind::busy:
      co_await send(busy_response(plan.retry_after));
      co_return true;
    case FaultKind::reset:
      socket_.set_option(asio::socket_base::linger(true, 0), error_);
      co_return false;
    case FaultKind::hang:
      co_return false;
    case FaultKind::hang_body:
      co_await send(complete.substr(0, complete.size() - (body.size() + 1) / 2));
      co_await wait_for_close();
      co_return false;
    case FaultKind::trickle:
      co_await send_trickling(complete);
      co_return true;
    case FaultKind::too_long:
      co_await send_endless_body();
      co_return false;
    case FaultKind::garbage:
      co_await send("SSH-2.0-nothing\r\n\r\n");
      co_return false;
  }
  co_return false;
}

std::string Dependency::Connection::body_of(const ResponsePlan& plan, const std::string& path) const {
  std::string body;
  if (state_->prefixes_bodies) {
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(state_->elapsed());
    body = std::to_string(elapsed.count()) + " " + path + "\n";
  }
  body.resize(std::max(plan.body, body.size()), 'e');
  return body;
}

asio::awaitable<void> Dependency::Connection::wait_for_capacity(ResponsePlan plan) {
  if (plan.capacity == 0) co_return;
  while (state_->busy >= plan.capacity) co_await pause(kCapacityPollInterval);
}

asio::awaitable<void> Dependency::Connection::send(std::string text) {
  co_await asio::async_write(socket_, asio::buffer(text), into(error_));
}

asio::awaitable<void> Dependency::Connection::send_trickling(std::string text) {
  for (const char c : text) {
    co_await send(std::string(1, c));
    if (error_) co_return;
    co_await pause(kTrickleInterval);
  }
}

asio::awaitable<void> Dependency::Connection::send_endless_body() {
  co_await send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  const auto chunk = "1000\r\n" + std::string(kChunkBytes, 'x') + "\r\n";
  for (int i = 0; i < kEndlessChunks && !error_; ++i) co_await send(chunk);
}

// Until the client closes the connection, or sends anything more.
asio::awaitable<void> Dependency::Connection::wait_for_close() {
  char byte;
  co_await socket_.async_read_some(asio::buffer(&byte, 1), into(error_));
}

asio::awaitable<void> Dependency::Connection::pause(Duration duration) {
  timer_.expires_after(duration);
  error_code ignored;
  co_await timer_.async_wait(into(ignored));
}

}  // namespace granitegap::standin
