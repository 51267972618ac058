// Membership between real processes: each test starts several granitegap processes behind a stand-in network,
// has some of them fail, and waits for what the others come to hold. Counts and conditions decide, never
// times; the bounds only end a test that waits for what never comes.
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

constexpr auto kLong = 60s;

ProcessFleetOptions options(std::size_t size) {
  ProcessFleetOptions o;
  o.program = PROGRAM;
  o.size = size;
  o.membership_fields = "period: 200ms";
  o.clock_shift_library = CLOCK_LIBRARY;
  return o;
}

struct Trial : ProcessFleet {
  explicit Trial(std::size_t size, ProcessFleetOptions o) : ProcessFleet((o.size = size, o)) {}
  explicit Trial(std::size_t size) : ProcessFleet(options(size)) {}
  void form() {
    start_all();
    ASSERT_TRUE(wait_until([&] { return has_converged() && all_count(names().size()); }, kLong))
        << describe();
  }
  // The agreed fleet has so many for everybody.
  bool all_count(std::size_t n) const {
    for (const auto& name : running())
      if (const auto v = view(name); !v || v->fleet_size != n) return false;
    return true;
  }
  LocalConnectivity local_connectivity(const std::string& name) const {
    return view(name).value().local_connectivity;
  }
  // Nobody but these was held dead by anybody.
  void only_these_died(const Names& these) const {
    for (const auto& who : names())
      for (const auto& of : names())
        if (!these.contains(of)) {
          EXPECT_EQ(count_in_log(who, "membership: " + of + " is held dead"), 0u) << who << " of " << of;
        }
  }
};

TEST(Fleet, AgreesAndShowsItself) {
  Trial f(3);
  f.form();
  EXPECT_TRUE(f.wait_until(
      [&] {
        const auto v = f.view("n1");
        for (const auto& l : v->members)
          if (l.stage != membership::Stage::serving) return false;
        return v->members.size() == 3;
      },
      kLong));
  const auto json = nlohmann::json::parse(membership_udp::to_json(f.view("n0").value()));
  EXPECT_EQ(json["cluster"], "trial");
  EXPECT_EQ(json["self"]["name"], "n0");
  EXPECT_EQ(json["self"]["heard"], "ok");
  EXPECT_EQ(json["majority"], true);
  EXPECT_EQ(json["members"].size(), 3u);
}

// The command itself: what it prints, and its exit status where nobody answers.
TEST(Fleet, TheMembersCommandAsksAndSaysSoWhereNobodyAnswers) {
  Trial f(2);
  f.form();
  const auto run = [&](const std::string& words) { return f.run_command("members " + words); };
  const auto address = membership_udp::text_of(f.bound("n0"));
  const auto [good, object] = run(address + " --json");
  EXPECT_EQ(good, 0);
  EXPECT_EQ(nlohmann::json::parse(object)["members"].size(), 2u);
  EXPECT_NE(run(address).output.find("n1"), std::string::npos);
  f.kill("n0");
  const auto [silent, line] = run(address);
  EXPECT_EQ(silent, 1);
  EXPECT_EQ(line, "granitegap: no answer from " + address + " within 2 s\n");
  EXPECT_EQ(run("nonsense").exit_status, 2);
}

TEST(Fleet, AKilledOneIsFoundAndItsNextLifeSupersedesIt) {
  Trial f(5);
  f.form();
  f.kill("n2");
  EXPECT_TRUE(f.wait_until([&] { return f.all_report("n2", Status::dead); }, kLong));
  f.start("n2");
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  f.only_these_died({"n2"});
}

TEST(Fleet, AnImmediateRestartIsNoTwin) {
  Trial f(5);
  f.form();
  f.kill("n2");
  f.start("n2");
  EXPECT_TRUE(f.wait_until(
      [&] { return f.has_converged() && f.count_in_log("n0", "membership: n2 has restarted") == 1; }, kLong));
  for (const auto& name : f.names()) EXPECT_EQ(f.count_in_log(name, "lives under this name"), 0u);
}

TEST(Fleet, ARestartWithItsClockAnHourBackSupersedesTheOldLife) {
  Trial f(5);
  f.form();
  const auto before = f.view("n2")->incarnation;
  f.kill("n2");
  f.shift_clock("n2", -1h);
  f.start("n2");
  EXPECT_TRUE(f.wait_until(
      [&] { return f.has_converged() && f.count_in_log("n0", "membership: n2 has restarted") == 1; }, kLong));
  // Its clock alone would have put it an hour behind its earlier life.
  EXPECT_GT(f.view("n2")->incarnation, before);
  EXPECT_LT(f.view("n2")->incarnation, before + 3'600'000);
  for (const auto& name : f.names()) EXPECT_EQ(f.count_in_log(name, "lives under this name"), 0u);
  f.only_these_died({});
}

