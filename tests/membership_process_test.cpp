// Membership between real processes: each test starts several granitegap processes behind a stand-in network,
// makes some of them fail, and waits until the others report the expected view. Results depend on counts and
// conditions, not on times; the time limits only end a test whose condition is never met.
#include <gtest/gtest.h>

#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "fleet/process_fleet.h"
#include "membership_udp/actor.h"
#include "standin/client.h"

namespace granitegap::fleet {
namespace {

using membership::LocalConnectivity;
using membership::Status;
using namespace std::chrono_literals;

constexpr auto kMaxWait = 60s;

ProcessFleetOptions options(std::size_t size) {
  ProcessFleetOptions o;
  o.program = PROGRAM;
  o.size = size;
  o.membership_fields = "period: 200ms";
  o.clock_shift_library = CLOCK_LIBRARY;
  return o;
}

// Fleet of processes with helpers for the conditions of these tests.
struct TestFleet : ProcessFleet {
  explicit TestFleet(std::size_t size, ProcessFleetOptions o) : ProcessFleet((o.size = size, o)) {}
  explicit TestFleet(std::size_t size) : ProcessFleet(options(size)) {}
  void form() {
    start_all();
    ASSERT_TRUE(
        wait_until([&] { return has_converged() && all_report_fleet_size(names().size()); }, kMaxWait))
        << describe();
  }
  // Returns whether all running processes report an agreed fleet size of `n`.
  bool all_report_fleet_size(std::size_t n) const {
    for (const auto& name : running())
      if (const auto v = view(name); !v || v->fleet_size != n) return false;
    return true;
  }
  LocalConnectivity local_connectivity(const std::string& name) const {
    return view(name).value().local_connectivity;
  }
  // Expects that no process has declared any member dead except `expected`.
  void expect_declared_dead_only(const Names& expected) const {
    for (const auto& observer : names())
      for (const auto& member : names())
        if (!expected.contains(member)) {
          EXPECT_EQ(count_in_log(observer, "membership: " + member + " is declared dead"), 0u)
              << observer << " declared " << member << " dead";
        }
  }
};

TEST(Fleet, FormsAndReportsItsMembers) {
  TestFleet fleet(3);
  fleet.form();
  EXPECT_TRUE(fleet.wait_until(
      [&] {
        const auto v = fleet.view("n1");
        for (const auto& l : v->members)
          if (l.stage != membership::Stage::serving) return false;
        return v->members.size() == 3;
      },
      kMaxWait));
  const auto json = nlohmann::json::parse(membership_udp::to_json(fleet.view("n0").value()));
  EXPECT_EQ(json["cluster"], "trial");
  EXPECT_EQ(json["self"]["name"], "n0");
  EXPECT_EQ(json["self"]["heard"], "ok");
  EXPECT_EQ(json["majority"], true);
  EXPECT_EQ(json["members"].size(), 3u);
}

// Output of `granitegap members`, and its exit status if no process answers or the address is invalid.
TEST(Fleet, MembersCommandPrintsTheViewAndFailsWithoutAnAnswer) {
  TestFleet fleet(2);
  fleet.form();
  const auto run = [&](const std::string& arguments) { return fleet.run_command("members " + arguments); };
  const auto address = membership_udp::text_of(fleet.bound("n0"));
  const auto [ok_status, object] = run(address + " --json");
  EXPECT_EQ(ok_status, 0);
  EXPECT_EQ(nlohmann::json::parse(object)["members"].size(), 2u);
  EXPECT_NE(run(address).output.find("n1"), std::string::npos);
  fleet.kill("n0");
  const auto [no_answer_status, line] = run(address);
  EXPECT_EQ(no_answer_status, 1);
  EXPECT_EQ(line, "granitegap: no answer from " + address + " within 2 s\n");
  EXPECT_EQ(run("nonsense").exit_status, 2);
}

TEST(Fleet, KilledMemberIsDeclaredDeadAndItsRestartSupersedesIt) {
  TestFleet fleet(5);
  fleet.form();
  fleet.kill("n2");
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.all_report("n2", Status::dead); }, kMaxWait));
  fleet.start("n2");
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kMaxWait));
  fleet.expect_declared_dead_only({"n2"});
}

