// Process tests of the restart quarantine, shutdown records and snapshots. Each process has a stand-in kernel
// that outlives it. The tests check the runs counted by the kernel, never durations.
#include "recovery_process_fixture.h"

namespace granitegap::fleet {
namespace {

// Control for the tests below: they prove nothing unless the same report runs twice without the quarantine.
TEST(RecoveryProcess, WithoutTheQuarantineAReportRunsTwice) {
  RecoveryFleet fleet(recovery_options("recovery: {after_lost_memory: \"go_on\"}"));
  fleet.start_serving();
  EXPECT_EQ(fleet.send_report(kKey)->code, standin::ResponseCode::served);
  fleet.kill("n0");
  fleet.start_serving();
  EXPECT_EQ(fleet.send_report(kKey)->code, standin::ResponseCode::served);
  EXPECT_EQ(fleet.run_count(kKey), 2);
}

TEST(RecoveryProcess, AfterACrashKeyedRequestsAreRejectedAndReadsAreServed) {
  RecoveryFleet fleet(recovery_options(kDefaultRecovery));
  fleet.start_serving();
  EXPECT_EQ(fleet.send_report_until_accepted(kKey)->code, standin::ResponseCode::served);
  fleet.kill("n0");
  fleet.start_serving();  // serves reads at once
  const auto rejected = fleet.send_report(kKey);
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->code, standin::ResponseCode::rejected);
  EXPECT_GT(rejected->retry_after, 0ms);
  EXPECT_FALSE(rejected->hint.empty());
  EXPECT_EQ(fleet.run_count(kKey), 1);
  // Served after the idempotency window.
  EXPECT_EQ(fleet.send_report_until_accepted(kOtherKey)->code, standin::ResponseCode::served);
  EXPECT_EQ(fleet.run_count(kKey), 1);
}

// After a recorded graceful shutdown the next process shortens the restart quarantine.
TEST(RecoveryProcess, AShutdownRecordIsWrittenOnShutdownAndRemovedByTheNextProcess) {
  RecoveryFleet fleet(recovery_options(kRecoveryWithFolder));
  fleet.start_serving();
  EXPECT_EQ(fleet.send_report_until_accepted(kKey)->code, standin::ResponseCode::served);
  fleet.terminate("n0");
  ASSERT_TRUE(fleet.wait_until([&] { return fleet.has_exited("n0"); }, kConditionTimeout));
  EXPECT_TRUE(std::filesystem::exists(fleet.state_folder("n0") / "ended")) << fleet.log("n0");
  fleet.start_serving();
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_logged("the previous process shut down gracefully"); },
                               kConditionTimeout));
  EXPECT_FALSE(std::filesystem::exists(fleet.state_folder("n0") / "ended"));
  EXPECT_EQ(fleet.send_report_until_accepted(kOtherKey)->code, standin::ResponseCode::served);
}

// The first of three processes shuts down gracefully and the second crashes. The third must not use the
// shutdown record of the first, as that would shorten the quarantine while runs of the second may be open.
TEST(RecoveryProcess, AShutdownRecordIsNotUsedAfterALaterCrash) {
  RecoveryFleet fleet(recovery_options(kRecoveryWithFolder));
  fleet.start_serving();
  fleet.terminate("n0");
  ASSERT_TRUE(fleet.wait_until([&] { return fleet.has_exited("n0"); }, kConditionTimeout));
  fleet.start_serving();
  EXPECT_EQ(fleet.send_report_until_accepted(kKey)->code, standin::ResponseCode::served);
  fleet.kill("n0");
  fleet.start_serving();
  EXPECT_EQ(fleet.send_report(kKey)->code, standin::ResponseCode::rejected);
  EXPECT_EQ(fleet.run_count(kKey), 1);
}

