// The operators' door, drain and resume, and a new version beside the old one, between real processes on one
// inherited door. Answers and the runs that the kernels count decide, never times.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdio>
#include <list>

#include "fleet/process_fleet.h"
#include "standin/client.h"

namespace granitegap::fleet {
namespace {

using namespace std::chrono_literals;
using standin::Client;
using standin::Request;

constexpr auto kLong = 60s;
const Request kTile{"tile", "x", {}, {}, 20};
constexpr char kToken[] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", kOther[] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30212";

ProcessFleetOptions options() {
  ProcessFleetOptions o;
  o.program = PROGRAM;
  o.size = 1;
  o.with_membership = o.with_operator_file = false;  // as on the platform
  o.admin_listener = o.inherited_listener = true;
  o.idempotency_window = 600s;  // longer than any machine takes for a test
  return o;
}

struct Trial : ProcessFleet {
  explicit Trial(ProcessFleetOptions o = options()) : ProcessFleet(std::move(o)) {}
  void able(const std::string& name) {
    ASSERT_TRUE(wait_until(
        [&] { return admin_port(name) != 0 && admin_command(name, "health") == "OK serving"; }, kLong))
        << log(name);
  }
  void up(const std::string& name = "n0") {
    start(name);
    able(name);
  }
  std::string upgrade() {
    const auto fresh = start_duplicate("n0");
    able(fresh);
    return fresh;
  }
  std::uint16_t door() const { return port("n0"); }
  static Request report(const std::string& token, int est_ms = 20) {
    return {"trail-report", "report " + token, token, {}, est_ms};
  }
  int ran(const std::string& name, const std::string& token) const {
    const auto all = kernel_runs(name);
    const auto it = all.find({"trail-report", "report " + token});
    return it == all.end() ? 0 : it->second;
  }
  // Asks whichever of two processes the other, stopped meanwhile, leaves the door to.
  std::optional<standin::Response> ask_beside(const std::string& stopped, const Request& asked) {
    pause(stopped);
    auto answer = Client(door()).call(asked);
    resume(stopped);
    return answer;
  }
  bool says(const std::string& name, const std::string& line) const {
    return log(name).find(line) != std::string::npos;
  }
  void ends_in_order(const std::string& name) {
    ASSERT_TRUE(wait_until([&] { return has_exited(name); }, kLong)) << log(name);
    EXPECT_EQ(exit_status(name), 0) << log(name);
    EXPECT_TRUE(says(name, "left: all answered")) << log(name);
  }
};
constexpr char kHandsOver[] = "the door is another process's";
bool served(const std::optional<standin::Response>& a) {
  return a && a->code == standin::ResponseCode::served;
}

TEST(Door, AnswersWhileDescriptorsAreFullAndCallersSayNothing) {
  auto o = options();
  o.max_sockets = 96;
  Trial f(o);
  f.up();
  std::list<Client> idle;
  for (int i = 0; i < 120; ++i) idle.emplace_back(f.door()).check_health();
  boost::asio::io_context io;
  std::list<boost::asio::ip::tcp::socket> silent;
  for (int i = 0; i < 40; ++i) {
    silent.emplace_back(io).connect({boost::asio::ip::address_v4::loopback(), f.admin_port("n0")});
    if (i % 2) boost::asio::write(silent.back(), boost::asio::buffer("heal", 4));
  }
  EXPECT_EQ(f.admin_command("n0", "health"), "OK serving");
  for (const auto* bad : {"", "Health", "health now", "\x01\xff", "quiescent"})
    EXPECT_TRUE(f.admin_command("n0", bad).starts_with("ERR ")) << bad;
  EXPECT_EQ(f.admin_command("n0", std::string(5000, 'x')), "ERR line too long");
  EXPECT_EQ(f.admin_command("n0", "health\r"), "OK serving");  // nothing of that changed a thing
}

TEST(Door, QuiesceTurnsChecksBadAndServesOnAndResumeTurnsThemBack) {
  Trial f;
  f.up();
  Client checks(f.door()), asks(f.door());
  EXPECT_EQ(checks.check_health(), true);
  for (int twice = 0; twice < 2; ++twice) {
    EXPECT_EQ(f.admin_command("n0", "quiesce"), "OK quiesced");
    EXPECT_EQ(checks.check_health(), false);
    EXPECT_TRUE(served(asks.call(kTile)));
    EXPECT_TRUE(served(Client(f.door()).call(kTile)));
  }
  EXPECT_EQ(f.admin_command("n0", "health"), "OK quiesced");
  ::kill(f.pid("n0"), SIGHUP);  // keeps the state
  ASSERT_TRUE(f.wait_until([&] { return f.says("n0", "reload: kernel at"); }, kLong));
  EXPECT_EQ(checks.check_health(), false);
  EXPECT_EQ(f.admin_command("n0", "resume"), "OK serving");
  EXPECT_EQ(f.admin_command("n0", "resume"), "OK serving");
  EXPECT_EQ(checks.check_health(), true);
}

TEST(Door, NothingLeadsBackFromANotice) {
  Trial f;
  f.up();
  EXPECT_EQ(f.admin_command("n0", "quiesce"), "OK quiesced");
  Client asks(f.door());
  f.terminate("n0");
  ASSERT_TRUE(f.wait_until([&] { return f.says("n0", "notice to leave"); }, kLong));
  EXPECT_EQ(f.admin_command("n0", "resume"), "ERR stopping: nothing leads back");
  EXPECT_EQ(f.admin_command("n0", "health"), "ERR stopping");
  EXPECT_EQ(asks.check_health(), false);
  f.ends_in_order("n0");
}

TEST(Upgrade, WhatRunsIsAnsweredAndTheDoorIsTheSuccessors) {
  auto o = options();
  o.run_cost = 400ms;
  Trial f(o);
  f.up();
  Client open(f.door());
  open.send(Trial::report(kToken, 400));
  ASSERT_TRUE(f.wait_until([&] { return f.ran("n0", kToken) == 1; }, kLong));
  const auto fresh = f.upgrade();
  f.terminate("n0");
  ASSERT_TRUE(f.wait_until([&] { return f.says("n0", kHandsOver); }, kLong)) << f.log("n0");
  EXPECT_TRUE(served(open.receive())) << f.log("n0");
  EXPECT_TRUE(served(Client(f.door()).call(kTile))) << f.log(fresh);
  EXPECT_EQ(Client(f.door()).check_health(), true);
  f.ends_in_order("n0");
  EXPECT_FALSE(f.has_exited(fresh));
  EXPECT_EQ(f.ran("n0", kToken) + f.ran(fresh, kToken), 1);
}

TEST(Upgrade, HalfARequestAtTheNoticeIsAnsweredByWhoeverReadTheFirstHalf) {
  Trial f;
  f.up();
  Client resting(f.door()), half(f.door());
  EXPECT_TRUE(served(resting.call(kTile)));
  half.send_prefix(kTile, 20);
  EXPECT_TRUE(served(resting.call(kTile)));  // by now the half has been read
  const auto fresh = f.upgrade();
  f.terminate("n0");
  ASSERT_TRUE(f.wait_until([&] { return f.says("n0", kHandsOver); }, kLong));
  half.send_remainder();
  EXPECT_TRUE(served(half.receive())) << f.log("n0");
  // A request that crosses the word to go, on a connection that rested.
  EXPECT_TRUE(served(resting.call(kTile))) << f.log("n0");
  EXPECT_EQ(resting.check_health(), true);  // bad would be said of the successor too
  f.ends_in_order("n0");
  EXPECT_FALSE(f.has_exited(fresh));
}

TEST(Upgrade, OneTokenRunsOnceWhicheverProcessItsTriesReach) {
  Trial f;
  f.up();
  const auto fresh = f.upgrade();
  EXPECT_TRUE(served(f.ask_beside(fresh, Trial::report(kToken))));
  const auto again = f.ask_beside("n0", Trial::report(kToken));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->code, standin::ResponseCode::rejected);
  EXPECT_TRUE(served(f.ask_beside("n0", Trial::report(kOther))));
  const auto back = f.ask_beside(fresh, Trial::report(kOther));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->code, standin::ResponseCode::rejected);
  for (const auto* token : {kToken, kOther}) EXPECT_EQ(f.ran("n0", token) + f.ran(fresh, token), 1) << token;
}