TEST(Fleet, ImmediateRestartIsNotANameConflict) {
  TestFleet fleet(5);
  fleet.form();
  fleet.kill("n2");
  fleet.start("n2");
  EXPECT_TRUE(fleet.wait_until(
      [&] { return fleet.has_converged() && fleet.count_in_log("n0", "membership: n2 has restarted") == 1; },
      kMaxWait));
  for (const auto& name : fleet.names()) EXPECT_EQ(fleet.count_in_log(name, "runs under this name"), 0u);
}

TEST(Fleet, RestartWithItsClockAnHourBehindSupersedesThePreviousProcess) {
  TestFleet fleet(5);
  fleet.form();
  const auto before = fleet.view("n2")->incarnation;
  fleet.kill("n2");
  fleet.shift_clock("n2", -1h);
  fleet.start("n2");
  EXPECT_TRUE(fleet.wait_until(
      [&] { return fleet.has_converged() && fleet.count_in_log("n0", "membership: n2 has restarted") == 1; },
      kMaxWait));
  // From its clock alone, its incarnation would be an hour below that of the previous process.
  EXPECT_GT(fleet.view("n2")->incarnation, before);
  EXPECT_LT(fleet.view("n2")->incarnation, before + 3'600'000);
  for (const auto& name : fleet.names()) EXPECT_EQ(fleet.count_in_log(name, "runs under this name"), 0u);
  fleet.expect_declared_dead_only({});
}

// The clock is a day ahead before the restart and correct after it, so by the clock alone the incarnation of
// the restarted process would be the lower one.
TEST(Fleet, RestartAfterAClockThatWasAheadSupersedesThePreviousProcess) {
  TestFleet fleet(4);
  fleet.shift_clock("n2", 24h);
  fleet.form();
  const auto before = fleet.view("n2")->incarnation;
  fleet.kill("n2");
  fleet.shift_clock("n2", 0ms);
  fleet.start("n2");
  EXPECT_TRUE(fleet.wait_until(
      [&] { return fleet.has_converged() && fleet.count_in_log("n0", "membership: n2 has restarted") == 1; },
      kMaxWait));
  EXPECT_GT(fleet.view("n2")->incarnation, before);
}

// The paused process is suspected but not yet declared dead when it resumes, and refutes the suspicion.
TEST(Fleet, PauseShorterThanTheSuspicionTimeoutIsRefuted) {
  auto o = options(6);
  o.membership_fields = "period: 200ms, suspicion: 20, suspicion_most: 20";  // far longer than any pause here
  TestFleet fleet(6, o);
  fleet.form();
  fleet.pause("n3");
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.all_report("n3", Status::suspect); }, kMaxWait));
  fleet.resume("n3");
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kMaxWait));
  fleet.expect_declared_dead_only({});
}

// Seeds added by a reload (SIGHUP) are contacted by the running process, so that two fleets without any
// common member merge.
TEST(Fleet, SeedsFromAReloadJoinTwoFleets) {
  auto o = options(6);
  o.seeds = 0;
  TestFleet fleet(6, o);
  fleet.start_all();
  // All processes run, each in a fleet of its own.
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.all_report_fleet_size(1); }, kMaxWait));
  for (const auto& name : fleet.names())
    fleet.reload_operator_file(name, name < "n3" ? ProcessFleet::Names{"n0"} : ProcessFleet::Names{"n3"});
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.all_report_fleet_size(3); }, kMaxWait));
  fleet.reload_operator_file("n1", {"n0", "n4"});
  EXPECT_TRUE(
      fleet.wait_until([&] { return fleet.has_converged() && fleet.all_report_fleet_size(6); }, kMaxWait));
  EXPECT_EQ(fleet.count_in_log("n1", "reload: operator file taken over"), 2u);
}

TEST(Fleet, ResumedMemberIsAliveAgainAndDeclaresNobodyDead) {
  TestFleet fleet(6);
  fleet.form();
  fleet.pause("n3");
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.all_report("n3", Status::dead); }, kMaxWait));
  fleet.resume("n3");
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kMaxWait));
  fleet.expect_declared_dead_only({"n3"});
}

TEST(Fleet, PauseOfHalfTheFleetIsNotDeclaredDead) {
  TestFleet fleet(6);
  fleet.form();
  for (const char* name : {"n0", "n1", "n2"}) fleet.pause(name);
  EXPECT_TRUE(fleet.wait_until(
      [&] {
        for (const auto& name : fleet.running())
          if (fleet.view(name)->has_quorum) return false;
        return true;
      },
      kMaxWait));
  for (const char* name : {"n0", "n1", "n2"}) fleet.resume(name);
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kMaxWait));
  fleet.expect_declared_dead_only({});
}

