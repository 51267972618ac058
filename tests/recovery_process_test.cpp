// Coming back between real processes: lives that end in every way, on kernels that outlive them. Runs that
// the kernel counts decide, never times.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <atomic>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include "fleet/process_fleet.h"
#include "snapshot/directory_lock.h"
#include "snapshot/snapshot_files.h"
#include "standin/client.h"
#include "standin/dependency.h"

namespace granitegap::fleet {
namespace {

using namespace std::chrono_literals;
using standin::Client;
using standin::Request;

constexpr auto kLong = 60s;

ProcessFleetOptions options(const std::string& recovery) {
  ProcessFleetOptions o;
  o.program = PROGRAM;
  o.clock_shift_library = CLOCK_LIBRARY;
  o.size = 1;
  o.membership_fields = "period: 200ms";
  o.operator_file = "dependencies: []\ngathers: []\n" + recovery + "\n";
  o.idempotency_window = 1s;
  return o;
}
constexpr char kWait[] = "recovery: {}";
constexpr char kFolder[] = "recovery: {folder: \"@FOLDER\"}";

struct Trial : ProcessFleet {
  explicit Trial(ProcessFleetOptions o) : ProcessFleet(std::move(o)) {}
  void up(const std::string& name = "n0") {
    start(name);
    ready(name);
  }
  void ready(const std::string& name = "n0") {
    ASSERT_TRUE(wait_until([&] { return port(name) != 0 && answers(name); }, kLong)) << log(name);
  }
  // Reads are served: the kernel is up.
  bool answers(const std::string& name) {
    Client c(port(name));
    const auto a = c.call({"tile", "x", {}, {}, 20});
    return a && a->code == standin::ResponseCode::served;
  }
  std::optional<standin::Response> report(const std::string& token, const std::string& name = "n0") {
    return Client(port(name), 2).call({"trail-report", "report " + token, token, {}, 20});
  }
  // Again and again until it is not refused, as a caller that heeds backoff would.
  std::optional<standin::Response> insist(const std::string& token) {
    std::optional<standin::Response> last;
    wait_until(
        [&] {
          last = report(token);
          return last && last->code != standin::ResponseCode::rejected;
        },
        kLong);
    return last;
  }
  int ran(const std::string& token, const std::string& name = "n0") {
    const auto all = kernel_runs(name);
    const auto it = all.find({"trail-report", "report " + token});
    return it == all.end() ? 0 : it->second;
  }
  bool says(const std::string& line, const std::string& name = "n0") {
    return log(name).find(line) != std::string::npos;
  }
};

constexpr char kToken[] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", kOther[] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30212";

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
  EXPECT_TRUE(f.wait_until([&] { return f.says("shutdown record rejected: reading it: damaged"); }, kLong));
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
  const auto at = told.rfind("keyed requests wait ");
  ASSERT_NE(at, std::string::npos) << told;
  EXPECT_GT(std::stoll(told.substr(at + 20)), 50'000);
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
    EXPECT_EQ(f.says("learned of 1 endpoints"), !old) << f.log("n0");
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
  EXPECT_TRUE(f.wait_until([&] { return f.says("another process holds it"); }, kLong));
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
        [&] { return f.says("is slow to respond: requests with an idempotency key are rejected"); }, kLong));
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

// ---- The way back to full service ----

// Two endpoints that nobody serves, and a class that gathers from them.
std::string with_dependency(std::string file) {
  const std::string none = "dependencies: []\ngathers: []\n";
  return file.replace(
      file.find(none), none.size(),
      "dependencies: [{name: \"e.example.org\", endpoints: [\"127.0.0.1:9\", \"127.0.0.1:10\"], eject_for: "
      "20s}]\n"
      "gathers: [{class: \"route-profile\", parts: [{name: \"e\", from: \"e.example.org\", path: "
      "\"/e?r={body}\"}]}]\n");
}

struct Ways : Trial {
  explicit Ways(std::size_t size, const std::string& fields = "") : Trial(made(size, fields)) {}
  Ways(std::size_t size, ProcessFleetOptions o) : Trial((o.size = size, o)) {}
  static ProcessFleetOptions made(std::size_t size, const std::string& fields) {
    auto o = options(std::string("recovery: {after_lost_memory: \"go_on\", calm_for: 300ms, ") +
                     (fields.find("growth") == fields.npos ? "first: 0.4, growth: 3, " : "") + fields + "}");
    o.size = size;
    o.run_cost = 5ms;
    return o;
  }
  std::optional<membership_udp::RecoveryReport> way(const std::string& name) const {
    const auto r = membership_udp::query_status(bound(name), 2s, true);
    return r ? r->recovery_report : std::nullopt;
  }
  bool in_service(const std::string& name) const {
    const auto w = way(name);
    return w && w->phase == "full";
  }
  // Nobody is asked any more. From how many it has learned is a matter of pace: on a starved machine a
  // newcomer may not have met more than one when it goes on.
  bool has_learned(const std::string& name) const {
    return wait_until(
        [&] {
          const auto w = way(name);
          return w && w->phase != "blank" && w->phase != "learning";
        },
        kLong);
  }
  // Asked by callers in the meantime, so that each has something to prove.
  bool all_in_service() {
    return wait_until(
        [&] {
          bool all = true;
          for (const auto& name : running()) {
            if (in_service(name)) continue;
            all = false;
            for (int k = 0; k < 3 && port(name) != 0; ++k) answers(name);
          }
          return all;
        },
        kLong);
  }
  void form() {
    start_all();
    ASSERT_TRUE(wait_until([&] { return has_converged(); }, kLong)) << describe();
    ASSERT_TRUE(all_in_service()) << describe();
    // Each knows of all others that they may be asked.
    ASSERT_TRUE(wait_until(
        [&] {
          for (const auto& name : running()) {
            const auto v = view(name);
            if (!v) return false;
            for (const auto& l : v->members)
              if (l.recovery_status.donor_port == 0 || l.recovery_status.full_service_ms == 0) return false;
          }
          return true;
        },
        kLong))
        << describe();
  }
};

// One among healthy ones: it learns from them, proves itself, and says how long all of it took.
TEST(RecoveryProcess, OneThatRestartsLearnsFromTheRunning) {
  Ways f(5);
  f.form();
  f.kill("n2");
  f.start("n2");
  ASSERT_TRUE(f.all_in_service()) << f.describe();
  const auto w = f.way("n2");
  ASSERT_TRUE(w);
  EXPECT_EQ(w->sources.size(), 3u) << f.log("n2");
  EXPECT_EQ(w->offered, 100);
  EXPECT_FALSE(w->bounded);
  for (const auto ms : w->reached_ms) EXPECT_GE(ms, 0) << f.log("n2");
  EXPECT_LE(w->reached_ms[2], w->reached_ms[4]);  // half before all
  EXPECT_TRUE(f.says("recovery: full service after", "n2"));
  EXPECT_TRUE(f.wait_until(
      [&] {
        const auto v = f.view("n0");
        for (const auto& l : v->members)
          if (l.name == "n2") return l.recovery_status.full_service_ms > 0;
        return false;
      },
      kLong));
}

TEST(RecoveryProcess, TheRecoveryCommandShowsIt) {
  Ways f(1);
  f.up();
  const auto address = membership_udp::text_of(f.bound("n0"));
  const auto run = [&](const std::string& words) { return f.run_command("recovery " + words); };
  const auto [good, text] = run(address + " --json");
  EXPECT_EQ(good, 0);
  for (const char* field : {"state", "since_ms", "kind", "offered", "left_ms", "learned_from", "full_ms"})
    EXPECT_NE(text.find(std::string("\"") + field + "\""), std::string::npos) << text;
  EXPECT_EQ(run(address).exit_status, 0);
  EXPECT_EQ(run("nowhere").exit_status, 2);
}

// All at once: nobody to learn from, nobody is waited for, all come back; and again while they still ramp.
TEST(RecoveryProcess, AllThatRestartAtOnceComeBackAlsoFromASecondTime) {
  Ways f(6);
  f.form();
  for (int round = 0; round < 2; ++round) {
    for (const auto& name : f.names()) f.kill(name);
    for (const auto& name : f.names()) f.start(name);
    if (round == 0) {
      ASSERT_TRUE(f.wait_until([&] { return f.way("n0") && f.way("n0")->phase == "ramping"; }, kLong))
          << f.describe();
    }
  }
  ASSERT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong)) << f.describe();
  ASSERT_TRUE(f.all_in_service()) << f.describe();
  for (const auto& name : f.names()) EXPECT_TRUE(f.way(name)->sources.empty()) << f.log(name);
}

