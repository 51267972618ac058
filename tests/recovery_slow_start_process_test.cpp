// Process tests of state transfer and slow start after restarts, pauses and partitions.
#include "recovery_process_fixture.h"

namespace granitegap::fleet {
namespace {

// One process restarts in a healthy fleet: it receives warm state from three donors, ramps to full service,
// and reports how long each step took.
TEST(RecoveryProcess, ARestartedProcessReceivesWarmStateFromDonors) {
  SlowStartFleet fleet(5);
  fleet.start_converged();
  fleet.kill("n2");
  fleet.start("n2");
  ASSERT_TRUE(fleet.wait_until_all_in_full_service()) << fleet.describe();
  const auto report = fleet.recovery_report("n2");
  ASSERT_TRUE(report);
  EXPECT_EQ(report->sources.size(), 3u) << fleet.log("n2");
  EXPECT_EQ(report->offered, 100);
  EXPECT_FALSE(report->bounded);
  for (const auto ms : report->reached_ms) EXPECT_GE(ms, 0) << fleet.log("n2");
  EXPECT_LE(report->reached_ms[2], report->reached_ms[4]);  // half of full service before full service
  EXPECT_TRUE(fleet.has_logged("recovery: full service after", "n2"));
  EXPECT_TRUE(fleet.wait_until(
      [&] {
        const auto view = fleet.view("n0");
        for (const auto& member : view->members)
          if (member.name == "n2") return member.recovery_status.full_service_ms > 0;
        return false;
      },
      kConditionTimeout));
}

TEST(RecoveryProcess, TheRecoveryCommandPrintsTheReport) {
  SlowStartFleet fleet(1);
  fleet.start_serving();
  const auto address = membership_udp::text_of(fleet.bound("n0"));
  const auto run_recovery = [&](const std::string& arguments) {
    return fleet.run_command("recovery " + arguments);
  };
  const auto [exit_status, text] = run_recovery(address + " --json");
  EXPECT_EQ(exit_status, 0);
  for (const char* field : {"state", "since_ms", "kind", "offered", "left_ms", "learned_from", "full_ms"})
    EXPECT_NE(text.find(std::string("\"") + field + "\""), std::string::npos) << text;
  EXPECT_EQ(run_recovery(address).exit_status, 0);
  EXPECT_EQ(run_recovery("nowhere").exit_status, 2);
}

// All members restart at once, and again while they ramp. There are no donors then, and no process may wait
// for one: all reach full service.
TEST(RecoveryProcess, AFleetRestartedTwiceReachesFullServiceWithoutDonors) {
  SlowStartFleet fleet(6);
  fleet.start_converged();
  for (int round = 0; round < 2; ++round) {
    for (const auto& name : fleet.names()) fleet.kill(name);
    for (const auto& name : fleet.names()) fleet.start(name);
    if (round == 0) {
      ASSERT_TRUE(fleet.wait_until(
          [&] { return fleet.recovery_report("n0") && fleet.recovery_report("n0")->phase == "ramping"; },
          kConditionTimeout))
          << fleet.describe();
    }
  }
  ASSERT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kConditionTimeout)) << fleet.describe();
  ASSERT_TRUE(fleet.wait_until_all_in_full_service()) << fleet.describe();
  for (const auto& name : fleet.names())
    EXPECT_TRUE(fleet.recovery_report(name)->sources.empty()) << fleet.log(name);
}

// Most of the fleet restarts. The survivors bound their expected waits until the others have recovered.
TEST(RecoveryProcess, SurvivorsBoundExpectedWaitsUntilTheOthersRecover) {
  SlowStartFleet fleet(6);
  fleet.start_converged();
  for (const char* name : {"n2", "n3", "n4", "n5"}) fleet.kill(name);
  for (const char* name : {"n2", "n3", "n4", "n5"}) fleet.start(name);
  EXPECT_TRUE(fleet.wait_until(
      [&] { return fleet.has_logged("expected waits are bounded while other members recover", "n0"); },
      kConditionTimeout));
  ASSERT_TRUE(fleet.wait_until_all_in_full_service()) << fleet.describe();
  EXPECT_TRUE(fleet.wait_until(
      [&] { return !fleet.recovery_report("n0")->bounded && !fleet.recovery_report("n1")->bounded; },
      kConditionTimeout))
      << fleet.log("n0");
}

// A process that restarts during a partition receives warm state only from its own side.
TEST(RecoveryProcess, DuringAPartitionOnlyMembersOfTheSameSideAreDonors) {
  SlowStartFleet fleet(6);
  fleet.start_converged();
  fleet.partition({"n0", "n1", "n2"}, {"n3", "n4", "n5"}, true);
  ASSERT_TRUE(fleet.wait_until(
      [&] {
        for (const char* member : {"n0", "n1", "n2"})
          for (const char* other : {"n3", "n4", "n5"})
            if (fleet.status_of(member, other) == membership::Status::alive) return false;
        return true;
      },
      kConditionTimeout));
  fleet.kill("n2");
  fleet.start("n2");
  ASSERT_TRUE(fleet.wait_until(
      [&] {
        return fleet.has_logged("recovery: warm state received from", "n2") && fleet.recovery_report("n2");
      },
      kConditionTimeout));
  const auto report = fleet.recovery_report("n2").value();
  for (const auto& source : report.sources)
    EXPECT_TRUE(source.name == "n0" || source.name == "n1") << source.name;
  fleet.heal_all();
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kConditionTimeout));
  EXPECT_TRUE(fleet.wait_until_all_in_full_service());
}