// The clock a day ahead, and then right again: the later life is the lower one by its own clock.
TEST(Fleet, ARestartAfterAClockThatRanAheadSupersedesIt) {
  Trial f(4);
  f.shift_clock("n2", 24h);
  f.form();
  const auto before = f.view("n2")->incarnation;
  f.kill("n2");
  f.shift_clock("n2", 0ms);
  f.start("n2");
  EXPECT_TRUE(f.wait_until(
      [&] { return f.has_converged() && f.count_in_log("n0", "membership: n2 has restarted") == 1; }, kLong));
  EXPECT_GT(f.view("n2")->incarnation, before);
}

// Others suspect it and do not yet hold it dead: it wakes, and refutes.
TEST(Fleet, APauseShorterThanTheTimeToSuspectIsForgiven) {
  auto o = options(6);
  o.membership_fields = "period: 200ms, suspicion: 20, suspicion_most: 20";  // far longer than any pause here
  Trial f(6, o);
  f.form();
  f.pause("n3");
  EXPECT_TRUE(f.wait_until([&] { return f.all_report("n3", Status::suspect); }, kLong));
  f.resume("n3");
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  f.only_these_died({});
}

// Seeds that SIGHUP brings are called while a process runs: two fleets that never heard of each other meet.
TEST(Fleet, SeedsFromAReloadJoinTwoFleets) {
  auto o = options(6);
  o.seeds = 0;
  Trial f(6, o);
  f.start_all();
  EXPECT_TRUE(f.wait_until([&] { return f.all_count(1); }, kLong));  // all are up, and alone
  for (const auto& name : f.names())
    f.reload_operator_file(name, name < "n3" ? ProcessFleet::Names{"n0"} : ProcessFleet::Names{"n3"});
  EXPECT_TRUE(f.wait_until([&] { return f.all_count(3); }, kLong));
  f.reload_operator_file("n1", {"n0", "n4"});
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged() && f.all_count(6); }, kLong));
  EXPECT_EQ(f.count_in_log("n1", "reload: operator file taken over"), 2u);
}

TEST(Fleet, APauseEndsWithoutBlame) {
  Trial f(6);
  f.form();
  f.pause("n3");
  EXPECT_TRUE(f.wait_until([&] { return f.all_report("n3", Status::dead); }, kLong));
  f.resume("n3");
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  f.only_these_died({"n3"});
}

TEST(Fleet, HalfPausedTogetherAndWokenKeepsEverybody) {
  Trial f(6);
  f.form();
  for (const char* name : {"n0", "n1", "n2"}) f.pause(name);
  EXPECT_TRUE(f.wait_until(
      [&] {
        for (const auto& name : f.running())
          if (f.view(name)->has_quorum) return false;
        return true;
      },
      kLong));
  for (const char* name : {"n0", "n1", "n2"}) f.resume(name);
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  f.only_these_died({});
}

TEST(Fleet, AOneSidedCutIsShownByBothEnds) {
  Trial f(6);
  f.form();
  const auto cut = f.partition({"n1"}, {"n2"});
  const auto shown = [&](const std::string& at) {
    const auto v = f.view(at);
    bool unheard = false, not_reaching = false;
    for (const auto& l : v->members) {
      if (l.name == "n2") unheard = l.unheard_from == std::vector<std::string>{"n1"};
      if (l.name == "n1") not_reaching = l.not_reaching == std::vector<std::string>{"n2"};
    }
    return unheard && not_reaching;
  };
  EXPECT_TRUE(f.wait_until([&] { return shown("n1") && shown("n2") && shown("n5"); }, kLong));
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  f.heal(cut);
  EXPECT_TRUE(f.wait_until([&] { return !shown("n1") && !shown("n2"); }, kLong));
  f.only_these_died({});
}

TEST(Fleet, WhoIsHeardByNobodyKnowsItAndComesBackWithoutARestart) {
  Trial f(6);
  f.form();
  const auto cut = f.partition({"n4"}, {});
  EXPECT_TRUE(
      f.wait_until([&] { return f.local_connectivity("n4") == LocalConnectivity::outbound_broken; }, kLong));
  EXPECT_FALSE(f.view("n4")->has_quorum);
  EXPECT_TRUE(f.wait_until([&] { return f.status_of("n0", "n4") == Status::dead; }, kLong));
  f.heal(cut);
  EXPECT_TRUE(f.wait_until(
      [&] { return f.has_converged() && f.local_connectivity("n4") == LocalConnectivity::ok; }, kLong));
  f.only_these_died({"n4"});
}