// Most of the fleet restarts; those left are guarded, and the guard goes when the others are back.
TEST(RecoveryProcess, SurvivorsAreGuardedUntilTheOthersAreBack) {
  Ways f(6);
  f.form();
  for (const char* name : {"n2", "n3", "n4", "n5"}) f.kill(name);
  for (const char* name : {"n2", "n3", "n4", "n5"}) f.start(name);
  EXPECT_TRUE(f.wait_until([&] { return f.says("waits are bounded while others come back", "n0"); }, kLong));
  ASSERT_TRUE(f.all_in_service()) << f.describe();
  EXPECT_TRUE(f.wait_until([&] { return !f.way("n0")->bounded && !f.way("n1")->bounded; }, kLong))
      << f.log("n0");
}

// Newcomers behind a cut learn from their own half alone.
TEST(RecoveryProcess, BehindAPartitionOnlyTheOwnHalfIsAsked) {
  Ways f(6);
  f.form();
  f.partition({"n0", "n1", "n2"}, {"n3", "n4", "n5"}, true);
  ASSERT_TRUE(f.wait_until(
      [&] {
        for (const char* mine : {"n0", "n1", "n2"})
          for (const char* theirs : {"n3", "n4", "n5"})
            if (f.status_of(mine, theirs) == membership::Status::alive) return false;
        return true;
      },
      kLong));
  f.kill("n2");
  f.start("n2");
  ASSERT_TRUE(
      f.wait_until([&] { return f.says("recovery: warm state received from", "n2") && f.way("n2"); }, kLong));
  const auto asked = f.way("n2").value();
  for (const auto& s : asked.sources) EXPECT_TRUE(s.name == "n0" || s.name == "n1") << s.name;
  f.heal_all();
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  EXPECT_TRUE(f.all_in_service());
}

