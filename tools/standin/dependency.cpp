#include "standin/dependency.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace granitegap::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kMaxHead = 16384;
constexpr auto kTrickle = std::chrono::milliseconds(50);
constexpr auto kWaitForRoom = std::chrono::milliseconds(1);

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

}  // namespace

struct Dependency::State {
  Script script;
  std::mt19937_64 random;
  Clock::time_point start;
  std::shared_ptr<Seen> seen;
  std::uint32_t busy = 0;  // of `capacity`
  bool tells_when = false;
  Duration elapsed() const { return std::chrono::duration_cast<Duration>(Clock::now() - start); }
};

Dependency::Dependency(asio::io_context& io, Script script, std::uint64_t seed,
                       const std::vector<std::uint16_t>& ports, Clock::time_point start)
    : io_(io), seen_(std::make_shared<Seen>()) {
  state_ = std::make_shared<State>(State{std::move(script), std::mt19937_64(seed), start, seen_, 0, false});
  for (std::size_t i = 0; i < ports.size(); ++i) {
    doors_.push_back(
        std::make_unique<tcp::acceptor>(io, tcp::endpoint(asio::ip::address_v4::loopback(), ports[i])));
    asio::co_spawn(io, accept(i), asio::detached);
  }
}

void Dependency::tell_when() { state_->tells_when = true; }

asio::awaitable<void> Dependency::accept(std::size_t endpoint) {
  for (;;) {
    error_code error;
    auto socket = co_await doors_[endpoint]->async_accept(into(error));
    if (error) co_return;
    asio::co_spawn(io_, serve(state_, std::move(socket), int(endpoint)), asio::detached);
  }
}

asio::awaitable<void> Dependency::serve(std::shared_ptr<State> state, tcp::socket socket, int endpoint) {
  error_code error;
  socket.set_option(tcp::no_delay(true), error);
  asio::steady_timer timer(socket.get_executor());
  const auto pause = [&](auto how_long) -> asio::awaitable<void> {
    timer.expires_after(how_long);
    error_code ignored;
    co_await timer.async_wait(into(ignored));
  };
  std::string buffer;
  for (;;) {
    const auto head = co_await asio::async_read_until(socket, asio::dynamic_buffer(buffer, kMaxHead),
                                                      "\r\n\r\n", into(error));
    if (error) co_return;
    const auto path_at = buffer.find(' ') + 1;
    const auto path = buffer.substr(path_at, buffer.find(' ', path_at) - path_at);
    buffer.erase(0, head);
    auto& seen = *state->seen;
    const auto plan = standin::plan(state->script, endpoint, state->elapsed(), state->random);
    seen.requests.push_back(state->elapsed());
    seen.max_open = std::max(seen.max_open, ++seen.open);
    struct Leave {
      Seen& seen;
      ~Leave() { --seen.open; }
    } leave{seen};
    if (plan.fault == FaultKind::hang) {  // until the other side gives up
      char byte;
      co_await socket.async_read_some(asio::buffer(&byte, 1), into(error));
      co_return;
    }
    while (plan.capacity && state->busy >= plan.capacity) co_await pause(kWaitForRoom);
    ++state->busy;
    co_await pause(plan.after);
    --state->busy;
    const auto say = [&](std::string text) -> asio::awaitable<void> {
      co_await asio::async_write(socket, asio::buffer(text), into(error));
    };
    const auto status = [](const char* line) {
      return std::string("HTTP/1.1 ") + line + "\r\nContent-Length: 0\r\n";
    };
    std::string body;
    if (state->tells_when)
      body = std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(state->elapsed()).count()) +
             " " + path + "\n";
    body.resize(std::max(plan.body, body.size()), 'e');
    const auto whole =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    switch (plan.fault) {
      case FaultKind::none:
      case FaultKind::close:
        co_await say(whole);
        if (plan.fault == FaultKind::close) co_return;
        break;
      case FaultKind::error:
        co_await say(status("500 Internal Server Error") + "\r\n");
        break;
      case FaultKind::no_data:
        co_await say(status("404 Not Found") + "\r\n");
        break;
      case FaultKind::busy: {
        const auto s = std::chrono::duration_cast<std::chrono::seconds>(plan.retry_after).count();
        // Made before the call: GCC 12 destroys the parts of a conditional in a co_await twice.
        auto answer = status("503 Service Unavailable");
        if (s) answer += "Retry-After: " + std::to_string(s) + "\r\n";
        answer += "\r\n";
        co_await say(std::move(answer));
        break;
      }
      case FaultKind::reset:
        socket.set_option(asio::socket_base::linger(true, 0), error);
        co_return;
      case FaultKind::hang:
        co_return;
      case FaultKind::hang_body: {
        co_await say(whole.substr(0, whole.size() - (body.size() + 1) / 2));
        char byte;
        co_await socket.async_read_some(asio::buffer(&byte, 1), into(error));
        co_return;
      }
      case FaultKind::trickle:
        for (const char c : whole) {
          co_await say(std::string(1, c));
          if (error) co_return;
          co_await pause(kTrickle);
        }
        break;
      case FaultKind::too_long:
        co_await say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 1024 && !error; ++i) co_await say("1000\r\n" + std::string(0x1000, 'x') + "\r\n");
        co_return;
      case FaultKind::garbage:
        co_await say("SSH-2.0-nothing\r\n\r\n");
        co_return;
    }
    if (error) co_return;
  }
}

}  // namespace granitegap::standin