TEST(Fleet, WhoHearsNobodyKnowsIt) {
  Trial f(6);
  f.form();
  const auto cut = f.partition({}, {"n4"});
  EXPECT_TRUE(
      f.wait_until([&] { return f.local_connectivity("n4") == LocalConnectivity::inbound_broken; }, kLong));
  f.heal(cut);
  EXPECT_TRUE(f.wait_until(
      [&] { return f.has_converged() && f.local_connectivity("n4") == LocalConnectivity::ok; }, kLong));
  f.only_these_died({"n4"});
}

TEST(Fleet, HalvesHealWithoutADeath) {
  Trial f(6);
  f.form();
  const auto cut = f.partition({"n0", "n1", "n2"}, {"n3", "n4", "n5"}, true);
  EXPECT_TRUE(f.wait_until(
      [&] {
        for (const auto& name : f.names())
          if (f.view(name)->has_quorum || !f.view(name)->uncertain) return false;
        return true;
      },
      kLong));
  f.heal(cut);
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  f.only_these_died({});
}

TEST(Fleet, ThirdsRemoveNobodyAndHeal) {
  Trial f(6);
  f.form();
  const std::vector<ProcessFleet::Names> parts{{"n0", "n1"}, {"n2", "n3"}, {"n4", "n5"}};
  for (std::size_t a = 0; a < 3; ++a)
    for (auto b = a + 1; b < 3; ++b) f.partition(parts[a], parts[b], true);
  EXPECT_TRUE(f.wait_until(
      [&] {
        for (const auto& name : f.names())
          if (f.view(name)->has_quorum || !f.view(name)->uncertain) return false;
        return true;
      },
      kLong));
  f.heal_all();
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong)) << f.describe();
  f.only_these_died({});
}

// One zone of three is cut off: the others give it up, it gives up nobody, and it comes back without a
// restart.
TEST(Fleet, AZoneThatIsCutOffComesBack) {
  Trial f(9);
  f.form();
  const ProcessFleet::Names zone{"n0", "n3", "n6"}, others{"n1", "n2", "n4", "n5", "n7", "n8"};
  const auto cut = f.partition(zone, others, true);
  EXPECT_TRUE(f.wait_until(
      [&] {
        for (const auto& name : zone)
          if (f.status_of("n1", name) != Status::dead || f.view(name)->has_quorum) return false;
        return f.view("n1")->has_quorum;
      },
      kLong));
  f.heal(cut);
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged() && f.all_count(9); }, kLong)) << f.describe();
  f.only_these_died(zone);
}

TEST(Fleet, TheLargerPartGoesOnAndTheSmallerKeepsItsCertainView) {
  Trial f(7);
  f.form();
  const auto cut = f.partition({"n5", "n6"}, {"n0", "n1", "n2", "n3", "n4"}, true);
  EXPECT_TRUE(f.wait_until(
      [&] {
        const auto small = f.view("n5"), large = f.view("n0");
        return large->has_quorum && f.status_of("n0", "n5") == Status::dead && !small->has_quorum &&
               small->uncertain;
      },
      kLong));
  const auto small = f.view("n5").value();
  for (const auto& l : small.members) EXPECT_EQ(l.certain_status, Status::alive) << l.name;
  f.heal(cut);
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
}

TEST(Fleet, LossAndBurstsKillNobody) {
  Trial f(6);
  f.form();
  standin::Rule loss;
  loss.loss = 0.3;
  f.add_rule(loss);
  standin::Rule bursts;
  bursts.burst_loss = 1;
  bursts.good_for = 3s;
  bursts.bad_for = 400ms;
  f.add_rule(bursts);
  // So much has passed, whatever the machine's pace.
  EXPECT_TRUE(f.wait_until([&] { return f.network_counters().lost > 800; }, kLong));
  f.heal_all();
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  f.only_these_died({});
}

TEST(Fleet, TwoUnderOneNameBothSaySo) {
  Trial f(4);
  f.form();
  const auto duplicate = f.start_duplicate("n1");
  EXPECT_TRUE(f.wait_until(
      [&] {
        return f.count_in_log("n1", "another process lives under this name") == 1 &&
               f.count_in_log(duplicate, "another process lives under this name") == 1;
      },
      kLong));
  f.kill(duplicate);
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong)) << f.describe();
}

TEST(Fleet, ForeignAndBrokenDatagramsChangeNothing) {
  Trial f(3);
  f.form();
  std::mt19937_64 random(7);
  const membership::Datagram valid{
      {"n1", f.advertised("n1"), membership::BootId(1), 1, 1}, membership::Ping{1, "n0", {}}, {}, 0};
  for (int k = 0; k < 5000; ++k) {
    std::string bytes(random() % 1500, '\0');
    for (auto& c : bytes) c = char(random());
    f.inject("n1", "n0", bytes);
    f.inject("n1", "n0", membership_udp::encode(valid, "another"));
    f.inject("n1", "n0", membership_udp::encode(valid, "trial"));  // of a life that never was
  }
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  f.only_these_died({});
  EXPECT_EQ(f.count_in_log("n0", "has restarted"), 0u);
}