// While the state directory cannot be used, here because a file has its path, keyed requests are rejected and
// reads are served. Keyed requests run once the directory can be used.
TEST(RecoveryProcess, OnlyKeyedRequestsAreRejectedWhileTheStateDirectoryIsUnusable) {
  RecoveryFleet fleet(recovery_options(kRecoveryWithFolder));
  std::filesystem::create_directories(fleet.state_folder("n0").parent_path());
  std::ofstream(fleet.state_folder("n0")) << "in the way";
  fleet.start_serving();
  EXPECT_TRUE(fleet.wait_until(
      [&] {
        return fleet.has_logged(" is unusable: ") &&
               fleet.has_logged("; rejecting requests with an idempotency key and retrying every ");
      },
      kConditionTimeout));
  EXPECT_EQ(fleet.send_report(kKey)->code, standin::ResponseCode::rejected);
  EXPECT_TRUE(fleet.serves_reads("n0"));
  std::filesystem::remove(fleet.state_folder("n0"));
  EXPECT_EQ(fleet.send_report_until_accepted(kKey)->code, standin::ResponseCode::served);
}

TEST(RecoveryProcess, ADamagedShutdownRecordIsRejectedAndTheProcessServes) {
  RecoveryFleet fleet(recovery_options(kRecoveryWithFolder));
  std::filesystem::create_directories(fleet.state_folder("n0"));
  std::ofstream(fleet.state_folder("n0") / "ended") << "gge1 and then nothing that makes sense";
  fleet.start_serving();
  EXPECT_TRUE(fleet.wait_until(
      [&] { return fleet.has_logged("shutdown record rejected: reading the file: damaged"); },
      kConditionTimeout));
  EXPECT_EQ(fleet.send_report_until_accepted(kKey)->code, standin::ResponseCode::served);
}

// The clock is set back by a minute between two processes: the quarantine is longer, and is logged.
TEST(RecoveryProcess, AClockSetBackLengthensTheQuarantine) {
  RecoveryFleet fleet(recovery_options(kRecoveryWithFolder));
  fleet.start_serving();
  EXPECT_EQ(fleet.send_report_until_accepted(kKey)->code, standin::ResponseCode::served);
  fleet.terminate("n0");
  ASSERT_TRUE(fleet.wait_until([&] { return fleet.has_exited("n0"); }, kConditionTimeout));
  fleet.shift_clock("n0", -60s);
  fleet.start("n0");
  EXPECT_TRUE(fleet.wait_until(
      [&] { return fleet.has_logged("the previous process shut down gracefully") && fleet.port("n0"); },
      kConditionTimeout));
  const auto text = fleet.log("n0");
  const std::string wait_line = "requests with an idempotency key are rejected for ";
  const auto at = text.rfind(wait_line);
  ASSERT_NE(at, std::string::npos) << text;
  EXPECT_GT(std::stoll(text.substr(at + wait_line.size())), 50'000);
}

// The kernel outlives the process and sends notices of the previous process's runs before BOOTED, with its
// numbers. The next process must still accept the notices of its own runs.
TEST(RecoveryProcess, ReadsAreServedAfterNoticesOfThePreviousProcess) {
  RecoveryFleet fleet(recovery_options("recovery: {after_lost_memory: \"go_on\"}"));
  fleet.replay_stale_notices("n0");
  fleet.start_serving();
  for (int k = 0; k < 30; ++k) EXPECT_TRUE(fleet.serves_reads("n0"));
  fleet.kill("n0");
  fleet.start_serving();
  for (int k = 0; k < 30; ++k) EXPECT_TRUE(fleet.serves_reads("n0"));
}

// Of two processes with the same name, neither knows which keyed requests the other runs.
TEST(RecoveryProcess, KeyedRequestsAreRejectedDuringANameConflict) {
  auto options = recovery_options(kDefaultRecovery);
  options.size = 2;
  RecoveryFleet fleet(options);
  fleet.start_serving("n0");
  fleet.start_serving("n1");
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kConditionTimeout));
  EXPECT_EQ(fleet.send_report_until_accepted(kKey)->code, standin::ResponseCode::served);
  const auto duplicate = fleet.start_duplicate("n0");
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_logged("another process runs under this name"); },
                               kConditionTimeout));
  EXPECT_EQ(fleet.send_report(kOtherKey)->code, standin::ResponseCode::rejected);
  fleet.kill(duplicate);
  EXPECT_EQ(fleet.send_report_until_accepted(kOtherKey)->code, standin::ResponseCode::served);
}

// Returns the number of members in the newest snapshot in `folder`, 0 without one.
std::size_t snapshot_member_count(const std::filesystem::path& folder) {
  const auto newest = snapshot::read_newest_snapshot(folder);
  return newest.snapshot ? newest.snapshot->state.members.size() : 0;
}

