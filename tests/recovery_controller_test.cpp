// How a process comes back: the course of its return, whom it asks and what it makes of the answers.
// Decisions only: virtual times, no socket.
#include "recovery/recovery_controller.h"

#include <gtest/gtest.h>

#include <random>

#include "fleet/recovery_simulation.h"
#include "recovery/donor_selection.h"
#include "state_transfer/codec.h"

namespace granitegap::recovery {
namespace {

using namespace std::chrono_literals;
using membership::Stage;
using membership::Status;
using membership::View;
using warm_state::WarmState;

constexpr TimePoint kStart(100s);

View::Peer peer(const std::string& name, Phase phase, const std::string& zone = "a") {
  View::Peer p;
  p.name = name;
  p.hash = membership::name_hash(name);
  p.metadata.zone = zone;
  p.metadata.version = 1;
  p.metadata.stage = Stage::serving;
  p.metadata.recovery_status.phase = std::uint8_t(1 + std::uint8_t(phase));
  p.metadata.recovery_status.donor_port = 9000;
  p.metadata.boot_incarnation = 1'000'000;
  p.address.port = 7000;
  p.address.ip[0] = 127;
  p.boot_id = membership::BootId(p.hash);
  return p;
}
View seen(std::size_t able, std::size_t returning, std::size_t gone = 0) {
  View v;
  for (std::size_t k = 0; k < able; ++k) v.peers.push_back(peer("f" + std::to_string(k), Phase::full));
  for (std::size_t k = 0; k < returning; ++k)
    v.peers.push_back(peer("r" + std::to_string(k), Phase::ramping));
  v.fleet_size = 1 + able + returning + gone;
  return v;
}

// ---- Facts ----

TEST(FleetStatus, CountsWhoIsMissingOrOnItsWay) {
  const auto f = fleet_status_of(seen(6, 2, 2));
  EXPECT_EQ(f.others, 10u);
  EXPECT_EQ(f.able, 6u);
  EXPECT_DOUBLE_EQ(f.returning, 0.4);
  EXPECT_DOUBLE_EQ(f.missing, 0.2);
  EXPECT_TRUE(f.sure);
  EXPECT_EQ(fleet_status_of(View{}).others, 0u);
}

// Whoever was just met has said nothing yet: it is neither in service nor on its way.
TEST(FleetStatus, WhoHasNotSaidAnythingCountsForNothing) {
  auto v = seen(4, 0);
  for (int k = 0; k < 4; ++k) {
    v.peers.push_back(peer("new" + std::to_string(k), Phase::blank));
    v.peers.back().metadata = {};
  }
  v.fleet_size = 9;
  EXPECT_EQ(fleet_status_of(v).others, 4u);
  EXPECT_DOUBLE_EQ(fleet_status_of(v).returning, 0);
}

// A zone of two that is lost whole weighs as a zone among two, not as two of ten.
TEST(FleetStatus, ZonesCountAlike) {
  auto v = seen(8, 0);
  v.peers.push_back(peer("x", Phase::ramping, "b"));
  v.peers.push_back(peer("y", Phase::ramping, "b"));
  v.fleet_size = 11;
  EXPECT_DOUBLE_EQ(fleet_status_of(v).returning, 0.5);
}

TEST(FleetStatus, WhoLeftInOrderIsNotMissedAndWhoSaysNothingGoesByItsStage) {
  auto v = seen(4, 0);
  v.peers.push_back(peer("gone", Phase::full));
  v.peers.back().status = Status::left;
  auto silent = peer("old", Phase::full);
  silent.metadata.recovery_status = {};
  v.peers.push_back(silent);
  v.fleet_size = 6;
  EXPECT_DOUBLE_EQ(fleet_status_of(v).returning, 0);
  v.peers.back().metadata.stage = Stage::starting;
  EXPECT_DOUBLE_EQ(fleet_status_of(v).returning, 0.2);
}

// ---- The course ----

struct Way : RecoveryController {
  explicit Way(RecoveryOptions r = {}) : RecoveryController(r, kStart), rules(r) {}
  RecoveryOptions rules;
  TimePoint now = kStart;
  // Time passes in ticks, with so many runs in each that end well or not, and arrivals turned away.
  void pass(Duration span, int good = 0, int bad = 0, int away = 0) {
    for (const auto end = now + span; now < end;) {
      now += 100ms;
      for (int k = 0; k < good; ++k) ran(true, now);
      for (int k = 0; k < bad; ++k) ran(false, now);
      for (int k = 0; k < away; ++k) turned_away(now);
      tick(now);
      EXPECT_LE(offered(), std::max(rules.first, proven() * rules.growth) + 1e-9);
    }
  }
  void up(bool cold = true, Duration warm_up = 10s) { kernel(cold, warm_up, now); }
};

TEST(RecoveryController, GoesFromBlankToFullByProvenWork) {
  Way w;
  EXPECT_EQ(w.phase(), Phase::blank);
  w.pass(2s);
  EXPECT_EQ(w.phase(), Phase::blank);  // without a kernel nothing begins
  w.up();
  EXPECT_EQ(w.phase(), Phase::learning);
  w.learned(3, w.now);
  EXPECT_EQ(w.phase(), Phase::ramping);
  EXPECT_EQ(w.wait_bound(), 1.0);
  w.pass(1s, 2);
  EXPECT_GT(w.offered(), 0.1);
  w.pass(20s, 2);
  EXPECT_EQ(w.phase(), Phase::full);
  EXPECT_EQ(w.offered(), 1);
  EXPECT_FALSE(w.wait_bound());
  EXPECT_EQ(w.milestones().sources, 3u);
  ASSERT_TRUE(w.milestones().full && w.milestones().half && w.milestones().most && w.milestones().estimate);
  EXPECT_LE(*w.milestones().half, *w.milestones().most);
}

// Time alone proves nothing while callers ask and nothing ends well.
TEST(RecoveryController, TimeAloneOffersNothing) {
  Way w;
  w.up();
  w.pass(1s);
  w.pass(60s, 0, 0, 3);
  EXPECT_EQ(w.phase(), Phase::ramping);
  EXPECT_EQ(w.offered(), 0.1);
  w.pass(20s, 0, 2, 3);
  EXPECT_EQ(w.offered(), 0.1);
}

TEST(RecoveryController, WhereNobodyAsksItGrowsSlowlyAndEnds) {
  Way w;
  w.up();
  w.pass(5s);
  EXPECT_GT(w.offered(), 0.1);
  EXPECT_EQ(w.phase(), Phase::ramping);
  w.pass(60s);
  EXPECT_EQ(w.phase(), Phase::full);
}

TEST(RecoveryController, StepsThatGoBadlyGoBack) {
  Way w;
  w.up();
  w.pass(3s, 2);
  const auto before = w.offered();
  w.pass(500ms, 0, 4);
  EXPECT_LT(w.offered(), before);
  EXPECT_LE(w.proven(), before);
}

// Without an answer from anybody learning ends by itself.
TEST(RecoveryController, LearningIsBounded) {
  Way w;
  w.up();
  w.pass(700ms);
  EXPECT_EQ(w.phase(), Phase::learning);
  w.pass(300ms);
  EXPECT_EQ(w.phase(), Phase::ramping);
  Way early;  // what others know came before the kernel
  early.learned(2, early.now);
  early.up();
  EXPECT_EQ(early.phase(), Phase::ramping);
}

TEST(RecoveryController, AKernelThatStartsAnewIsAnotherWayBack) {
  Way w;
  w.up();
  w.pass(30s, 2);
  ASSERT_EQ(w.phase(), Phase::full);
  w.up(true);
  EXPECT_EQ(w.phase(), Phase::ramping);
  EXPECT_EQ(w.offered(), 0.1);
  EXPECT_FALSE(w.milestones().full);
  EXPECT_EQ(w.recoveries(), 1u);
  w.pass(30s, 2);
  EXPECT_EQ(w.phase(), Phase::full);
  w.up(false);  // a link that came again to a kernel that went on
  EXPECT_EQ(w.phase(), Phase::full);
}

// A process that stood still for long takes its own memory for old, and asks again.
TEST(RecoveryController, ALongPauseIsAWayBackAndAShortOneIsNone) {
  Way w;
  w.up();
  w.pass(30s, 2);
  w.now += 4s;
  w.tick(w.now);
  EXPECT_EQ(w.phase(), Phase::full);
  w.now += 20s;
  w.tick(w.now);
  EXPECT_EQ(w.phase(), Phase::learning);
  EXPECT_EQ(w.offered(), 0.5);
  EXPECT_TRUE(w.wait_bound());
  w.learned(1, w.now);
  w.pass(30s, 2);
  EXPECT_EQ(w.phase(), Phase::full);
  Way slow;  // a kernel that takes long to start is no pause
  slow.now += 60s;
  slow.up();
  slow.pass(100ms);
  EXPECT_EQ(slow.recoveries(), 0u);
}

// Survivors of a wave bound their waits without a ramp, until the others are back.
TEST(RecoveryController, SurvivorsOfAWaveAreGuarded) {
  Way w;
  w.up();
  w.pass(30s, 2);
  ASSERT_FALSE(w.wait_bound());
  w.fleet(fleet_status_of(seen(8, 2)), w.now);  // 0.2
  EXPECT_TRUE(w.guarding());
  EXPECT_TRUE(w.wait_bound());
  EXPECT_EQ(w.phase(), Phase::full);
  EXPECT_EQ(w.offered(), 1);
  w.pass(10s, 2, 0, 1);
  EXPECT_TRUE(w.wait_bound());  // callers still press
  w.fleet(fleet_status_of(seen(10, 0)), w.now);
  w.pass(5s, 2);
  EXPECT_FALSE(w.wait_bound());
}

// The fixed point is the same without a restart, and so is the way out.
TEST(RecoveryController, CallersThatPressForLongBringTheBoundBack) {
  Way w;
  w.up();
  w.pass(30s, 2);
  w.pass(1s, 2, 0, 1);
  EXPECT_FALSE(w.wait_bound());  // a spike is none of its business
  w.pass(2s, 2, 0, 1);
  EXPECT_TRUE(w.guarding());
  w.pass(3500ms, 2);
  EXPECT_FALSE(w.wait_bound());
}

TEST(RecoveryController, TellsOneFromAWaveFromMost) {
  const auto kind = [](std::size_t able, std::size_t returning, std::size_t gone) {
    Way w;
    w.fleet(fleet_status_of(seen(able, returning, gone)), w.now);
    return w.kind();
  };
  EXPECT_EQ(kind(10, 1, 0), Kind::alone);
  EXPECT_EQ(kind(7, 2, 1), Kind::wave);
  EXPECT_EQ(kind(3, 4, 3), Kind::most);
  Way w;
  w.expected(20, w.now);  // a snapshot knew of others, and nobody is seen
  EXPECT_EQ(w.kind(), Kind::most);
}

// A wrong first guess is corrected, once, and not by a view that comes and goes.
TEST(RecoveryController, AWrongFirstGuessIsCorrectedWithoutOscillation) {
  Way w;
  w.expected(20, w.now);
  w.up();
  w.fleet(fleet_status_of(seen(19, 1)), w.now);
  EXPECT_EQ(w.kind(), Kind::most);  // not yet sure
  for (int k = 0; k < 20; ++k) {    // to and fro
    w.pass(300ms, 0, 1, 1);
    w.fleet(fleet_status_of(k % 2 ? seen(19, 1) : seen(8, 11)), w.now);
    EXPECT_EQ(w.kind(), Kind::most);
  }
  w.fleet(fleet_status_of(seen(19, 1)), w.now);
  w.pass(4s, 0, 1, 1);
  EXPECT_EQ(w.kind(), Kind::alone);
  w.fleet(fleet_status_of(seen(4, 16)), w.now);  // worse is believed at once
  EXPECT_EQ(w.kind(), Kind::most);
}

// Over random restarts, pauses, faults and callers: never more offered than proven times the declared factor,
// and full service in bounded time once faults end.
TEST(RecoveryController, RandomSchedulesKeepTheProperties) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    Way w;
    w.up(random() % 2, std::chrono::seconds(random() % 20));
    for (int k = 0; k < 40; ++k) {
      switch (random() % 6) {
        case 0:
          w.now += std::chrono::milliseconds(random() % 12000);
          w.tick(w.now);
          break;
        case 1:
          w.up(random() % 2);
          break;
        case 2:
          w.fleet(fleet_status_of(seen(random() % 10, random() % 10, random() % 4)), w.now);
          break;
        case 3:
          w.learned(random() % 4, w.now);
          break;
        default:
          w.pass(std::chrono::milliseconds(random() % 3000), int(random() % 4), int(random() % 4),
                 int(random() % 3));
      }
      EXPECT_GE(w.offered(), w.rules.first);
      EXPECT_LE(w.offered(), 1);
    }
    w.fleet(fleet_status_of(seen(10, 0)), w.now);
    w.pass(40s, 2);
    EXPECT_EQ(w.phase(), Phase::full) << seed;
    EXPECT_FALSE(w.wait_bound()) << seed;
  }
}