// Every datagram of the first path is lost, for all: the second one, IPv6 on loopback, carries the fleet.
TEST(Fleet, ASecondPathCarriesTheFleet) {
  auto o = options(4);
  o.secondary_paths = true;
  Trial f(4, o);
  f.form();
  f.partition({}, {}, true);
  const auto edges = [&] {  // each has found that its straight links fail
    for (const auto& name : f.names())
      if (f.count_in_log(name, "nothing arrives straight") == 0) return false;
    return true;
  };
  EXPECT_TRUE(f.wait_until(edges, kLong));
  // Until the way round is known to all, one may be suspect for a moment: it is seen to hold, not at once.
  const auto carried = [&] {
    for (const auto& name : f.names())
      if (const auto v = f.view(name); !v || v->local_connectivity != LocalConnectivity::ok || !v->has_quorum)
        return false;
    return f.has_converged();
  };
  EXPECT_TRUE(f.wait_until(carried, kLong)) << f.describe();
  f.heal_all();
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged() && f.view("n0")->has_quorum; }, kLong));
  f.only_these_died({});
}

// The first paths themselves over IPv6: formed, one killed and found, back in its next life.
TEST(Fleet, LivesOverIPv6) {
  auto o = options(4);
  o.ipv6 = true;
  Trial f(4, o);
  f.form();
  EXPECT_EQ(f.view("n0")->members.front().address.front(), '[');
  f.kill("n2");
  EXPECT_TRUE(f.wait_until([&] { return f.all_report("n2", Status::dead); }, kLong));
  f.start("n2");
  EXPECT_TRUE(f.wait_until([&] { return f.has_converged(); }, kLong));
  f.only_these_died({"n2"});
}

// What refused callers are told while two of five are missing is spread in time; with all there it is one
// value.
TEST(Fleet, AdviceIsSpreadWhileMembersAreMissing) {
  auto o = options(5);
  o.run_cost = 400ms;  // so long that a class's target stands at its cap, and the advice with it
  Trial f(5, o);
  f.form();
  const auto advice = [&] {
    std::mutex mutex;
    std::multiset<std::int64_t> metadata;
    std::vector<std::thread> callers;
    callers.reserve(48);
    for (int k = 0; k < 48; ++k)
      callers.emplace_back([&, k] {
        standin::Client caller(f.port("n0"), 1 + k);
        const auto a = caller.call({"tile", "x", {}, {}, 400});
        const std::lock_guard lock(mutex);
        if (a && a->code == standin::ResponseCode::rejected && a->retry_after > 0ms)
          metadata.insert(a->retry_after.count());
      });
    for (auto& c : callers) c.join();
    return metadata;
  };
  // The first runs teach it how long they are.
  EXPECT_TRUE(f.wait_until([&] { return advice().size() > 8; }, kLong));
  const auto together = advice();
  ASSERT_GT(together.size(), 4u);
  EXPECT_EQ(std::set(together.begin(), together.end()).size(), 1u);
  const auto base = *together.begin();
  f.kill("n3");
  f.kill("n4");
  EXPECT_TRUE(f.wait_until(
      [&] {
        const auto v = f.view("n0");
        return f.all_report("n3", Status::dead) && f.all_report("n4", Status::dead) && v && v->has_quorum;
      },
      kLong));
  const auto apart = advice();
  ASSERT_GT(apart.size(), 4u);
  EXPECT_GE(*apart.begin(), base);
  EXPECT_GT(std::set(apart.begin(), apart.end()).size(), apart.size() / 2);
}

TEST(Fleet, AnOrderlyEndIsNoDeath) {
  Trial f(4);
  f.form();
  f.terminate("n3");
  EXPECT_TRUE(f.wait_until([&] { return f.has_exited("n3"); }, kLong));
  EXPECT_EQ(f.exit_status("n3"), 0);
  EXPECT_TRUE(f.wait_until([&] { return f.all_report("n3", Status::left); }, kLong));
  EXPECT_TRUE(f.wait_until([&] { return f.all_count(3); }, kLong));
  f.only_these_died({});
}

TEST(Fleet, AnOrderlyEndWhileCutOffEndsAllTheSame) {
  Trial f(4);
  f.form();
  f.partition({"n3"}, {}, true);
  f.terminate("n3");
  EXPECT_TRUE(f.wait_until([&] { return f.has_exited("n3"); }, kLong));
  EXPECT_EQ(f.exit_status("n3"), 0);
  EXPECT_TRUE(f.wait_until([&] { return f.all_report("n3", Status::dead); }, kLong));
}

}  // namespace
}  // namespace granitegap::fleet
