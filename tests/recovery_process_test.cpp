// The restart quarantine, shutdown records and snapshots between real processes, on stand-in kernels that
// outlive them. Runs that the kernel counts decide, never times.
#include "recovery_process_fixture.h"

namespace granitegap::fleet {
namespace {

// The control: without the wait the same report runs twice, or the tests below prove nothing.
TEST(RecoveryProcess, WithoutTheWaitAReportRunsTwice) {
  Trial f(options("recovery: {after_lost_memory: \"go_on\"}"));
  f.up();
  EXPECT_EQ(f.report(kToken)->code, standin::ResponseCode::served);
  f.kill("n0");
  f.up();
  EXPECT_EQ(f.report(kToken)->code, standin::ResponseCode::served);
  EXPECT_EQ(f.ran(kToken), 2);
}

TEST(RecoveryProcess, AfterACrashKeyedRequestsWaitAndReadsDoNot) {
  Trial f(options(kWait));
  f.up();
  EXPECT_EQ(f.insist(kToken)->code, standin::ResponseCode::served);
  f.kill("n0");
  f.up();  // answers reads at once
  const auto refused = f.report(kToken);
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->code, standin::ResponseCode::rejected);
  EXPECT_GT(refused->retry_after, 0ms);
  EXPECT_FALSE(refused->hint.empty());
  EXPECT_EQ(f.ran(kToken), 1);
  EXPECT_EQ(f.insist(kOther)->code, standin::ResponseCode::served);  // once the window is over
  EXPECT_EQ(f.ran(kToken), 1);
}

TEST(RecoveryProcess, AnOrderlyEndThatIsWrittenDownShortensTheWait) {
  Trial f(options(kFolder));
  f.up();
  EXPECT_EQ(f.insist(kToken)->code, standin::ResponseCode::served);
  f.terminate("n0");
  ASSERT_TRUE(f.wait_until([&] { return f.has_exited("n0"); }, kLong));
  EXPECT_TRUE(std::filesystem::exists(f.state_folder("n0") / "ended")) << f.log("n0");
  f.up();
  EXPECT_TRUE(f.wait_until([&] { return f.says("the previous process shut down gracefully"); }, kLong));
  EXPECT_FALSE(std::filesystem::exists(f.state_folder("n0") / "ended"));
  EXPECT_EQ(f.insist(kOther)->code, standin::ResponseCode::served);
}

// Of three lives the middle one crashed: the first one's end must not be taken for its.
TEST(RecoveryProcess, AnEndIsNotTakenForThatOfALaterLifeThatCrashed) {
  Trial f(options(kFolder));
  f.up();
  f.terminate("n0");
  ASSERT_TRUE(f.wait_until([&] { return f.has_exited("n0"); }, kLong));
  f.up();
  EXPECT_EQ(f.insist(kToken)->code, standin::ResponseCode::served);
  f.kill("n0");
  f.up();
  EXPECT_EQ(f.report(kToken)->code, standin::ResponseCode::rejected);
  EXPECT_EQ(f.ran(kToken), 1);
}

// A directory that can't be used: reads go on, keyed requests are refused for as long, and run once it can
// be.
TEST(RecoveryProcess, AFolderThatCanNotBeUsedHoldsKeyedRequestsAlone) {
  Trial f(options(kFolder));
  std::filesystem::create_directories(f.state_folder("n0").parent_path());
  std::ofstream(f.state_folder("n0")) << "in the way";
  f.up();
  EXPECT_TRUE(
      f.wait_until([&] { return f.says("requests with an idempotency key are rejected until"); }, kLong));
  EXPECT_EQ(f.report(kToken)->code, standin::ResponseCode::rejected);
  EXPECT_TRUE(f.answers("n0"));
  std::filesystem::remove(f.state_folder("n0"));
  EXPECT_EQ(f.insist(kToken)->code, standin::ResponseCode::served);
}

TEST(RecoveryProcess, ADamagedEndIsNotBelievedAndStartsAllTheSame) {
  Trial f(options(kFolder));
  std::filesystem::create_directories(f.state_folder("n0"));
  std::ofstream(f.state_folder("n0") / "ended") << "gge1 and then nothing that makes sense";
  f.up();
  EXPECT_TRUE(
      f.wait_until([&] { return f.says("shutdown record rejected: reading the file: damaged"); }, kLong));
  EXPECT_EQ(f.insist(kToken)->code, standin::ResponseCode::served);
}

// The clock goes back by a minute between two lives: the wait grows, and is told.
TEST(RecoveryProcess, AClockSetBackLengthensTheWait) {
  Trial f(options(kFolder));
  f.up();
  EXPECT_EQ(f.insist(kToken)->code, standin::ResponseCode::served);
  f.terminate("n0");
  ASSERT_TRUE(f.wait_until([&] { return f.has_exited("n0"); }, kLong));
  f.shift_clock("n0", -60s);
  f.start("n0");
  EXPECT_TRUE(f.wait_until(
      [&] { return f.says("the previous process shut down gracefully") && f.port("n0"); }, kLong));
  const auto told = f.log("n0");
  const std::string wait_line = "requests with an idempotency key are rejected for ";
  const auto at = told.rfind(wait_line);
  ASSERT_NE(at, std::string::npos) << told;
  EXPECT_GT(std::stoll(told.substr(at + wait_line.size())), 50'000);
}

// The kernel outlives the process and tells of the earlier life's runs, before BOOTED and under its numbers:
// the next life's own notices are read all the same.
TEST(RecoveryProcess, AKernelThatTellsOfTheEarlierLifesRunsMakesNobodyDeaf) {
  Trial f(options("recovery: {after_lost_memory: \"go_on\"}"));
  f.replay_stale_notices("n0");
  f.up();
  for (int k = 0; k < 30; ++k) EXPECT_TRUE(f.answers("n0"));
  f.kill("n0");
  f.up();
  for (int k = 0; k < 30; ++k) EXPECT_TRUE(f.answers("n0"));
}

// Two under one name: neither knows what the other runs.
TEST(RecoveryProcess, WhileAnotherLivesUnderTheNameNoKeyedRequestRuns) {
  auto o = options(kWait);
  o.size = 2;
  Trial f(o);
  f.up("n0");
  f.up("n1");
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  EXPECT_EQ(f.insist(kToken)->code, standin::ResponseCode::served);
  const auto duplicate = f.start_duplicate("n0");
  EXPECT_TRUE(f.wait_until([&] { return f.says("another process lives under this name"); }, kLong));
  EXPECT_EQ(f.report(kOther)->code, standin::ResponseCode::rejected);
  f.kill(duplicate);
  EXPECT_EQ(f.insist(kOther)->code, standin::ResponseCode::served);
}

std::size_t members_in(const std::filesystem::path& folder) {
  const auto newest = snapshot::read_newest_snapshot(folder);
  return newest.snapshot ? newest.snapshot->state.members.size() : 0;
}

// The only seed is gone for good: whoever restarts finds the others by what its earlier life knew. Wiped, it
// is alone.
TEST(RecoveryProcess, ASnapshotFindsTheFleetThatTheSeedsNoLongerDo) {
  auto o = options("recovery: {folder: \"@FOLDER\", snapshot_every: 100ms}");
  o.size = 4;
  o.seeds = 1;
  Trial f(o);
  f.start_all();
  ASSERT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong)) << f.describe();
  for (const char* name : {"n2", "n3"})
    ASSERT_TRUE(f.wait_until([&] { return members_in(f.state_folder(name)) == 3; }, kLong));
  f.kill("n0");
  f.kill("n2");
  f.kill("n3");
  f.wipe_state("n3");
  f.start("n3");
  f.start("n2");
  ASSERT_TRUE(f.wait_until(
      [&] {
        return f.status_of("n1", "n2") == membership::Status::alive &&
               f.status_of("n2", "n1") == membership::Status::alive;
      },
      kLong))
      << f.describe();
  EXPECT_TRUE(f.says("recovery: snapshot loaded", "n2"));
  EXPECT_FALSE(f.says("recovery: snapshot loaded", "n3"));
}