// The metastable case: most of a fleet restarts under callers without a limit on their tries. With the guards
// it comes back and stays; without them the same play stays down, or this test proves nothing.
TEST(RecoveryController, AFleetComesBackThatWouldStayDownWithoutIt) {
  fleet::RecoverySimulationOptions o;
  o.servers = 12;
  o.after = 50s;
  for (o.seed = 1; o.seed <= 2; ++o.seed) {
    o.guided = true;
    const auto guided = fleet::simulate_recovery(o);
    EXPECT_GE(guided.full_service_s, 0);
    EXPECT_EQ(guided.still_on_the_way, 0u);
    EXPECT_LE(guided.max_over_proven, o.rules.growth + 1e-9);
    o.guided = false;
    const auto plain = fleet::simulate_recovery(o);
    EXPECT_LT(plain.full_service_s, 0);
    EXPECT_LT(guided.lost, plain.lost / 2);
  }
}

// ---- Whom to ask ----

TransferResponse answer_to(const TransferRequest& q, WarmState what = {}) {
  return {q.nonce, q.name, q.boot_id, true, true, 0s, std::move(what)};
}

TEST(DonorSelection, AsksZoneNeighboursAndTheLongestLivedFirst) {
  View v;
  for (int k = 0; k < 6; ++k) {
    auto p = peer("p" + std::to_string(k), Phase::full, k < 2 ? "mine" : "other");
    p.metadata.boot_incarnation = std::uint64_t(10 - k) * 1'000'000;
    v.peers.push_back(p);
  }
  v.peers.push_back(peer("new", Phase::ramping, "mine"));
  auto without = peer("silent", Phase::full, "mine");
  without.metadata.recovery_status.donor_port = 0;
  v.peers.push_back(without);
  DonorSelection l({}, "mine", 1);
  EXPECT_TRUE(l.ask(kStart).empty());  // not begun
  l.begin(kStart);
  EXPECT_FALSE(l.over(kStart));  // no view yet
  l.view(v, kStart);
  const auto q = l.ask(kStart);
  ASSERT_EQ(q.size(), 3u);
  EXPECT_EQ(q[0].name, "p1");
  EXPECT_EQ(q[1].name, "p0");
  EXPECT_EQ(q[2].name, "p5");
  EXPECT_EQ(q[0].at.port, 9000);
  EXPECT_TRUE(l.ask(kStart).empty());
}

