// Tests of the admin listener of a real process: health, quiesce and resume.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <list>

#include "server_process.h"

namespace granitegap::fleet {
namespace {

using standin::Client;

TEST(AdminProcess, RepliesWhileDescriptorsAreUsedUpAndCallersAreIdle) {
  auto options = hot_restart_options();
  options.max_sockets = 96;
  ServerProcesses server(options);
  server.start_healthy();
  std::list<Client> idle_clients;
  for (int k = 0; k < 120; ++k) idle_clients.emplace_back(server.client_port()).check_health();
  boost::asio::io_context io;
  std::list<boost::asio::ip::tcp::socket> idle_callers;
  for (int k = 0; k < 40; ++k) {
    auto& caller = idle_callers.emplace_back(io);
    caller.connect({boost::asio::ip::address_v4::loopback(), server.admin_port(kServer)});
    const bool sends_half_a_line = k % 2 != 0;
    if (sends_half_a_line) boost::asio::write(caller, boost::asio::buffer("heal", 4));
  }
  EXPECT_EQ(server.admin_command(kServer, "health"), "OK serving");
  for (const auto* line : {"", "Health", "health now", "\x01\xff", "quiescent"})
    EXPECT_TRUE(server.admin_command(kServer, line).starts_with("ERR ")) << line;
  EXPECT_EQ(server.admin_command(kServer, std::string(5000, 'x')), "ERR line too long");
  EXPECT_EQ(server.admin_command(kServer, "health\r"), "OK serving");  // rejected lines changed nothing
}

TEST(AdminProcess, QuiesceFailsHealthChecksAndStillServes) {
  ServerProcesses server(hot_restart_options());
  server.start_healthy();
  Client checks(server.client_port()), requests(server.client_port());
  EXPECT_EQ(checks.check_health(), true);
  for (int round = 0; round < 2; ++round) {
    EXPECT_EQ(server.admin_command(kServer, "quiesce"), "OK quiesced");
    EXPECT_EQ(checks.check_health(), false);
    EXPECT_TRUE(is_served(requests.call(kTile)));
    EXPECT_TRUE(is_served(server.send_request()));
  }
  EXPECT_EQ(server.admin_command(kServer, "health"), "OK quiesced");
}

TEST(AdminProcess, AReloadKeepsTheQuiescedStateAndResumeEndsIt) {
  ServerProcesses server(hot_restart_options());
  server.start_healthy();
  Client checks(server.client_port());
  EXPECT_EQ(server.admin_command(kServer, "quiesce"), "OK quiesced");
  EXPECT_EQ(checks.check_health(), false);
  server.send_signal(SIGHUP);
  ASSERT_TRUE(server.wait_for_log(kServer, "reload: kernel at"));
  EXPECT_EQ(checks.check_health(), false);
  EXPECT_EQ(server.admin_command(kServer, "resume"), "OK serving");
  EXPECT_EQ(server.admin_command(kServer, "resume"), "OK serving");
  EXPECT_EQ(checks.check_health(), true);
}

TEST(AdminProcess, ADrainingProcessCannotBeResumed) {
  ServerProcesses server(hot_restart_options());
  server.start_healthy();
  EXPECT_EQ(server.admin_command(kServer, "quiesce"), "OK quiesced");
  Client client(server.client_port());
  server.terminate(kServer);
  ASSERT_TRUE(server.wait_for_log(kServer, "shutdown requested"));
  EXPECT_EQ(server.admin_command(kServer, "resume"), "ERR stopping: nothing leads back");
  EXPECT_EQ(server.admin_command(kServer, "health"), "ERR stopping");
  EXPECT_EQ(client.check_health(), false);
  server.expect_graceful_shutdown(kServer);
}

}  // namespace
}  // namespace granitegap::fleet