TEST(Fleet, OneWayLinkFailureIsReportedByBothEnds) {
  TestFleet fleet(6);
  fleet.form();
  const auto cut = fleet.partition({"n1"}, {"n2"});
  const auto shown = [&](const std::string& at) {
    const auto v = fleet.view(at);
    bool unheard = false, not_reaching = false;
    for (const auto& l : v->members) {
      if (l.name == "n2") unheard = l.unheard_from == std::vector<std::string>{"n1"};
      if (l.name == "n1") not_reaching = l.not_reaching == std::vector<std::string>{"n2"};
    }
    return unheard && not_reaching;
  };
  EXPECT_TRUE(fleet.wait_until([&] { return shown("n1") && shown("n2") && shown("n5"); }, kMaxWait));
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kMaxWait));
  fleet.heal(cut);
  EXPECT_TRUE(fleet.wait_until([&] { return !shown("n1") && !shown("n2"); }, kMaxWait));
  fleet.expect_declared_dead_only({});
}

TEST(Fleet, MemberWithBrokenOutboundLinksReportsItAndRejoinsWithoutARestart) {
  TestFleet fleet(6);
  fleet.form();
  const auto cut = fleet.partition({"n4"}, {});
  EXPECT_TRUE(fleet.wait_until(
      [&] { return fleet.local_connectivity("n4") == LocalConnectivity::outbound_broken; }, kMaxWait));
  EXPECT_FALSE(fleet.view("n4")->has_quorum);
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.status_of("n0", "n4") == Status::dead; }, kMaxWait));
  fleet.heal(cut);
  EXPECT_TRUE(fleet.wait_until(
      [&] { return fleet.has_converged() && fleet.local_connectivity("n4") == LocalConnectivity::ok; },
      kMaxWait));
  fleet.expect_declared_dead_only({"n4"});
}

TEST(Fleet, MemberWithBrokenInboundLinksReportsItAndRejoins) {
  TestFleet fleet(6);
  fleet.form();
  const auto cut = fleet.partition({}, {"n4"});
  EXPECT_TRUE(fleet.wait_until(
      [&] { return fleet.local_connectivity("n4") == LocalConnectivity::inbound_broken; }, kMaxWait));
  fleet.heal(cut);
  EXPECT_TRUE(fleet.wait_until(
      [&] { return fleet.has_converged() && fleet.local_connectivity("n4") == LocalConnectivity::ok; },
      kMaxWait));
  fleet.expect_declared_dead_only({"n4"});
}

TEST(Fleet, PartitionIntoHalvesHealsWithoutADeath) {
  TestFleet fleet(6);
  fleet.form();
  const auto cut = fleet.partition({"n0", "n1", "n2"}, {"n3", "n4", "n5"}, true);
  EXPECT_TRUE(fleet.wait_until(
      [&] {
        for (const auto& name : fleet.names())
          if (fleet.view(name)->has_quorum || !fleet.view(name)->uncertain) return false;
        return true;
      },
      kMaxWait));
  fleet.heal(cut);
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kMaxWait));
  fleet.expect_declared_dead_only({});
}

TEST(Fleet, PartitionIntoThirdsHealsWithoutADeath) {
  TestFleet fleet(6);
  fleet.form();
  const std::vector<ProcessFleet::Names> parts{{"n0", "n1"}, {"n2", "n3"}, {"n4", "n5"}};
  for (std::size_t a = 0; a < 3; ++a)
    for (auto b = a + 1; b < 3; ++b) fleet.partition(parts[a], parts[b], true);
  EXPECT_TRUE(fleet.wait_until(
      [&] {
        for (const auto& name : fleet.names())
          if (fleet.view(name)->has_quorum || !fleet.view(name)->uncertain) return false;
        return true;
      },
      kMaxWait));
  fleet.heal_all();
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kMaxWait)) << fleet.describe();
  fleet.expect_declared_dead_only({});
}