// One that dies, one that dawdles, one that knows nothing: each gives its place to the next.
TEST(DonorSelection, WhoFailsGivesItsPlaceToTheNext) {
  DonorSelection l({}, "a", 1);
  l.begin(kStart);
  l.view(seen(8, 0), kStart);
  auto q = l.ask(kStart);
  ASSERT_EQ(q.size(), 3u);
  l.failed(q[0].nonce, kStart);
  EXPECT_EQ(l.ask(kStart).size(), 1u);
  auto blank = answer_to(q[1]);
  blank.in_service = false;
  EXPECT_EQ(l.answered(blank, kStart), DonorSelection::Verdict::knows_nothing);
  EXPECT_EQ(l.ask(kStart).size(), 1u);
  EXPECT_EQ(l.ask(kStart + 301ms).size(), 3u);  // the rest dawdled
  EXPECT_EQ(l.sources(), 0u);
}

// A donor that was paused in the middle and goes on sending later, and an earlier life of one, change
// nothing.
TEST(DonorSelection, LateAndForeignAnswersChangeNothing) {
  DonorSelection l({}, "a", 1);
  l.begin(kStart);
  l.view(seen(5, 0), kStart);
  const auto q = l.ask(kStart);
  EXPECT_EQ(l.answered(answer_to(q[0]), kStart + 400ms), DonorSelection::Verdict::late);
  l.begin(kStart + 1s);
  l.view(seen(5, 0), kStart + 1s);
  EXPECT_EQ(l.answered(answer_to(q[1]), kStart + 1s), DonorSelection::Verdict::late);  // of the time before
  const auto again = l.ask(kStart + 1s);
  auto other_boot_id = answer_to(again[0]);
  other_boot_id.boot_id = membership::BootId(7);
  EXPECT_EQ(l.answered(other_boot_id, kStart + 1s), DonorSelection::Verdict::foreign);
  EXPECT_EQ(l.answered(answer_to(again[1]), kStart + 1s), DonorSelection::Verdict::taken);
  EXPECT_EQ(l.answered(answer_to(again[1]), kStart + 1s), DonorSelection::Verdict::late);  // once
  EXPECT_EQ(l.sources(), 1u);
}