// An hour-old word that an endpoint is out is not acted on; a fresh one is.
TEST(RecoveryProcess, AnOldSnapshotDecidesNothing) {
  for (const bool old : {true, false}) {
    auto o = options("recovery: {folder: \"@FOLDER\", snapshot_every: 100ms}");
    o.operator_file =
        "dependencies: [{name: \"e.example.org\", endpoints: [\"127.0.0.1:9\", \"127.0.0.1:10\"]}]\ngathers: "
        "[]\n"
        "recovery: {folder: \"@FOLDER\"}\n";
    Trial f(o);
    std::filesystem::create_directories(f.state_folder("n0"));
    snapshot::Snapshot s;
    s.taken_at = snapshot::read_clock_stamp();
    if (old) {
      s.taken_at.kernel_boot_id = "another";
      s.taken_at.since_boot = 1s;  // an hour less than now would be negative on a machine just booted
      s.taken_at.unix_us -= 3'600'000'000;
    }
    s.state.process_name = "n0";
    s.state.endpoints = {{"e.example.org", "127.0.0.1", 9, 30s, 2, 80ms, 0s}};
    ASSERT_FALSE(snapshot::write_snapshot(f.state_folder("n0"), snapshot::encode(s)));
    f.up();
    EXPECT_TRUE(f.wait_until([&] { return f.says("recovery: snapshot loaded"); }, kLong));
    EXPECT_TRUE(f.answers("n0"));
    EXPECT_EQ(f.says("restored the health of 1 endpoints"), !old) << f.log("n0");
  }
}

