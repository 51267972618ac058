// Eviction, drain and close of connections by the listener for client proxies. Each race is forced: the bytes
// that a client writes stay unread in the socket, because the event loop does not run until the listener has
// decided which connection to close.
#include "net/listener.h"

#include <doctest/doctest.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <thread>

#include "standin/client_codec.h"

namespace granitegap {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t kMaxDescriptors = 64, kMaxConnections = 32;  // the listener reserves 32 descriptors
const std::string kHealthCheckFrame("\x00\x00\x00\x06\x06\x00\x00\x00\x01\x00", 10);

struct ListenerFixture {
  ListenerFixture() {
    catalog.classes = {"tile"};
    catalog.tenants = {"turistaterkep"};
    catalog.key_required = {false};
    asio::co_spawn(io, listener.run(), asio::detached);
    asio::co_spawn(
        io,
        [this]() -> asio::awaitable<void> {
          while (!mailbox.closed())
            for (auto& message : co_await mailbox.take()) messages.push_back(std::move(message));
        },
        asio::detached);
    run_until([] { return true; });
  }
  // Runs the event loop until the condition holds. Fails the test if it does not hold within 20 s.
  void run_until(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    do {
      io.restart();
      io.poll();
      REQUIRE(std::chrono::steady_clock::now() < deadline);
    } while (!condition());
  }
  tcp::socket& connect() {
    clients.emplace_back(io).connect(listener.local_endpoint());
    clients.back().set_option(tcp::no_delay(true));
    return clients.back();
  }
  void write(tcp::socket& to, const std::string& bytes) {
    asio::write(to, asio::buffer(bytes));
    wait_until_received(to);
  }
  // Waits until the peer's TCP stack has acknowledged all written bytes. They are then in the peer's receive
  // buffer, and a new connection is in the listener's accept queue.
  void wait_until_received(tcp::socket& from) {
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    for (int left = 1; left > 0;) {
      if (::ioctl(from.native_handle(), SIOCOUTQ, &left) != 0 || std::chrono::steady_clock::now() > deadline)
        FAIL("the written bytes were not acknowledged within 20 s; unacknowledged: ", left);
      if (left > 0) std::this_thread::sleep_for(1ms);
    }
  }
  // Opens the maximum number of connections. Each has exchanged a health check and is idle.
  void fill_with_idle_connections() {
    for (std::size_t i = 0; i < kMaxConnections; ++i) exchange_health_check(connect());
    std::this_thread::sleep_for(120ms);  // until none counts as recently used
  }
  void exchange_health_check(tcp::socket& client) {
    const auto before = messages.size();
    const auto available_before = client.available();
    write(client, kHealthCheckFrame);
    run_until([&] { return messages.size() > before; });
    const auto to = std::get<edge::HealthCheck>(messages.back()).reply_to;
    listener.deliver(to, edge::HealthResponse{to, true, {}});
    run_until([&] { return client.available() > available_before; });
  }
  // Counts the clients whose connections the listener has ended. Discards the health check response, and a
  // GOAWAY if there is one, before the end of the stream.
  std::size_t count_ended() {
    std::size_t ended = 0;
    for (auto& client : clients) {
      client.non_blocking(true);
      const auto error = read_to_end(client).second;
      ended += error == asio::error::eof || error == asio::error::connection_reset;
    }
    return ended;
  }
  std::size_t count_requests() const {
    std::size_t requests = 0;
    for (const auto& message : messages) requests += std::holds_alternative<edge::Request>(message);
    return requests;
  }
  // Reads until an error. Returns the number of bytes read and the error that ended the read.
  std::pair<std::size_t, boost::system::error_code> read_to_end(tcp::socket& client) {
    std::size_t bytes = 0;
    for (char chunk[256];;) {
      boost::system::error_code error;
      bytes += client.read_some(asio::buffer(chunk), error);
      if (error) return {bytes, error};
    }
  }

  asio::io_context io;
  edge::NameRegistry catalog;
  Mailbox<edge::Input> mailbox{io.get_executor(), 1000};
  Logger log{"test", LogFormat::text};
  net::Listener listener{
      io.get_executor(), {asio::ip::address_v4::loopback(), 0}, kMaxDescriptors, catalog, mailbox, log};
  std::list<tcp::socket> clients;
  std::vector<edge::Input> messages;
};

std::string request(std::uint32_t stream) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  standin::RequestEnvelope envelope;
  envelope.stream = stream;
  envelope.request_id = "00000000000000a" + std::to_string(stream);
  envelope.t0_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return standin::encode_request({}, envelope);
}

TEST_CASE("eviction skips the least recently used connection if it has an unread request") {
  ListenerFixture fixture;
  fixture.fill_with_idle_connections();
  auto& oldest = fixture.clients.front();
  fixture.write(oldest, request(2));
  fixture.write(fixture.connect(), "x");
  // Accepts the new connection immediately, before the event loop reads anything.
  fixture.listener.start_draining(net::BacklogPolicy::accept);
  fixture.run_until([&] { return fixture.count_requests() == 1; });
  CHECK(!fixture.listener.is_quiescent());
  fixture.run_until([&] { return fixture.count_ended() > 0; });
  CHECK(fixture.count_ended() == 1);  // a different connection was evicted
}

