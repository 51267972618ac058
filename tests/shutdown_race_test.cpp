// Tests of races between the graceful shutdown of a real process and a connection, a request, a reload or the
// start of the process. Each race is forced by pausing the process (SIGSTOP), by sending a message in two
// parts, or by two signals that are pending together.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <list>

#include "server_process.h"

namespace granitegap::fleet {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::udp;
using standin::Client;

TEST(ShutdownRace, ARequestOnAConnectionAcceptedBeforeTheSignalIsAnswered) {
  ServerProcesses server(platform_options());
  server.start_serving();
  Client client(server.client_port());
  server.send_signal(SIGTERM);
  ASSERT_TRUE(server.wait_for_log(kServer, kShutdownMessage));
  EXPECT_TRUE(client.call(kTile)) << server.log(kServer);
  server.expect_graceful_shutdown(kServer);
}

TEST(ShutdownRace, ARequestInTheBacklogAtTheSignalIsAnswered) {
  ServerProcesses server(platform_options());
  server.start_serving();
  server.pause(kServer);
  Client client(server.client_port());
  client.send(kTile);
  server.send_signal(SIGTERM);
  server.resume(kServer);
  EXPECT_TRUE(client.receive()) << server.log(kServer);
  server.expect_graceful_shutdown(kServer);
}

TEST(ShutdownRace, ARequestHalfSentAtTheSignalIsAnsweredOnceItIsComplete) {
  ServerProcesses server(platform_options());
  server.start_serving();
  Client client(server.client_port());
  client.send_prefix(kTile, 20);
  server.send_signal(SIGTERM);
  ASSERT_TRUE(server.wait_for_log(kServer, kShutdownMessage));
  client.send_remainder();
  EXPECT_TRUE(client.receive()) << server.log(kServer);
  server.expect_graceful_shutdown(kServer);
}

TEST(ShutdownRace, ASignalDirectlyAfterAReloadLetsTheRunningRequestFinish) {
  auto options = platform_options();
  options.run_cost = 300ms;
  ServerProcesses server(options);
  server.start_serving();
  Client client(server.client_port());
  client.send(keyed_request(kKey, 300));
  ASSERT_TRUE(server.wait_until([&] { return server.run_count(kServer, kKey) == 1; }, kConditionTimeout));
  server.pause(kServer);  // so that both signals are pending at the same time
  server.send_signal(SIGHUP);
  server.send_signal(SIGTERM);
  server.resume(kServer);
  EXPECT_TRUE(is_served(client.receive())) << server.log(kServer);
  server.expect_graceful_shutdown(kServer);
  EXPECT_EQ(server.run_count(kServer, kKey), 1);
}

TEST(ShutdownRace, ASignalAsSoonAsTheListenerIsOpenEndsTheProcessGracefully) {
  ServerProcesses server(platform_options());
  server.start(kServer);
  ASSERT_TRUE(server.wait_for_log(kServer, "listening on"));
  server.send_signal(SIGTERM);
  server.expect_graceful_shutdown(kServer);
}

// Receives load reports on a UDP port that is chosen at construction and opened by open().
class ReportReceiver {
 public:
  ReportReceiver() : socket_(io_, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    endpoint_ = socket_.local_endpoint();
    socket_.close();
  }
  std::uint16_t port() const { return endpoint_.port(); }
  void open() {
    socket_.open(udp::v4());
    socket_.bind(endpoint_);
  }
  std::string receive() {
    char report[64];
    const auto size = socket_.receive(boost::asio::buffer(report));
    return {report, size};
  }

 private:
  boost::asio::io_context io_;
  udp::socket socket_;
  udp::endpoint endpoint_;
};

TEST(ShutdownRace, ReportsReachALateReceiverWhileIdleClientsUseUpTheDescriptors) {
  ReportReceiver receiver;
  auto options = platform_options();
  options.max_sockets = 64;
  options.load_report_port = receiver.port();
  ServerProcesses server(options);
  server.start_serving();
  std::list<Client> idle_clients;
  for (int k = 0; k < 100; ++k) idle_clients.emplace_back(server.client_port()).check_health();
  EXPECT_TRUE(server.wait_until([&] { return is_served(server.send_request()); }, kConditionTimeout))
      << server.log(kServer);
  receiver.open();
  EXPECT_EQ(receiver.receive(), "announce n0 true");
  server.send_signal(SIGTERM);
  std::string last;
  while (last != "announce n0 false") last = receiver.receive();
  server.expect_graceful_shutdown(kServer);
}

}  // namespace
}  // namespace granitegap::fleet