// Killed between the claim and the result, either of the two: the other never runs it.
TEST(Upgrade, ATokenOfAKilledProcessIsNotRunByTheOther) {
  for (const bool old_dies : {true, false}) {
    auto o = options();
    o.run_cost = 20s;
    Trial f(o);
    f.up();
    const auto fresh = f.upgrade();
    const auto dies = old_dies ? std::string("n0") : fresh, lives = old_dies ? fresh : std::string("n0");
    f.pause(lives);
    Client c(f.door());
    c.send(Trial::report(kToken));
    ASSERT_TRUE(f.wait_until([&] { return f.ran(dies, kToken) == 1; }, kLong));
    f.kill(dies);
    f.resume(lives);
    const auto again = Client(f.door()).call(Trial::report(kToken));
    ASSERT_TRUE(again) << f.log(lives);
    EXPECT_EQ(again->code, standin::ResponseCode::rejected);
    EXPECT_EQ(f.ran("n0", kToken) + f.ran(fresh, kToken), 1);
    if (old_dies) continue;
    // Its successor is gone: the old one's notice is a drain as ever.
    f.terminate(lives);
    f.ends_in_order(lives);
    EXPECT_FALSE(f.says(lives, kHandsOver));
  }
}

TEST(Upgrade, WithoutASuccessorThatServesTheBacklogIsAnswered) {
  Trial f;
  f.up();
  const auto fresh = f.start_duplicate("n0", false);
  ASSERT_TRUE(f.wait_until([&] { return f.admin_port(fresh) != 0; }, kLong));
  EXPECT_TRUE(f.admin_command(fresh, "health").starts_with("ERR starting"));
  f.pause(fresh);  // stays at the door and takes nobody
  EXPECT_TRUE(served(Client(f.door()).call(kTile)));
  f.pause("n0");
  Client waits(f.door());
  waits.send(kTile);
  f.terminate("n0");
  f.resume("n0");
  EXPECT_TRUE(served(waits.receive())) << f.log("n0");
  f.ends_in_order("n0");
  EXPECT_FALSE(f.says("n0", kHandsOver));
}