// One zone of three is partitioned off: the other zones declare its members dead, it declares nobody dead,
// and it rejoins without a restart.
TEST(Fleet, PartitionedZoneIsDeclaredDeadAndRejoins) {
  TestFleet fleet(9);
  fleet.form();
  const ProcessFleet::Names zone{"n0", "n3", "n6"}, others{"n1", "n2", "n4", "n5", "n7", "n8"};
  const auto cut = fleet.partition(zone, others, true);
  EXPECT_TRUE(fleet.wait_until(
      [&] {
        for (const auto& name : zone)
          if (fleet.status_of("n1", name) != Status::dead || fleet.view(name)->has_quorum) return false;
        return fleet.view("n1")->has_quorum;
      },
      kMaxWait));
  fleet.heal(cut);
  EXPECT_TRUE(
      fleet.wait_until([&] { return fleet.has_converged() && fleet.all_report_fleet_size(9); }, kMaxWait))
      << fleet.describe();
  fleet.expect_declared_dead_only(zone);
}

TEST(Fleet, LargerPartKeepsQuorumAndSmallerPartKeepsItsCertainView) {
  TestFleet fleet(7);
  fleet.form();
  const auto cut = fleet.partition({"n5", "n6"}, {"n0", "n1", "n2", "n3", "n4"}, true);
  EXPECT_TRUE(fleet.wait_until(
      [&] {
        const auto small = fleet.view("n5"), large = fleet.view("n0");
        return large->has_quorum && fleet.status_of("n0", "n5") == Status::dead && !small->has_quorum &&
               small->uncertain;
      },
      kMaxWait));
  const auto small = fleet.view("n5").value();
  for (const auto& l : small.members) EXPECT_EQ(l.certain_status, Status::alive) << l.name;
  fleet.heal(cut);
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kMaxWait));
}

TEST(Fleet, LossAndBurstsCauseNoFalseDeath) {
  TestFleet fleet(6);
  fleet.form();
  standin::Rule loss;
  loss.loss = 0.3;
  fleet.add_rule(loss);
  standin::Rule bursts;
  bursts.burst_loss = 1;
  bursts.good_for = 3s;
  bursts.bad_for = 400ms;
  fleet.add_rule(bursts);
  // A number of lost datagrams, not a time, so that a slow machine gets the same amount of loss.
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.network_counters().lost > 800; }, kMaxWait));
  fleet.heal_all();
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kMaxWait));
  fleet.expect_declared_dead_only({});
}

TEST(Fleet, NameConflictIsReportedByBothProcesses) {
  TestFleet fleet(4);
  fleet.form();
  const auto duplicate = fleet.start_duplicate("n1");
  EXPECT_TRUE(fleet.wait_until(
      [&] {
        return fleet.count_in_log("n1", "another process runs under this name") == 1 &&
               fleet.count_in_log(duplicate, "another process runs under this name") == 1;
      },
      kMaxWait));
  fleet.kill(duplicate);
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kMaxWait)) << fleet.describe();
}

TEST(Fleet, ForeignAndMalformedDatagramsChangeNothing) {
  TestFleet fleet(3);
  fleet.form();
  std::mt19937_64 random(7);
  const membership::Datagram valid{
      {"n1", fleet.advertised("n1"), membership::BootId(1), 1, 1}, membership::Ping{1, "n0", {}}, {}, 0};
  for (int k = 0; k < 5000; ++k) {
    std::string bytes(random() % 1500, '\0');
    for (auto& c : bytes) c = char(random());
    fleet.inject("n1", "n0", bytes);
    fleet.inject("n1", "n0", membership_udp::encode(valid, "another"));
    fleet.inject("n1", "n0", membership_udp::encode(valid, "trial"));  // boot id of no process
  }
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kMaxWait));
  fleet.expect_declared_dead_only({});
  EXPECT_EQ(fleet.count_in_log("n0", "has restarted"), 0u);
}

// All datagrams on the primary path are lost; the secondary path, IPv6 on loopback, keeps the fleet
// connected.
TEST(Fleet, SecondaryPathKeepsTheFleetConnected) {
  auto o = options(4);
  o.secondary_paths = true;
  TestFleet fleet(4, o);
  fleet.form();
  fleet.partition({}, {}, true);
  const auto all_report_link_faults = [&] {
    for (const auto& name : fleet.names())
      if (fleet.count_in_log(name, "no datagrams arrive directly") == 0) return false;
    return true;
  };
  EXPECT_TRUE(fleet.wait_until(all_report_link_faults, kMaxWait));
  // A member may be suspected until all members use the secondary path, so the condition need not hold at
  // once.
  const auto connected = [&] {
    for (const auto& name : fleet.names())
      if (const auto v = fleet.view(name);
          !v || v->local_connectivity != LocalConnectivity::ok || !v->has_quorum)
        return false;
    return fleet.has_converged();
  };
  EXPECT_TRUE(fleet.wait_until(connected, kMaxWait)) << fleet.describe();
  fleet.heal_all();
  EXPECT_TRUE(
      fleet.wait_until([&] { return fleet.has_converged() && fleet.view("n0")->has_quorum; }, kMaxWait));
  fleet.expect_declared_dead_only({});
}