TEST(RecoveryProcess, ADamagedSnapshotCostsOnlyWarmth) {
  Trial f(options("recovery: {folder: \"@FOLDER\", snapshot_every: 100ms}"));
  std::filesystem::create_directories(f.state_folder("n0"));
  std::ofstream(f.state_folder("n0") / "learned-a") << "ggl1 and then nothing that makes sense";
  std::filesystem::create_directory(f.state_folder("n0") / "learned-b");  // can be neither read nor replaced
  f.up();
  EXPECT_TRUE(f.wait_until([&] { return f.says("snapshot rejected: learned-a"); }, kLong));
  EXPECT_TRUE(f.answers("n0"));
  EXPECT_EQ(f.insist(kToken)->code, standin::ResponseCode::served);
}

// The commands: what a snapshot holds, and whether it is whole.
TEST(RecoveryProcess, TheSnapshotCommandShowsAndVerifies) {
  Trial f(options("recovery: {folder: \"@FOLDER\", snapshot_every: 100ms}"));
  f.up();
  ASSERT_TRUE(
      f.wait_until([&] { return std::filesystem::exists(f.state_folder("n0") / "learned-a"); }, kLong));
  f.kill("n0");
  const auto file = f.state_folder("n0") / "learned-a";
  const auto run = [&](const std::string& words) {
    return WEXITSTATUS(std::system(
        (std::string(PROGRAM) + " snapshot " + words + " " + file.string() + " > /dev/null 2>&1").c_str()));
  };
  EXPECT_EQ(run("verify"), 0);
  EXPECT_EQ(run("show"), 0);
  std::filesystem::resize_file(file, 15);
  EXPECT_EQ(run("verify"), 1);
  EXPECT_EQ(run("show"), 1);
  EXPECT_EQ(run("guess"), 2);
}

// A predecessor that still drains holds the directory: the successor starts, serves reads, and takes it over.
TEST(RecoveryProcess, ASuccessorWaitsForThePredecessorsFolder) {
  auto o = options(kFolder);
  o.operator_file = "dependencies: []\ngathers: []\nrecovery: {folder: \"@FOLDER\"}\n";
  Trial f(o);
  f.up();
  EXPECT_EQ(f.insist(kToken)->code, standin::ResponseCode::served);
  snapshot::DirectoryLock busy;
  f.kill("n0");
  ASSERT_FALSE(busy.acquire(f.state_folder("n0")));
  f.up();
  EXPECT_TRUE(
      f.wait_until([&] { return f.says("acquiring the directory lock: held by another process"); }, kLong));
  EXPECT_EQ(f.report(kOther)->code, standin::ResponseCode::rejected);
  EXPECT_EQ(f.ran(kOther), 0);
}

// A disk that hangs, here at the look at what the last life left: reads are served, no keyed request runs
// however long it takes, as the note of an end may stay there for a third life to find; and the notice to
// leave is an orderly end all the same. Once the disk is back all goes on without a restart.
TEST(RecoveryProcess, ADiskThatHangsHoldsKeyedRequestsAndNothingElse) {
  Trial f(options(kFolder));
  const auto note = f.state_folder("n0") / "ended";
  for (const bool comes_back : {false, true}) {
    f.wipe_state("n0");
    std::filesystem::create_directories(f.state_folder("n0"));
    ASSERT_EQ(::mkfifo(note.c_str(), 0600), 0);  // whoever opens it waits
    f.up();
    ASSERT_TRUE(f.wait_until(
        [&] {
          return f.says("did not respond within 1000 ms: requests with an idempotency key are rejected");
        },
        kLong));
    const auto way = membership_udp::query_status(f.bound("n0"), 2s, true);
    ASSERT_TRUE(way && way->recovery_report);
    EXPECT_GT(way->recovery_report->keyed_wait_ms, 1'000'000'000u);  // no end in sight
    EXPECT_EQ(f.report(kToken)->code, standin::ResponseCode::rejected);
    if (comes_back) {
      { std::ofstream(note) << "of no life"; }
      EXPECT_EQ(f.insist(kToken)->code, standin::ResponseCode::served);
      EXPECT_EQ(f.ran(kToken), 1);
    }
    f.terminate("n0");
    EXPECT_TRUE(f.wait_until([&] { return f.has_exited("n0"); }, kLong));
    EXPECT_EQ(f.exit_status("n0"), 0);
  }
}

}  // namespace
}  // namespace granitegap::fleet