// After a restart of all nobody waits for those who know nothing either.
TEST(DonorSelection, IsOverAtOnceWhereNobodyIsInService) {
  DonorSelection l({}, "a", 1);
  l.begin(kStart);
  EXPECT_FALSE(l.over(kStart + 100ms));  // alone as yet: others may be found
  auto strangers = seen(0, 7);
  for (auto& p : strangers.peers) p.metadata.version = 0;
  l.view(strangers, kStart + 100ms);
  EXPECT_FALSE(l.over(kStart + 500ms));  // met, and they have not said anything yet
  l.view(seen(0, 7), kStart + 100ms);
  EXPECT_FALSE(l.over(kStart + 250ms));  // more may be met
  EXPECT_TRUE(l.over(kStart + 300ms));
  DonorSelection alone({}, "a", 1);
  alone.begin(kStart);
  EXPECT_TRUE(alone.over(kStart + 800ms));
}

// A view of minutes, or in doubt, lends its endpoints but not its members.
TEST(DonorSelection, AnOldViewLendsNoMembers) {
  WarmState what;
  what.members = {membership::Address{{127, 0, 0, 1}, 5, false}};
  what.endpoints = {{"e", "127.0.0.1", 9, 1s, 1, 5ms, 0s}};
  for (const bool old : {true, false}) {
    DonorSelection l({}, "a", 1);
    l.begin(kStart);
    l.view(seen(1, 0), kStart);
    auto o = answer_to(l.ask(kStart).at(0), what);
    (old ? o.view_age : o.what.endpoints[0].heard_ago) = old ? Duration(3min) : Duration(0s);
    l.answered(o, kStart);
    EXPECT_EQ(l.result().members.size(), old ? 0u : 1u);
    EXPECT_EQ(l.result().endpoints.size(), 1u);
  }
}

