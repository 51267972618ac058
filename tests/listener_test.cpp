// The front end's closings, each forced at its instant: what the client writes lies in the socket, and the
// loop is not run until the close is decided.
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

constexpr std::size_t kSockets = 64, kPeers = 32;  // 32 are the process's own
const std::string kCheck("\x00\x00\x00\x06\x06\x00\x00\x00\x01\x00", 10);

struct Door {
  Door() {
    catalog.classes = {"tile"};
    catalog.tenants = {"turistaterkep"};
    catalog.keyed = {false};
    asio::co_spawn(io, listener.run(), asio::detached);
    asio::co_spawn(
        io,
        [this]() -> asio::awaitable<void> {
          while (!mailbox.closed())
            for (auto& m : co_await mailbox.take()) mail.push_back(std::move(m));
        },
        asio::detached);
    run([] { return true; });
  }
  // Runs the loop until it holds; only a test that waits for what never comes ends by the clock.
  void run(const std::function<bool()>& holds) {
    const auto hang = std::chrono::steady_clock::now() + 20s;
    do {
      io.restart();
      io.poll();
      REQUIRE(std::chrono::steady_clock::now() < hang);
    } while (!holds());
  }
  tcp::socket& connect() {
    clients.emplace_back(io).connect(listener.local_endpoint());
    clients.back().set_option(tcp::no_delay(true));
    return clients.back();
  }
  void write(tcp::socket& to, const std::string& bytes) {
    asio::write(to, asio::buffer(bytes));
    arrived(to);
  }
  // Until the system at the other end has all of it: it lies there unread, and a connection that it came on
  // waits at the door.
  void arrived(tcp::socket& from) {
    const auto hang = std::chrono::steady_clock::now() + 20s;
    for (int left = 1; left > 0;) {
      if (::ioctl(from.native_handle(), SIOCOUTQ, &left) != 0 || std::chrono::steady_clock::now() > hang)
        FAIL("what was written does not arrive");
      if (left > 0) std::this_thread::sleep_for(1ms);
    }
  }
  // As many connections as there is room for, each of which has spoken and rests.
  void fill() {
    for (std::size_t i = 0; i < kPeers; ++i) check(connect());
    std::this_thread::sleep_for(120ms);  // until none was used a moment ago
  }
  void check(tcp::socket& client) {
    const auto before = mail.size();
    const auto had = client.available();
    write(client, kCheck);
    run([&] { return mail.size() > before; });
    const auto to = std::get<edge::HealthCheck>(mail.back()).from;
    listener.deliver(to, edge::HealthAnswer{to, true, {}});
    run([&] { return client.available() > had; });
  }
  // Clients whose connections the door has ended: their check's answer, perhaps a word to go, then the end.
  std::size_t ended() {
    std::size_t n = 0;
    for (auto& c : clients) {
      c.non_blocking(true);
      const auto error = rest_of(c).second;
      n += error == asio::error::eof || error == asio::error::connection_reset;
    }
    return n;
  }
  std::size_t requests() const {
    std::size_t n = 0;
    for (const auto& m : mail) n += std::holds_alternative<edge::Request>(m);
    return n;
  }
  // What the client can still read until the connection ends, and how that is.
  std::pair<std::size_t, boost::system::error_code> rest_of(tcp::socket& client) {
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
      io.get_executor(), {asio::ip::address_v4::loopback(), 0}, kSockets, catalog, mailbox, log};
  std::list<tcp::socket> clients;
  std::vector<edge::Input> mail;
};

std::string request(std::uint32_t stream) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  standin::RequestEnvelope envelope;
  envelope.stream = stream;
  envelope.request_id = "00000000000000a" + std::to_string(stream);
  envelope.t0_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  return standin::encode_request({}, envelope);
}

TEST_CASE("room is not made over a request that lies unread on the connection that rested longest") {
  Door door;
  door.fill();
  auto& oldest = door.clients.front();
  door.write(oldest, request(2));
  door.write(door.connect(), "x");
  door.listener.start_draining(
      net::BacklogPolicy::accept);  // takes what waits at the door at once, before the loop reads anything
  door.run([&] { return door.requests() == 1; });
  CHECK(!door.listener.is_quiescent());
  door.run([&] { return door.ended() > 0; });
  CHECK(door.ended() == 1);  // another one made room
}