// The only seed has crashed and stays down. A restarted process finds the other members by its snapshot; one
// without its state directory remains alone.
TEST(RecoveryProcess, ASnapshotLocatesTheFleetWhenTheOnlySeedIsDead) {
  auto options = recovery_options("recovery: {folder: \"@FOLDER\", snapshot_every: 100ms}");
  options.size = 4;
  options.seeds = 1;
  RecoveryFleet fleet(options);
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kConditionTimeout)) << fleet.describe();
  for (const char* name : {"n2", "n3"})
    ASSERT_TRUE(fleet.wait_until([&] { return snapshot_member_count(fleet.state_folder(name)) == 3; },
                                 kConditionTimeout));
  fleet.kill("n0");
  fleet.kill("n2");
  fleet.kill("n3");
  fleet.wipe_state("n3");
  fleet.start("n3");
  fleet.start("n2");
  ASSERT_TRUE(fleet.wait_until(
      [&] {
        return fleet.status_of("n1", "n2") == membership::Status::alive &&
               fleet.status_of("n2", "n1") == membership::Status::alive;
      },
      kConditionTimeout))
      << fleet.describe();
  EXPECT_TRUE(fleet.has_logged("recovery: snapshot loaded", "n2"));
  EXPECT_FALSE(fleet.has_logged("recovery: snapshot loaded", "n3"));
}

// A snapshot that is an hour old must not eject an endpoint; a fresh one must.
TEST(RecoveryProcess, OnlyAFreshSnapshotRestoresEndpointHealth) {
  for (const bool old : {true, false}) {
    auto options = recovery_options("recovery: {folder: \"@FOLDER\", snapshot_every: 100ms}");
    options.operator_file =
        "dependencies: [{name: \"e.example.org\", endpoints: [\"127.0.0.1:9\", \"127.0.0.1:10\"]}]\ngathers: "
        "[]\n"
        "recovery: {folder: \"@FOLDER\"}\n";
    RecoveryFleet fleet(options);
    std::filesystem::create_directories(fleet.state_folder("n0"));
    snapshot::Snapshot stored;
    stored.taken_at = snapshot::read_clock_stamp();
    if (old) {
      stored.taken_at.kernel_boot_id = "another";
      // Now minus an hour would be negative on a machine that has just booted.
      stored.taken_at.since_boot = 1s;
      stored.taken_at.unix_us -= 3'600'000'000;
    }
    stored.state.process_name = "n0";
    stored.state.endpoints = {{"e.example.org", "127.0.0.1", 9, 30s, 2, 80ms, 0s}};
    ASSERT_FALSE(snapshot::write_snapshot(fleet.state_folder("n0"), snapshot::encode(stored)));
    fleet.start_serving();
    EXPECT_TRUE(
        fleet.wait_until([&] { return fleet.has_logged("recovery: snapshot loaded"); }, kConditionTimeout));
    EXPECT_TRUE(fleet.serves_reads("n0"));
    EXPECT_EQ(fleet.has_logged("restored the health of 1 endpoints"), !old) << fleet.log("n0");
  }
}

TEST(RecoveryProcess, ADamagedSnapshotIsRejectedAndTheProcessServes) {
  RecoveryFleet fleet(recovery_options("recovery: {folder: \"@FOLDER\", snapshot_every: 100ms}"));
  std::filesystem::create_directories(fleet.state_folder("n0"));
  std::ofstream(fleet.state_folder("n0") / "learned-a") << "ggl1 and then nothing that makes sense";
  // A directory can be neither read nor replaced as a snapshot file.
  std::filesystem::create_directory(fleet.state_folder("n0") / "learned-b");
  fleet.start_serving();
  EXPECT_TRUE(
      fleet.wait_until([&] { return fleet.has_logged("snapshot rejected: learned-a"); }, kConditionTimeout));
  EXPECT_TRUE(fleet.serves_reads("n0"));
  EXPECT_EQ(fleet.send_report_until_accepted(kKey)->code, standin::ResponseCode::served);
}

