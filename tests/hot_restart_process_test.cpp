// Tests of hot restart between real processes that inherit one client socket: the old process hands over to
// its successor, and the request of an idempotency key runs once, whichever process its attempts reach.
#include <algorithm>
#include <chrono>
#include <cstdio>

#include "server_process.h"

namespace granitegap::fleet {
namespace {

using namespace std::chrono_literals;
using standin::Client;

int total_run_count(const ServerProcesses& servers, const std::string& successor, const std::string& key) {
  return servers.run_count(kServer, key) + servers.run_count(successor, key);
}

// ---- Handover ----

TEST(HotRestart, ARunningRequestIsAnsweredAndTheSuccessorAcceptsNewOnes) {
  auto options = hot_restart_options();
  options.run_cost = 400ms;
  ServerProcesses servers(options);
  servers.start_healthy();
  Client client(servers.client_port());
  client.send(keyed_request(kKey, 400));
  ASSERT_TRUE(servers.wait_until([&] { return servers.run_count(kServer, kKey) == 1; }, kConditionTimeout));
  const auto successor = servers.start_successor();
  servers.terminate(kServer);
  ASSERT_TRUE(servers.wait_for_log(kServer, kHandoverMessage)) << servers.log(kServer);
  EXPECT_TRUE(is_served(client.receive())) << servers.log(kServer);
  EXPECT_TRUE(is_served(servers.send_request())) << servers.log(successor);
  EXPECT_EQ(Client(servers.client_port()).check_health(), true);
  servers.expect_graceful_shutdown(kServer);
  EXPECT_FALSE(servers.has_exited(successor));
  EXPECT_EQ(total_run_count(servers, successor, kKey), 1);
}

TEST(HotRestart, ARequestHalfReadAtTheShutdownIsAnsweredByTheProcessThatReadIt) {
  ServerProcesses servers(hot_restart_options());
  servers.start_healthy();
  Client idle_client(servers.client_port()), half_client(servers.client_port());
  EXPECT_TRUE(is_served(idle_client.call(kTile)));
  half_client.send_prefix(kTile, 20);
  EXPECT_TRUE(is_served(idle_client.call(kTile)));  // the server has read the first half by now
  const auto successor = servers.start_successor();
  servers.terminate(kServer);
  ASSERT_TRUE(servers.wait_for_log(kServer, kHandoverMessage));
  half_client.send_remainder();
  EXPECT_TRUE(is_served(half_client.receive())) << servers.log(kServer);
  // A request on an idle connection, sent before the client has handled the GOAWAY.
  EXPECT_TRUE(is_served(idle_client.call(kTile))) << servers.log(kServer);
  EXPECT_EQ(idle_client.check_health(), true);  // a failed check would count against the successor too
  servers.expect_graceful_shutdown(kServer);
  EXPECT_FALSE(servers.has_exited(successor));
}

TEST(HotRestart, WithoutASuccessorThatServesTheBacklogIsAnswered) {
  ServerProcesses servers(hot_restart_options());
  servers.start_healthy();
  const auto unready = servers.start_duplicate(kServer, false);
  ASSERT_TRUE(servers.wait_until([&] { return servers.admin_port(unready) != 0; }, kConditionTimeout));
  EXPECT_TRUE(servers.admin_command(unready, "health").starts_with("ERR starting"));
  servers.pause(unready);  // it holds the socket and accepts no connection
  EXPECT_TRUE(is_served(servers.send_request()));
  servers.pause(kServer);
  Client client(servers.client_port());
  client.send(kTile);
  servers.terminate(kServer);
  servers.resume(kServer);
  EXPECT_TRUE(is_served(client.receive())) << servers.log(kServer);
  servers.expect_graceful_shutdown(kServer);
  EXPECT_FALSE(servers.has_logged(kServer, kHandoverMessage));
}

// The successor is terminated while the old process is still draining: it drains by itself and does not hand
// over to the old process.
TEST(HotRestart, ADrainingProcessIsNotASuccessor) {
  ServerProcesses servers(hot_restart_options());
  servers.start_healthy();
  Client idle_client(servers.client_port());
  EXPECT_TRUE(is_served(idle_client.call(kTile)));  // an open connection keeps the old process running
  const auto successor = servers.start_successor();
  servers.terminate(kServer);
  ASSERT_TRUE(servers.wait_for_log(kServer, kHandoverMessage));
  servers.pause(successor);
  servers.pause(kServer);  // keeps it alive on a fast machine
  Client client(servers.client_port());
  client.send(kTile);
  servers.terminate(successor);
  servers.resume(successor);
  EXPECT_TRUE(is_served(client.receive())) << servers.log(successor);
  EXPECT_FALSE(servers.has_logged(successor, kHandoverMessage)) << servers.log(successor);
  servers.expect_graceful_shutdown(successor);
  servers.resume(kServer);
}

TEST(HotRestart, TheThirdProcessInARowKnowsTheKeysOfTheFirst) {
  ServerProcesses servers(hot_restart_options());
  servers.start_healthy();
  EXPECT_TRUE(is_served(servers.send_request(keyed_request(kKey))));
  const auto second = servers.start_successor();
  EXPECT_EQ(servers.admin_command(kServer, "quiesce"), "OK quiesced");
  servers.terminate(kServer);
  servers.expect_graceful_shutdown(kServer);
  EXPECT_TRUE(servers.has_logged(kServer, kHandoverMessage));
  EXPECT_EQ(Client(servers.client_port()).check_health(), true);
  servers.start_healthy();  // the third process, with the directory of the first
  servers.terminate(second);
  servers.expect_graceful_shutdown(second);
  EXPECT_TRUE(servers.has_logged(second, kHandoverMessage));
  EXPECT_TRUE(is_served(servers.send_request()));
  EXPECT_TRUE(is_rejected(servers.send_request(keyed_request(kKey))));
  EXPECT_EQ(servers.run_count(kServer, kKey), 1);
}

// ---- Leases on idempotency keys ----

TEST(HotRestart, AKeyRunsOnceWhicheverProcessItsAttemptsReach) {
  ServerProcesses servers(hot_restart_options());
  servers.start_healthy();
  const auto successor = servers.start_successor();
  EXPECT_TRUE(is_served(servers.send_request_while_stopped(successor, keyed_request(kKey))));
  EXPECT_TRUE(is_rejected(servers.send_request_while_stopped(kServer, keyed_request(kKey))));
  EXPECT_TRUE(is_served(servers.send_request_while_stopped(kServer, keyed_request(kOtherKey))));
  EXPECT_TRUE(is_rejected(servers.send_request_while_stopped(successor, keyed_request(kOtherKey))));
  for (const auto* key : {kKey, kOtherKey}) EXPECT_EQ(total_run_count(servers, successor, key), 1) << key;
}

// Kills one of two processes between the lease and the result: the other process must not run the key.
void expect_key_of_killed_process_is_not_run(ServerProcesses& servers, const std::string& successor,
                                             const std::string& killed, const std::string& survivor) {
  servers.pause(survivor);
  Client client(servers.client_port());
  client.send(keyed_request(kKey));
  ASSERT_TRUE(servers.wait_until([&] { return servers.run_count(killed, kKey) == 1; }, kConditionTimeout));
  servers.kill(killed);
  servers.resume(survivor);
  EXPECT_TRUE(is_rejected(servers.send_request(keyed_request(kKey)))) << servers.log(survivor);
  EXPECT_EQ(total_run_count(servers, successor, kKey), 1);
}

ProcessFleetOptions slow_run_options() {
  auto options = hot_restart_options();
  options.run_cost = 20s;
  return options;
}

TEST(HotRestart, AKeyOfAKilledOldProcessIsNotRunByItsSuccessor) {
  ServerProcesses servers(slow_run_options());
  servers.start_healthy();
  const auto successor = servers.start_successor();
  expect_key_of_killed_process_is_not_run(servers, successor, kServer, successor);
}

TEST(HotRestart, AKeyOfAKilledSuccessorIsNotRunByTheOldProcessWhichThenDrainsAlone) {
  ServerProcesses servers(slow_run_options());
  servers.start_healthy();
  const auto successor = servers.start_successor();
  expect_key_of_killed_process_is_not_run(servers, successor, successor, kServer);
  servers.terminate(kServer);
  servers.expect_graceful_shutdown(kServer);
  EXPECT_FALSE(servers.has_logged(kServer, kHandoverMessage));
}

TEST(HotRestart, WithoutASharedDirectoryNoKeyedRequestRunsAndReadsAreServed) {
  auto options = hot_restart_options();
  options.create_shared_folder = false;
  ServerProcesses servers(options);
  servers.start_healthy();
  EXPECT_TRUE(is_served(servers.send_request()));
  const auto rejected = servers.send_request(keyed_request(kKey));
  ASSERT_TRUE(is_rejected(rejected));
  EXPECT_EQ(rejected->retry_after, 0ms);  // only this request is rejected: the server is not overloaded
  EXPECT_EQ(servers.run_count(kServer, kKey), 0);
  EXPECT_TRUE(servers.has_logged(kServer, "no keyed request runs"));
}

// ---- Environment variables ----

struct CommandResult {
  int status = -1;
  std::string output;
};

// Runs the program with additional environment variables.
CommandResult run_program(const ServerProcesses& servers, const std::string& environment) {
  const auto config = (servers.state_folder(kServer).parent_path() / "config.json").string();
  const auto command =
      "env -u EDGE_FD -u EDGE_ADMIN_ADDR EDGE_CONFIG=" + config + " " + environment + " " PROGRAM " 2>&1";
  CommandResult result;
  auto* pipe = ::popen(command.c_str(), "r");
  char chunk[256];
  for (std::size_t size; (size = ::fread(chunk, 1, sizeof chunk, pipe)) > 0;)
    result.output.append(chunk, size);
  result.status = WEXITSTATUS(::pclose(pipe));
  return result;
}

TEST(HotRestart, AnUnusableSocketOrAdminAddressCausesOneErrorLineAndExitStatusTwo) {
  ServerProcesses servers(hot_restart_options());
  servers.start_healthy();
  const auto address_in_use = "EDGE_ADMIN_ADDR=127.0.0.1:" + std::to_string(servers.admin_port(kServer));
  const std::string environments[] = {
      "EDGE_FD=x",   "EDGE_FD=99", "EDGE_FD=0", "EDGE_ADMIN_ADDR=nowhere", "EDGE_ADMIN_ADDR=host:99",
      address_in_use};
  for (const auto& environment : environments) {
    const auto [status, output] = run_program(servers, environment);
    EXPECT_EQ(status, 2) << environment << ": " << output;
    EXPECT_EQ(std::count(output.begin(), output.end(), '\n'), 1) << environment << ": " << output;
  }
}

}  // namespace
}  // namespace granitegap::fleet