TEST_CASE("room is made of one that rests before one with half a message, of which each may be a request") {
  Door door;
  door.fill();
  auto& oldest = door.clients.front();
  const auto whole = request(2);
  door.write(oldest, whole.substr(0, 20));
  for (int i = 0; i < 50; ++i) door.run([] { return true; });
  for (auto& other : door.clients)
    if (&other != &oldest) door.check(other);  // so that it is the one used longest ago
  std::this_thread::sleep_for(120ms);
  door.write(door.connect(), "x");
  door.listener.start_draining(net::BacklogPolicy::accept);
  door.write(oldest, whole.substr(20));
  door.run([&] { return door.requests() == 1 && door.ended() > 0; });
  CHECK(door.ended() == 1);
}

TEST_CASE("what waits at the door when it closes is heard, though every connection is taken") {
  Door door;
  door.fill();
  door.write(door.connect(), request(1));
  door.listener.start_draining(net::BacklogPolicy::accept);
  door.run([&] { return door.requests() == 1 && door.ended() > 0; });
  CHECK(door.ended() == 1);
}

TEST_CASE("a door with half a message behind it, or bytes not read yet, is not at rest") {
  Door door;
  auto& client = door.connect();
  door.check(client);
  door.run([&] { return door.listener.is_quiescent(); });
  const auto whole = request(2);
  door.write(client, whole.substr(0, 20));
  CHECK(!door.listener.is_quiescent());  // unread
  for (int i = 0; i < 50; ++i) door.run([] { return true; });
  CHECK(!door.listener.is_quiescent());  // read, and half of it is still to come
  door.write(client, whole.substr(20));
  door.run([&] { return door.requests() == 1; });
  CHECK(!door.listener.is_quiescent());  // its answer is owed
}

TEST_CASE("the end of all connections takes no answer from a client that has not read it yet") {
  Door door;
  auto& client = door.connect();
  door.write(client, request(1));
  door.run([&] { return door.requests() == 1; });
  const auto from = std::get<edge::Request>(door.mail.back()).from;
  door.listener.deliver(from, edge::Answer{from, edge::Outcome::refused, nullptr, 1.0, {}, false});
  door.run([&] { return client.available() > 0; });
  const auto answer = client.available();
  door.write(client, request(2));  // crosses the end: nobody will read it
  door.listener.close_all();
  const auto [bytes, end] = door.rest_of(client);
  CHECK(bytes == answer);
  CHECK(end == asio::error::eof);
}

TEST_CASE("what lies unread is read before a connection is ended, and a slow first message has its time") {
  Door door;
  using Clock = net::ClientConnection::Clock;
  const auto pair = [&](edge::PeerId id) {
    tcp::acceptor acceptor(door.io, {asio::ip::address_v4::loopback(), 0});
    door.clients.emplace_back(door.io).connect(acceptor.local_endpoint());
    static const std::optional<double> hint;
    auto peer = std::make_shared<net::ClientConnection>(acceptor.accept(), id, door.catalog, door.mailbox,
                                                        hint, door.log);
    asio::co_spawn(
        door.io, [peer]() -> asio::awaitable<void> { co_await peer->run(); }, asio::detached);
    door.run([] { return true; });
    return peer;
  };
  const auto silent = pair(edge::PeerId{1001}), late = pair(edge::PeerId{1002}),
             slow = pair(edge::PeerId{1003});
  const auto whole = request(1);
  auto& late_client = *std::next(door.clients.begin());
  door.write(late_client, whole);  // as if the process had stood still since it came
  late->enforce_timeouts(Clock::now() + 10s);
  door.run([&] { return door.requests() == 1; });
  for (int i = 0; i < 50; ++i) door.run([] { return true; });
  CHECK(late_client.available() == 0);  // no word of an end
  door.write(door.clients.back(), whole.substr(0, 20));
  door.run([&] { return slow->has_partial_message(); });
  slow->enforce_timeouts(slow->opened_at() + 2400ms);
  door.write(door.clients.back(), whole.substr(20));
  door.run([&] { return door.requests() == 2; });
  for (int i = 0; i < 50; ++i) door.run([] { return true; });
  CHECK(door.clients.back().available() == 0);
  silent->enforce_timeouts(silent->opened_at() + 1400ms);
  CHECK(silent->is_open());
  silent->enforce_timeouts(silent->opened_at() + 1600ms);
  door.run([&] { return silent->is_lingering(); });
}

}  // namespace
}  // namespace granitegap