// `snapshot verify` and `snapshot show` succeed for a complete file and fail for a truncated one.
TEST(RecoveryProcess, TheSnapshotCommandAcceptsACompleteFileAndRejectsATruncatedOne) {
  RecoveryFleet fleet(recovery_options("recovery: {folder: \"@FOLDER\", snapshot_every: 100ms}"));
  fleet.start_serving();
  ASSERT_TRUE(fleet.wait_until(
      [&] { return std::filesystem::exists(fleet.state_folder("n0") / "learned-a"); }, kConditionTimeout));
  fleet.kill("n0");
  const auto file = fleet.state_folder("n0") / "learned-a";
  const auto exit_status_of = [&](const std::string& command) {
    return WEXITSTATUS(std::system(
        (std::string(PROGRAM) + " snapshot " + command + " " + file.string() + " > /dev/null 2>&1").c_str()));
  };
  EXPECT_EQ(exit_status_of("verify"), 0);
  EXPECT_EQ(exit_status_of("show"), 0);
  std::filesystem::resize_file(file, 15);
  EXPECT_EQ(exit_status_of("verify"), 1);
  EXPECT_EQ(exit_status_of("show"), 1);
  EXPECT_EQ(exit_status_of("guess"), 2);
}

// A draining predecessor holds the directory lock, here taken by the test. The successor starts and serves
// reads, and rejects keyed requests while it waits for the lock.
TEST(RecoveryProcess, KeyedRequestsAreRejectedWhileAnotherProcessLocksTheDirectory) {
  auto options = recovery_options(kRecoveryWithFolder);
  options.operator_file = "dependencies: []\ngathers: []\nrecovery: {folder: \"@FOLDER\"}\n";
  RecoveryFleet fleet(options);
  fleet.start_serving();
  EXPECT_EQ(fleet.send_report_until_accepted(kKey)->code, standin::ResponseCode::served);
  snapshot::DirectoryLock lock;
  fleet.kill("n0");
  ASSERT_FALSE(lock.acquire(fleet.state_folder("n0")));
  fleet.start_serving();
  EXPECT_TRUE(fleet.wait_until(
      [&] { return fleet.has_logged("acquiring the directory lock: held by another process"); },
      kConditionTimeout));
  EXPECT_EQ(fleet.send_report(kOtherKey)->code, standin::ResponseCode::rejected);
  EXPECT_EQ(fleet.run_count(kOtherKey), 0);
}

// The disk hangs while the process reads the shutdown record of the previous one. Reads are served. No keyed
// request runs for as long as the disk hangs, because the record may remain there and be used by a third
// process. Shutdown is still graceful. When the disk responds again, keyed requests run without a restart.
TEST(RecoveryProcess, OnlyKeyedRequestsAreRejectedWhileTheDiskHangs) {
  RecoveryFleet fleet(recovery_options(kRecoveryWithFolder));
  const auto record = fleet.state_folder("n0") / "ended";
  for (const bool disk_recovers : {false, true}) {
    fleet.wipe_state("n0");
    std::filesystem::create_directories(fleet.state_folder("n0"));
    ASSERT_EQ(::mkfifo(record.c_str(), 0600), 0);  // open() blocks
    fleet.start_serving();
    ASSERT_TRUE(fleet.wait_until(
        [&] {
          return fleet.has_logged(
              "did not respond within 1000 ms: requests with an idempotency key are rejected");
        },
        kConditionTimeout));
    const auto status = membership_udp::query_status(fleet.bound("n0"), 2s, true);
    ASSERT_TRUE(status && status->recovery_report);
    EXPECT_GT(status->recovery_report->keyed_wait_ms, 1'000'000'000u);  // unbounded
    EXPECT_EQ(fleet.send_report(kKey)->code, standin::ResponseCode::rejected);
    if (disk_recovers) {
      { std::ofstream(record) << "of no life"; }
      EXPECT_EQ(fleet.send_report_until_accepted(kKey)->code, standin::ResponseCode::served);
      EXPECT_EQ(fleet.run_count(kKey), 1);
    }
    fleet.terminate("n0");
    EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_exited("n0"); }, kConditionTimeout));
    EXPECT_EQ(fleet.exit_status("n0"), 0);
  }
}

}  // namespace
}  // namespace granitegap::fleet