// A donor that is paused during the transfer is replaced by another. What it sends after it resumes is
// discarded.
TEST(RecoveryProcess, APausedDonorIsReplacedByAnother) {
  SlowStartFleet fleet(6, "learn_most: 5s");
  fleet.start_converged();
  const auto before = fleet.count_in_log("n0", "recovery: warm state received from");
  fleet.kill("n0");
  fleet.pause("n3");  // in the zone of n0, so queried first
  fleet.start("n0");
  ASSERT_TRUE(fleet.wait_until_transfer_ended("n0")) << fleet.log("n0");
  const auto report = fleet.recovery_report("n0").value();
  for (const auto& source : report.sources) EXPECT_NE(source.name, "n3");
  fleet.resume("n3");
  ASSERT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kConditionTimeout));
  EXPECT_EQ(fleet.count_in_log("n0", "recovery: warm state received from"), before + 1);  // once per process
}

// A donor crashes during the transfer, after it has accepted the connection and the query.
TEST(RecoveryProcess, ADonorThatCrashesDuringTheTransferIsReplacedByAnother) {
  SlowStartFleet fleet(6, "learn_most: 10s");
  fleet.start_converged();
  fleet.kill("n0");
  fleet.pause("n3");  // in the zone of n0, so queried first
  fleet.start("n0");
  ASSERT_TRUE(fleet.wait_until(
      [&] { return fleet.recovery_report("n0") && fleet.recovery_report("n0")->phase != "blank"; },
      kConditionTimeout));
  fleet.kill("n3");
  ASSERT_TRUE(fleet.wait_until_transfer_ended("n0")) << fleet.log("n0");
  const auto report = fleet.recovery_report("n0").value();
  for (const auto& source : report.sources) EXPECT_NE(source.name, "n3");
  ASSERT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kConditionTimeout));
}

// Kernels that stay slow after a restart: the ramp ends at the throughput that they sustain, which counts as
// full service.
TEST(RecoveryProcess, FullServiceIsReachedWithAKernelThatStaysCold) {
  SlowStartFleet fleet(2);
  for (const auto& name : fleet.names()) fleet.set_speed(name, {0.1, 10min, 8});
  fleet.start_converged();
  for (const auto& name : fleet.names()) {
    fleet.kill(name);
    fleet.reboot_kernel(name);
  }
  for (const auto& name : fleet.names()) fleet.start(name);
  ASSERT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kConditionTimeout));
  EXPECT_TRUE(fleet.wait_until_all_in_full_service()) << fleet.describe();
}

// After a pause longer than recovery.pause_most a process treats its own state as outdated and recovers from
// the other members.
TEST(RecoveryProcess, ALongPauseStartsARecovery) {
  SlowStartFleet fleet(4, "pause_most: 1s");
  fleet.start_converged();
  fleet.pause("n1");
  ASSERT_TRUE(
      fleet.wait_until([&] { return fleet.all_report("n1", membership::Status::dead); }, kConditionTimeout));
  fleet.resume("n1");
  EXPECT_TRUE(fleet.wait_until(
      [&] { return fleet.has_logged("this process was paused for longer than recovery.pause_most", "n1"); },
      kConditionTimeout))
      << fleet.log("n1");
  ASSERT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kConditionTimeout));
  ASSERT_TRUE(fleet.wait_until_all_in_full_service()) << fleet.describe();
  EXPECT_EQ(fleet.recovery_report("n1")->recoveries, 1u);
}

// The kernel restarts while the process keeps running: the kernel is cold, so the recovery starts again.
TEST(RecoveryProcess, AKernelRebootStartsARecovery) {
  SlowStartFleet fleet(1);
  fleet.set_speed("n0", {0.5, 300ms, 8});
  fleet.start_serving();
  ASSERT_TRUE(fleet.wait_until_all_in_full_service());
  fleet.reboot_kernel("n0");
  EXPECT_TRUE(
      fleet.wait_until([&] { return fleet.recovery_report("n0")->recoveries == 1; }, kConditionTimeout))
      << fleet.log("n0");
  EXPECT_TRUE(fleet.wait_until_all_in_full_service());
}

// Shutdown is requested during the state transfer, and during the ramp: all requests that were read are
// answered.
TEST(RecoveryProcess, ShutdownDuringRecoveryAnswersAllRequests) {
  for (const char* phase : {"learning", "ramping"}) {
    SlowStartFleet fleet(2, "learn_most: 20s, first: 0.01, growth: 1.1");
    fleet.start("n0");
    ASSERT_TRUE(fleet.wait_until([&] { return fleet.port("n0") != 0 && fleet.serves_reads("n0"); },
                                 kConditionTimeout));
    if (phase == std::string("ramping")) {
      fleet.start("n1");  // has no warm state either, so no donor remains
    }
    ASSERT_TRUE(
        fleet.wait_until([&] { return fleet.recovery_report("n0")->phase == phase; }, kConditionTimeout))
        << fleet.log("n0");
    standin::Client caller(fleet.port("n0"));
    std::thread request([&] {
      const auto response = caller.call({"tile", "x", {}, {}, 5});
      EXPECT_TRUE(response.has_value());
    });
    fleet.terminate("n0");
    request.join();
    EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_exited("n0"); }, kConditionTimeout));
    EXPECT_EQ(fleet.exit_status("n0"), 0);
    EXPECT_TRUE(fleet.has_logged("stopped: all requests answered")) << fleet.log("n0");
  }
}

}  // namespace
}  // namespace granitegap::fleet
