// Tests of a real process whose kernel comes up late, after a shutdown, a handover or a quiesce has begun.
// The kernel leaves the link's OPEN unanswered until the test releases it.
#include <chrono>
#include <string>

#include "server_process.h"

namespace granitegap::fleet {
namespace {

using namespace std::chrono_literals;
using standin::Client;

constexpr char kKernelUpMessage[] = "connected to the kernel";
constexpr auto kEndlessRun = 600s;  // no run ends before the process is stopped

class LateKernelProcesses : public ServerProcesses {
 public:
  using ServerProcesses::ServerProcesses;

  // Starts the first process while its kernel is not up.
  void start_without_kernel() {
    hold_kernel_boot(kServer, true);
    start(kServer);
    ASSERT_TRUE(wait_for_log(kServer, "listening on")) << log(kServer);
  }
  void terminate_and_wait(const std::string& name) {
    terminate(name);
    ASSERT_TRUE(wait_for_log(name, kShutdownMessage)) << log(name);
  }
  void release_kernel(const std::string& name) {
    hold_kernel_boot(name, false);
    ASSERT_TRUE(wait_for_log(name, kKernelUpMessage)) << log(name);
  }
};

// Guards against requests that are left unanswered at the stop, because their runs outlast it.
TEST(LateKernelProcess, RequestsDuringADrainThatBeganBeforeTheKernelStartedAreAnswered) {
  auto options = platform_options();
  options.run_cost = kEndlessRun;
  LateKernelProcesses server(options);
  server.start_without_kernel();
  Client first(server.client_port()), second(server.client_port());
  server.terminate_and_wait(kServer);
  server.release_kernel(kServer);
  first.send(kTile);
  second.send(keyed_request(kKey));
  EXPECT_TRUE(first.receive()) << server.log(kServer);
  EXPECT_TRUE(second.receive()) << server.log(kServer);
  server.expect_graceful_shutdown(kServer);
}

TEST(LateKernelProcess, ShortRunsDuringADrainThatBeganBeforeTheKernelStartedAreServed) {
  LateKernelProcesses server(platform_options());
  server.start_without_kernel();
  Client client(server.client_port());
  server.terminate_and_wait(kServer);
  server.release_kernel(kServer);
  EXPECT_TRUE(is_served(client.call(kTile))) << server.log(kServer);
  EXPECT_EQ(client.check_health(), false);
  server.expect_graceful_shutdown(kServer);
}

// The same fault in a process that hands over: its runs outlast its time limit.
TEST(LateKernelProcess, RequestsDuringAHandoverThatBeganBeforeTheKernelStartedAreAnswered) {
  auto options = hot_restart_options();
  options.run_cost = kEndlessRun;
  LateKernelProcesses servers(options);
  servers.start_without_kernel();
  Client client(servers.client_port());
  EXPECT_EQ(client.check_health(), true);  // the process has accepted this connection
  const auto successor = servers.start_successor();
  servers.terminate(kServer);
  ASSERT_TRUE(servers.wait_for_log(kServer, kHandoverMessage)) << servers.log(kServer);
  servers.release_kernel(kServer);
  client.send(kTile);
  EXPECT_TRUE(client.receive()) << servers.log(kServer);
  EXPECT_EQ(client.check_health(), true);  // a failed check would count against the successor too
  servers.expect_graceful_shutdown(kServer);
  EXPECT_FALSE(servers.has_exited(successor));
}

// A process that stops is no successor, although its kernel comes up then.
TEST(LateKernelProcess, AKernelThatStartsDuringADrainMakesTheProcessNoSuccessor) {
  LateKernelProcesses servers(hot_restart_options());
  servers.start_without_kernel();
  const auto leaving = servers.start_duplicate(kServer, false);
  ASSERT_TRUE(servers.wait_for_log(leaving, "listening on")) << servers.log(leaving);
  servers.terminate_and_wait(leaving);
  EXPECT_FALSE(servers.has_logged(leaving, kHandoverMessage));  // the other one does not serve yet
  servers.release_kernel(kServer);
  servers.release_kernel(leaving);
  servers.terminate_and_wait(kServer);
  EXPECT_FALSE(servers.has_logged(kServer, kHandoverMessage));
  servers.expect_graceful_shutdown(leaving);
  servers.expect_graceful_shutdown(kServer);
}

TEST(LateKernelProcess, AQuiesceBeforeTheKernelStartsLastsUntilTheResume) {
  LateKernelProcesses server(hot_restart_options());
  server.start_without_kernel();
  ASSERT_TRUE(server.wait_until([&] { return server.admin_port(kServer) != 0; }, kConditionTimeout));
  EXPECT_EQ(server.admin_command(kServer, "quiesce"), "OK quiesced");
  server.release_kernel(kServer);
  Client client(server.client_port());
  ASSERT_TRUE(server.wait_until([&] { return is_served(client.call(kTile)); }, kConditionTimeout));
  EXPECT_EQ(client.check_health(), false);
  EXPECT_EQ(server.admin_command(kServer, "resume"), "OK serving");
  EXPECT_EQ(client.check_health(), true);
}

// The operators' page says that a member without a kernel is `starting`, and one that leaves is `draining`.
TEST(LateKernelProcess, AMemberThatLeavesBeforeItsKernelStartsIsShownAsDraining) {
  auto options = platform_options();
  options.with_operator_file = true;
  options.with_membership = true;
  options.membership_fields = "period: 200ms";
  LateKernelProcesses server(options);
  server.start_without_kernel();
  const auto is_shown_as = [&](membership::Stage stage) {
    const auto view = server.view(kServer);
    return view && view->stage == stage;
  };
  EXPECT_TRUE(server.wait_until([&] { return is_shown_as(membership::Stage::starting); }, kConditionTimeout));
  server.terminate_and_wait(kServer);
  EXPECT_TRUE(server.wait_until(
      [&] { return server.has_exited(kServer) || is_shown_as(membership::Stage::draining); },
      kConditionTimeout));
  EXPECT_FALSE(server.has_exited(kServer)) << "it was never shown as draining";
  server.expect_graceful_shutdown(kServer);
}

}  // namespace
}  // namespace granitegap::fleet