// ---- What several say ----

WarmState says(Duration out, Duration latency, Duration heard_ago = 0s) {
  WarmState l;
  l.endpoints = {{"e", "127.0.0.1", 9, out, out > 0s ? 1u : 0u, latency, heard_ago}};
  return l;
}

TEST(Merged, OneThatDiffersWildlyMovesNothing) {
  const auto m = warm_state::merged({says(0s, 10ms), says(0s, 12ms), says(0s, 30s)});
  EXPECT_EQ(m.endpoints.at(0).latency, 12ms);
  EXPECT_EQ(warm_state::merged({says(30s, 10ms), says(0s, 10ms), says(0s, 10ms)}).endpoints.at(0).out_for,
            0s);
  EXPECT_EQ(warm_state::merged({says(30s, 10ms), says(2s, 10ms), says(0s, 10ms)}).endpoints.at(0).out_for,
            2s);
  EXPECT_TRUE(warm_state::merged({}).endpoints.empty());
}

TEST(Merged, WhatWasHeardLongAgoWeighsLess) {
  EXPECT_EQ(warm_state::merged({says(0s, 10ms, 50s), says(0s, 80ms, 0s)}).endpoints.at(0).latency, 80ms);
  EXPECT_EQ(warm_state::merged({says(5s, 0ms), says(0s, 10ms, 50s)}).endpoints.at(0).out_for, 5s);
}