// The new one is told to go while the old one is still on its way out: it leaves the door to nobody.
TEST(Upgrade, OneThatIsLeavingIsNobodysSuccessor) {
  Trial f;
  f.up();
  Client resting(f.door());
  EXPECT_TRUE(served(resting.call(kTile)));  // keeps the old one from ending early
  const auto fresh = f.upgrade();
  f.terminate("n0");
  ASSERT_TRUE(f.wait_until([&] { return f.says("n0", kHandsOver); }, kLong));
  f.pause(fresh);
  f.pause("n0");  // there, whatever the machine's pace
  Client waits(f.door());
  waits.send(kTile);
  f.terminate(fresh);
  f.resume(fresh);
  EXPECT_TRUE(served(waits.receive())) << f.log(fresh);
  EXPECT_FALSE(f.says(fresh, kHandsOver)) << f.log(fresh);
  f.ends_in_order(fresh);
  f.resume("n0");
}

TEST(Upgrade, TwoInARowAndQuiescedOnTheWay) {
  Trial f;
  f.up();
  EXPECT_TRUE(served(Client(f.door()).call(Trial::report(kToken))));
  const auto second = f.upgrade();
  EXPECT_EQ(f.admin_command("n0", "quiesce"), "OK quiesced");
  f.terminate("n0");
  f.ends_in_order("n0");
  EXPECT_TRUE(f.says("n0", kHandsOver));
  EXPECT_EQ(Client(f.door()).check_health(), true);
  f.up("n0");  // the third, in the folder as it was left
  f.terminate(second);
  f.ends_in_order(second);
  EXPECT_TRUE(f.says(second, kHandsOver));
  EXPECT_TRUE(served(Client(f.door()).call(kTile)));
  // What the first one ran is not run by the third.
  const auto again = Client(f.door()).call(Trial::report(kToken));
  ASSERT_TRUE(again);
  EXPECT_EQ(again->code, standin::ResponseCode::rejected);
  EXPECT_EQ(f.ran("n0", kToken), 1);
}

TEST(Upgrade, WithoutASharedFolderNothingKeyedRunsAndReadsDo) {
  auto o = options();
  o.create_shared_folder = false;
  Trial f(o);
  f.up();
  EXPECT_TRUE(served(Client(f.door()).call(kTile)));
  const auto refused = Client(f.door()).call(Trial::report(kToken));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->code, standin::ResponseCode::rejected);
  EXPECT_EQ(refused->retry_after, 0ms);  // only this request: the server is well
  EXPECT_EQ(f.ran("n0", kToken), 0);
  EXPECT_TRUE(f.says("n0", "no keyed request runs"));
}

// What the environment names and can't be used: one line and exit status 2.
TEST(Upgrade, UnusableDoorsAreOneLineAndStatusTwo) {
  Trial f;
  f.up();
  const auto config = (f.state_folder("n0").parent_path() / "config.json").string();
  const auto run = [&](const std::string& environment) {
    const auto command =
        "env -u EDGE_FD -u EDGE_ADMIN_ADDR EDGE_CONFIG=" + config + " " + environment + " " PROGRAM " 2>&1";
    std::string said;
    auto* pipe = ::popen(command.c_str(), "r");
    char chunk[256];
    for (std::size_t n; (n = ::fread(chunk, 1, sizeof chunk, pipe)) > 0;) said.append(chunk, n);
    return std::pair(WEXITSTATUS(::pclose(pipe)), said);
  };
  const auto taken = "EDGE_ADMIN_ADDR=127.0.0.1:" + std::to_string(f.admin_port("n0"));
  for (const std::string& bad :
       {std::string("EDGE_FD=x"), std::string("EDGE_FD=99"), std::string("EDGE_FD=0"),
        std::string("EDGE_ADMIN_ADDR=nowhere"), std::string("EDGE_ADMIN_ADDR=host:99"), taken}) {
    const auto [status, said] = run(bad);
    EXPECT_EQ(status, 2) << bad << ": " << said;
    EXPECT_EQ(std::count(said.begin(), said.end(), '\n'), 1) << bad << ": " << said;
  }
}

}  // namespace
}  // namespace granitegap::fleet