// The primary path over IPv6: the fleet forms, declares a killed member dead, and accepts its restart.
TEST(Fleet, FormsAndDetectsFailuresOverIPv6) {
  auto o = options(4);
  o.ipv6 = true;
  TestFleet fleet(4, o);
  fleet.form();
  EXPECT_EQ(fleet.view("n0")->members.front().address.front(), '[');
  fleet.kill("n2");
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.all_report("n2", Status::dead); }, kMaxWait));
  fleet.start("n2");
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_converged(); }, kMaxWait));
  fleet.expect_declared_dead_only({"n2"});
}

// The retry-after that rejected callers get is one value while all members are alive, and is spread over time
// while two of five are missing.
TEST(Fleet, RetryAfterIsSpreadWhileMembersAreMissing) {
  auto o = options(5);
  // Long enough that the delay target of the class, and with it retry_after, is at its cap.
  o.run_cost = 400ms;
  TestFleet fleet(5, o);
  fleet.form();
  const auto collect_retry_after = [&] {
    std::mutex mutex;
    std::multiset<std::int64_t> values;
    std::vector<std::thread> callers;
    callers.reserve(48);
    for (int k = 0; k < 48; ++k)
      callers.emplace_back([&, k] {
        standin::Client caller(fleet.port("n0"), 1 + k);
        const auto response = caller.call({"tile", "x", {}, {}, 400});
        const std::lock_guard lock(mutex);
        if (response && response->code == standin::ResponseCode::rejected && response->retry_after > 0ms)
          values.insert(response->retry_after.count());
      });
    for (auto& c : callers) c.join();
    return values;
  };
  // Rejections need an estimate of the run time, which the first runs provide.
  EXPECT_TRUE(fleet.wait_until([&] { return collect_retry_after().size() > 8; }, kMaxWait));
  const auto with_all_alive = collect_retry_after();
  ASSERT_GT(with_all_alive.size(), 4u);
  EXPECT_EQ(std::set(with_all_alive.begin(), with_all_alive.end()).size(), 1u);
  const auto base = *with_all_alive.begin();
  fleet.kill("n3");
  fleet.kill("n4");
  EXPECT_TRUE(fleet.wait_until(
      [&] {
        const auto v = fleet.view("n0");
        return fleet.all_report("n3", Status::dead) && fleet.all_report("n4", Status::dead) && v &&
               v->has_quorum;
      },
      kMaxWait));
  const auto with_two_dead = collect_retry_after();
  ASSERT_GT(with_two_dead.size(), 4u);
  EXPECT_GE(*with_two_dead.begin(), base);
  EXPECT_GT(std::set(with_two_dead.begin(), with_two_dead.end()).size(), with_two_dead.size() / 2);
}

TEST(Fleet, GracefulLeaveIsNotDeclaredDead) {
  TestFleet fleet(4);
  fleet.form();
  fleet.terminate("n3");
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_exited("n3"); }, kMaxWait));
  EXPECT_EQ(fleet.exit_status("n3"), 0);
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.all_report("n3", Status::left); }, kMaxWait));
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.all_report_fleet_size(3); }, kMaxWait));
  fleet.expect_declared_dead_only({});
}

TEST(Fleet, GracefulLeaveOfAPartitionedMemberEndsAndIsDeclaredDead) {
  TestFleet fleet(4);
  fleet.form();
  fleet.partition({"n3"}, {}, true);
  fleet.terminate("n3");
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.has_exited("n3"); }, kMaxWait));
  EXPECT_EQ(fleet.exit_status("n3"), 0);
  EXPECT_TRUE(fleet.wait_until([&] { return fleet.all_report("n3", Status::dead); }, kMaxWait));
}

}  // namespace
}  // namespace granitegap::fleet