TEST(Merged, OfKeptAnswersTheYoungestAndThoseOfSeveralFirst) {
  const auto kept = [](std::string path, std::string body, Duration age) {
    return warm_state::CachedResponse{"e", std::move(path),
                                      std::make_shared<const std::string>(std::move(body)), age};
  };
  WarmState a, b;
  a.parts = {kept("/only", "x", 1s), kept("/both", "old", 9s)};
  b.parts = {kept("/both", "new", 2s)};
  const auto m = warm_state::merged({a, b});
  ASSERT_EQ(m.parts.size(), 2u);
  EXPECT_EQ(m.parts[0], kept("/both", "new", 2s));
  EXPECT_EQ(m.parts[1].path, "/only");
  EXPECT_EQ(warm_state::aged(m, 5s).parts[0].age, 7s);
  EXPECT_TRUE(warm_state::aged(m, std::nullopt).parts.empty());
}

// The time that an answer was on its way counts as age.
TEST(DonorSelection, AnAnswerThatTookLongIsSoMuchOlder) {
  DonorSelection l({}, "a", 1);
  l.begin(kStart);
  l.view(seen(1, 0), kStart);
  WarmState what;
  what.parts = {{"e", "/p", std::make_shared<const std::string>("v"), 1s}};
  EXPECT_EQ(l.answered(answer_to(l.ask(kStart).at(0), what), kStart + 250ms), DonorSelection::Verdict::taken);
  EXPECT_EQ(l.result().parts.at(0).age, 1250ms);
}

// ---- The bytes ----

TEST(LearningCodec, ReadsWhatItWroteAndNothingElse) {
  TransferResponse o{77, "n1", membership::BootId(5), true, true, 1500ms, says(5s, 9ms, 3s)};
  o.what.members = {membership::Address{{127, 0, 0, 1}, 5, false}};
  const auto bytes = state_transfer::encode(o);
  const auto back = state_transfer::decode_response(bytes);
  ASSERT_TRUE(std::holds_alternative<TransferResponse>(back));
  const auto& read = std::get<TransferResponse>(back);
  EXPECT_EQ(read.nonce, o.nonce);
  EXPECT_EQ(read.by, o.by);
  EXPECT_EQ(read.boot_id, o.boot_id);
  EXPECT_EQ(read.view_age, o.view_age);
  EXPECT_EQ(read.what.endpoints, o.what.endpoints);
  EXPECT_EQ(read.what.members, o.what.members);
  for (std::size_t k = 0; k < bytes.size(); ++k) {
    EXPECT_TRUE(
        std::holds_alternative<snapshot::StorageError>(state_transfer::decode_response(bytes.substr(0, k))));
    auto bad = bytes;
    bad[k] = char(bad[k] ^ 0x10);
    EXPECT_TRUE(std::holds_alternative<snapshot::StorageError>(state_transfer::decode_response(bad))) << k;
  }
  const auto asked = state_transfer::encode(state_transfer::TransferQuery{"c", "n2", 9});
  EXPECT_EQ(std::get<state_transfer::TransferQuery>(state_transfer::decode_query(asked)).nonce, 9u);
  EXPECT_TRUE(std::holds_alternative<snapshot::StorageError>(state_transfer::decode_query(bytes)));
  EXPECT_FALSE(state_transfer::parse_length_prefix(std::string("\xff\xff\xff\xff", 4), 1000));
  EXPECT_FALSE(state_transfer::parse_length_prefix(std::string(4, '\0'), 1000));
  EXPECT_EQ(state_transfer::parse_length_prefix(state_transfer::add_length_prefix(asked).substr(0, 4), 1000),
            asked.size());
}

}  // namespace
}  // namespace granitegap::recovery
