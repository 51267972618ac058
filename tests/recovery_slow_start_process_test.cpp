// State transfer and slow start between real processes, after restarts, pauses and partitions.
#include "recovery_process_fixture.h"

namespace granitegap::fleet {
namespace {

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
  EXPECT_TRUE(f.wait_until(
      [&] { return f.says("expected waits are bounded while other members recover", "n0"); }, kLong));
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

// Whoever stood still while its peers moved on takes its own memory for old, and asks them.
TEST(RecoveryProcess, ALongPauseIsAWayBack) {
  Ways f(4, "pause_most: 1s");
  f.form();
  f.pause("n1");
  ASSERT_TRUE(f.wait_until([&] { return f.all_report("n1", membership::Status::dead); }, kLong));
  f.resume("n1");
  EXPECT_TRUE(f.wait_until(
      [&] { return f.says("this process was paused for longer than recovery.pause_most", "n1"); }, kLong))
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
    EXPECT_TRUE(f.says("stopped: all requests answered")) << f.log("n0");
  }
}

}  // namespace
}  // namespace granitegap::fleet