// What others found out of a service below the newcomer need not find out again: whom they hold out, it does
// not choose. Alone in its knowledge it would have.
TEST(RecoveryProcess, ANewcomerLearnsOfEndpointsFromOthers) {
  auto o = Ways::made(4, "");
  o.operator_file = with_dependency(o.operator_file);
  Ways f(4, o);
  f.form();
  for (const auto& name : f.names())
    for (int k = 0; k < 40; ++k)
      standin::Client(f.port(name)).call({"route-profile", "r" + std::to_string(k), {}, {}, 5});
  f.kill("n2");
  f.start("n2");
  EXPECT_TRUE(
      f.wait_until([&] { return f.says("endpoints from ", "n2") && f.says("other members", "n2"); }, kLong))
      << f.log("n2");
  EXPECT_TRUE(f.says("learned of 1 endpoints", "n2") || f.says("learned of 2 endpoints", "n2"))
      << f.log("n2");
}

// A service below that counts what it is asked.
class Service {
 public:
  // `capacity`: answers in the making at once; 0: any number.
  explicit Service(std::uint32_t capacity = 0)
      : service_(io_, script(capacity), 1, {0}, standin::Dependency::Clock::now()) {
    service_.prefix_bodies_with_arrival();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~Service() {
    io_.stop();
    thread_.join();
  }
  // One endpoint and no second tries, so that calls are counted and nothing else; the rest of it in `fields`.
  std::string declared(const std::string& fields) const {
    return "dependencies: [{name: \"e.example.org\", endpoints: [\"127.0.0.1:" +
           std::to_string(service_.port(0)) + "\"], hedge_after: 0, most_tries: 1, " + fields +
           "}]\ngathers: [{class: \"route-profile\", budget: 4s, parts: [{name: \"e\", from: "
           "\"e.example.org\", path: \"/e?r={body}\", fresh_for: 10m}]}]\n";
  }
  std::size_t calls() { return counters().arrivals.size(); }
  std::size_t max_open() { return counters().max_open; }

 private:
  static standin::Script script(std::uint32_t capacity) {
    standin::Phase phase;
    phase.capacity = capacity;
    phase.distribution = standin::LatencyDistribution::fixed;
    phase.latency = 20ms;
    return {{phase}, {}};
  }
  standin::Dependency::Counters counters() {
    std::promise<standin::Dependency::Counters> result;
    boost::asio::post(io_, [&] { result.set_value(service_.counters()); });
    return result.get_future().get();
  }
  boost::asio::io_context io_;
  standin::Dependency service_;
  std::thread thread_;
};
ProcessFleetOptions over(const Service& service, const std::string& fields, std::size_t size) {
  auto o = Ways::made(size, "");
  const std::string none = "dependencies: []\ngathers: []\n";
  o.operator_file.replace(o.operator_file.find(none), none.size(), service.declared(fields));
  return o;
}
struct Profiles : Ways {
  using Ways::Ways;
  // Served with its part.
  bool whole(const std::string& name, const std::string& route) {
    const auto a = standin::Client(port(name)).call({"route-profile", route, {}, {}, 5});
    return a && a->code == standin::ResponseCode::served &&
           a->body.find(" /e?r=" + route + "\n") != std::string::npos;
  }
};

// Of what all ask for one member asks below, and tells the others; also while that one stands still.
TEST(RecoveryProcess, OneMemberAsksBelowForAll) {
  Service service;
  Profiles f(4, over(service, "fleet_fill: true", 4));
  f.form();
  ASSERT_TRUE(f.all_in_service());
  // Until each knows of the others' doors: then a route that is new to all costs one call.
  int n = 0;
  const auto one_call = [&] {
    const auto before = service.calls();
    const auto route = "new" + std::to_string(++n);
    for (const auto& name : f.names())
      if (!f.whole(name, route)) return false;
    return service.calls() == before + 1;
  };
  ASSERT_TRUE(f.wait_until(one_call, kLong)) << f.describe();
  const auto before = service.calls();
  std::vector<std::thread> asks;
  std::atomic<int> good = 0;
  for (const auto& name : f.names())
    asks.emplace_back([&, name] {
      for (int k = 0; k < 20; ++k) good += f.whole(name, "r" + std::to_string(k));
    });
  for (auto& a : asks) a.join();
  EXPECT_EQ(good, 80);
  // A stall of this machine may cost one a question to its owner: far fewer than the eighty of each for
  // itself.
  EXPECT_GE(service.calls(), before + 20);
  EXPECT_LT(service.calls(), before + 40);
  f.pause("n1");  // it fills a quarter of them
  for (int k = 0; k < 12; ++k) EXPECT_TRUE(f.whole(k % 2 ? "n0" : "n2", "paused" + std::to_string(k)));
  f.resume("n1");
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
}

// What was kept outlives its process, by its snapshot, and the fleet's by those that are asked.
TEST(RecoveryProcess, KeptAnswersOutliveTheirProcess) {
  for (const bool alone : {true, false}) {
    Service service;
    auto o = over(service, "", alone ? 1 : 3);
    if (alone)
      o.operator_file.replace(o.operator_file.find("recovery: {"), 11, "recovery: {folder: \"@FOLDER\", ");
    Profiles f(alone ? 1 : 3, o);
    f.form();
    ASSERT_TRUE(f.all_in_service());
    for (const auto& name : f.names())
      for (int k = 0; k < 10; ++k) ASSERT_TRUE(f.whole(name, "r" + std::to_string(k)));
    const auto before = service.calls();
    if (alone) {
      f.terminate("n0");  // in order: the last snapshot is written
      ASSERT_TRUE(f.wait_until([&] { return f.has_exited("n0"); }, kLong));
    } else {
      f.kill("n0");
    }
    f.start("n0");
    ASSERT_TRUE(f.wait_until(
        [&] { return f.says("kept answers from", "n0") && f.port("n0") && f.answers("n0"); }, kLong))
        << f.log("n0");
    for (int k = 0; k < 10; ++k) EXPECT_TRUE(f.whole("n0", "r" + std::to_string(k)));
    EXPECT_EQ(service.calls(), before);
  }
}

// Donors that stand still in the middle give their place to others; what they send when they wake is
// nobody's.
TEST(RecoveryProcess, ADonorThatStandsStillIsLeftForTheNext) {
  Ways f(6, "learn_most: 5s");
  f.form();
  const auto before = f.count_in_log("n0", "recovery: warm state received from");
  f.kill("n0");
  f.pause("n3");  // of n0's zone: asked first
  f.start("n0");
  ASSERT_TRUE(f.has_learned("n0")) << f.log("n0");
  const auto learned = f.way("n0").value();
  for (const auto& s : learned.sources) EXPECT_NE(s.name, "n3");
  f.resume("n3");
  ASSERT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  EXPECT_EQ(f.count_in_log("n0", "recovery: warm state received from"), before + 1);  // once a life
}

// One that dies in the middle, its connection taken and the question with it.
TEST(RecoveryProcess, ADonorThatDiesInTheMiddleIsLeftForTheNext) {
  Ways f(6, "learn_most: 10s");
  f.form();
  f.kill("n0");
  f.pause("n3");  // of n0's zone: asked first
  f.start("n0");
  ASSERT_TRUE(f.wait_until([&] { return f.way("n0") && f.way("n0")->phase != "blank"; }, kLong));
  f.kill("n3");
  ASSERT_TRUE(f.has_learned("n0")) << f.log("n0");
  const auto learned = f.way("n0").value();
  for (const auto& s : learned.sources) EXPECT_NE(s.name, "n3");
  ASSERT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
}

// Kernels that stay cold: what they do at that pace is proven, and that is full service.
TEST(RecoveryProcess, AKernelThatStaysColdIsNoReasonToStayAway) {
  Ways f(2);
  for (const auto& name : f.names()) f.set_speed(name, {0.1, 10min, 8});
  f.form();
  for (const auto& name : f.names()) {
    f.kill(name);
    f.reboot_kernel(name);
  }
  for (const auto& name : f.names()) f.start(name);
  ASSERT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  EXPECT_TRUE(f.all_in_service()) << f.describe();
}

// A service that can do just so much, when all come back at once and want it: everybody is answered, and few
// calls are open there. While a member sees only one other its share is half of the fleet's four, so that
// four of them may have eight; each for itself would have all of its eight callers' open.
TEST(RecoveryProcess, AServiceAtItsLimitIsNotFallenUpon) {
  Service service(2);
  auto o = over(service, "fleet_open: 4", 4);
  Profiles f(4, o);
  f.form();
  ASSERT_TRUE(f.all_in_service());
  for (const auto& name : f.names()) f.kill(name);
  for (const auto& name : f.names()) f.start(name);
  std::atomic<int> answered = 0;
  std::vector<std::thread> asks;
  for (const auto& name : f.names()) {
    ASSERT_TRUE(f.wait_until([&] { return f.port(name) != 0; }, kLong));
    for (int t = 0; t < 8; ++t)
      asks.emplace_back([&, name, t] {
        for (int k = 0; k < 10; ++k) {
          const auto route = "r" + std::to_string(t) + "." + std::to_string(k) + name;
          const auto a = standin::Client(f.port(name)).call({"route-profile", route, {}, {}, 5});
          answered += a.has_value();
        }
      });
  }
  for (auto& a : asks) a.join();
  EXPECT_EQ(answered, 320);
  EXPECT_LE(service.max_open(), 8u);
  ASSERT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  EXPECT_TRUE(f.all_in_service());
}

// Whoever stood still while its peers moved on takes its own memory for old, and asks them.
TEST(RecoveryProcess, ALongPauseIsAWayBack) {
  Ways f(4, "pause_most: 1s");
  f.form();
  f.pause("n1");
  ASSERT_TRUE(f.wait_until([&] { return f.all_report("n1", membership::Status::dead); }, kLong));
  f.resume("n1");
  EXPECT_TRUE(f.wait_until([&] { return f.says("this process stood still for long", "n1"); }, kLong))
      << f.log("n1");
  ASSERT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  ASSERT_TRUE(f.all_in_service()) << f.describe();
  EXPECT_EQ(f.way("n1")->recoveries, 1u);
}

// A machine that restarts under a process that goes on: its kernel is cold, and the way back begins again.
TEST(RecoveryProcess, AKernelThatStartsAnewIsAWayBack) {
  Ways f(1);
  f.set_speed("n0", {0.5, 300ms, 8});
  f.up();
  ASSERT_TRUE(f.all_in_service());
  f.reboot_kernel("n0");
  EXPECT_TRUE(f.wait_until([&] { return f.way("n0")->recoveries == 1; }, kLong)) << f.log("n0");
  EXPECT_TRUE(f.all_in_service());
}

// The notice to leave while it learns, and while it ramps: all that was read is answered.
TEST(RecoveryProcess, TheNoticeToLeaveOnTheWayIsAnOrderlyEnd) {
  for (const char* phase : {"learning", "ramping"}) {
    Ways f(2, "learn_most: 20s, first: 0.01, growth: 1.1");
    f.start("n0");
    ASSERT_TRUE(f.wait_until([&] { return f.port("n0") != 0 && f.answers("n0"); }, kLong));
    if (phase == std::string("ramping")) {
      f.start("n1");  // it knows nothing either: nobody is left to ask
    }
    ASSERT_TRUE(f.wait_until([&] { return f.way("n0")->phase == phase; }, kLong)) << f.log("n0");
    standin::Client caller(f.port("n0"));
    std::thread asks([&] {
      const auto a = caller.call({"tile", "x", {}, {}, 5});
      EXPECT_TRUE(a.has_value());
    });
    f.terminate("n0");
    asks.join();
    EXPECT_TRUE(f.wait_until([&] { return f.has_exited("n0"); }, kLong));
    EXPECT_EQ(f.exit_status("n0"), 0);
    EXPECT_TRUE(f.says("left: all answered")) << f.log("n0");
  }
}

}  // namespace
}  // namespace granitegap::fleet