TEST_CASE("eviction prefers an idle connection to one with a partial message") {
  ListenerFixture fixture;
  fixture.fill_with_idle_connections();
  auto& oldest = fixture.clients.front();
  const auto complete_request = request(2);
  fixture.write(oldest, complete_request.substr(0, 20));
  for (int i = 0; i < 50; ++i) fixture.run_until([] { return true; });
  // All others are used again, so that `oldest` is the least recently used.
  for (auto& other : fixture.clients)
    if (&other != &oldest) fixture.exchange_health_check(other);
  std::this_thread::sleep_for(120ms);
  fixture.write(fixture.connect(), "x");
  fixture.listener.start_draining(net::BacklogPolicy::accept);
  fixture.write(oldest, complete_request.substr(20));
  fixture.run_until([&] { return fixture.count_requests() == 1 && fixture.count_ended() > 0; });
  CHECK(fixture.count_ended() == 1);
}

TEST_CASE("a request in the backlog is accepted when draining starts at the connection limit") {
  ListenerFixture fixture;
  fixture.fill_with_idle_connections();
  fixture.write(fixture.connect(), request(1));
  fixture.listener.start_draining(net::BacklogPolicy::accept);
  fixture.run_until([&] { return fixture.count_requests() == 1 && fixture.count_ended() > 0; });
  CHECK(fixture.count_ended() == 1);
}

TEST_CASE("a listener with a partial message, unread bytes or an open request is not quiescent") {
  ListenerFixture fixture;
  auto& client = fixture.connect();
  fixture.exchange_health_check(client);
  fixture.run_until([&] { return fixture.listener.is_quiescent(); });
  const auto complete_request = request(2);
  fixture.write(client, complete_request.substr(0, 20));
  CHECK(!fixture.listener.is_quiescent());  // unread
  for (int i = 0; i < 50; ++i) fixture.run_until([] { return true; });
  CHECK(!fixture.listener.is_quiescent());  // partly read, the rest has not arrived
  fixture.write(client, complete_request.substr(20));
  fixture.run_until([&] { return fixture.count_requests() == 1; });
  CHECK(!fixture.listener.is_quiescent());  // the request awaits its answer
}

TEST_CASE("closing all connections discards no answer that a client has not read yet") {
  ListenerFixture fixture;
  auto& client = fixture.connect();
  fixture.write(client, request(1));
  fixture.run_until([&] { return fixture.count_requests() == 1; });
  const auto from = std::get<edge::Request>(fixture.messages.back()).reply_to;
  fixture.listener.deliver(from, edge::Response{from, edge::Outcome::rejected, nullptr, 1.0, {}, false});
  fixture.run_until([&] { return client.available() > 0; });
  const auto answer = client.available();
  fixture.write(client, request(2));  // arrives just before the close and is never read
  fixture.listener.close_all();
  const auto [bytes, end] = fixture.read_to_end(client);
  CHECK(bytes == answer);
  CHECK(end == asio::error::eof);
}

TEST_CASE("timeouts spare connections with unread bytes or a slow first message, and end silent ones") {
  ListenerFixture fixture;
  using Clock = net::ClientConnection::Clock;
  const auto connect_pair = [&](edge::PeerId id) {
    tcp::acceptor acceptor(fixture.io, {asio::ip::address_v4::loopback(), 0});
    fixture.clients.emplace_back(fixture.io).connect(acceptor.local_endpoint());
    static const std::optional<double> kNoHint;
    auto peer = std::make_shared<net::ClientConnection>(acceptor.accept(), id, fixture.catalog,
                                                        fixture.mailbox, kNoHint, fixture.log);
    asio::co_spawn(
        fixture.io, [peer]() -> asio::awaitable<void> { co_await peer->run(); }, asio::detached);
    fixture.run_until([] { return true; });
    return peer;
  };
  const auto silent = connect_pair(edge::PeerId{1001}), late = connect_pair(edge::PeerId{1002}),
             slow = connect_pair(edge::PeerId{1003});
  const auto complete_request = request(1);
  auto& late_client = *std::next(fixture.clients.begin());
  // As if the process had been suspended since the request arrived.
  fixture.write(late_client, complete_request);
  late->enforce_timeouts(Clock::now() + 10s);
  fixture.run_until([&] { return fixture.count_requests() == 1; });
  for (int i = 0; i < 50; ++i) fixture.run_until([] { return true; });
  CHECK(late_client.available() == 0);  // no error frame was sent
  fixture.write(fixture.clients.back(), complete_request.substr(0, 20));
  fixture.run_until([&] { return slow->has_partial_message(); });
  slow->enforce_timeouts(slow->opened_at() + 2400ms);
  fixture.write(fixture.clients.back(), complete_request.substr(20));
  fixture.run_until([&] { return fixture.count_requests() == 2; });
  for (int i = 0; i < 50; ++i) fixture.run_until([] { return true; });
  CHECK(fixture.clients.back().available() == 0);
  silent->enforce_timeouts(silent->opened_at() + 1400ms);
  CHECK(silent->is_open());
  silent->enforce_timeouts(silent->opened_at() + 1600ms);
  fixture.run_until([&] { return silent->is_lingering(); });
}

}  // namespace
}  // namespace granitegap
