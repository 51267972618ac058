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
  for (std::size_t k = 0; k < able; ++k) v.peers.push_back(peer("f" + std::to_string(k), Phase::in_service));
  for (std::size_t k = 0; k < returning; ++k)
    v.peers.push_back(peer("r" + std::to_string(k), Phase::slow_start));
  v.fleet_size = 1 + able + returning + gone;
  return v;
}

// ---- Facts ----

TEST(FleetStatus, CountsWhoIsMissingOrOnItsWay) {
  const auto f = fleet_status_of(seen(6, 2, 2));
  EXPECT_EQ(f.peers, 10u);
  EXPECT_EQ(f.peers_in_service, 6u);
  EXPECT_DOUBLE_EQ(f.recovering_share, 0.4);
  EXPECT_DOUBLE_EQ(f.missing_share, 0.2);
  EXPECT_TRUE(f.certain);
  EXPECT_EQ(fleet_status_of(View{}).peers, 0u);
}

// Whoever was just met has said nothing yet: it is neither in service nor on its way.
TEST(FleetStatus, WhoHasNotSaidAnythingCountsForNothing) {
  auto v = seen(4, 0);
  for (int k = 0; k < 4; ++k) {
    v.peers.push_back(peer("new" + std::to_string(k), Phase::starting));
    v.peers.back().metadata = {};
  }
  v.fleet_size = 9;
  EXPECT_EQ(fleet_status_of(v).peers, 4u);
  EXPECT_DOUBLE_EQ(fleet_status_of(v).recovering_share, 0);
}

// A zone of two that is lost whole weighs as a zone among two, not as two of ten.
TEST(FleetStatus, ZonesCountAlike) {
  auto v = seen(8, 0);
  v.peers.push_back(peer("x", Phase::slow_start, "b"));
  v.peers.push_back(peer("y", Phase::slow_start, "b"));
  v.fleet_size = 11;
  EXPECT_DOUBLE_EQ(fleet_status_of(v).recovering_share, 0.5);
}

TEST(FleetStatus, WhoLeftInOrderIsNotMissedAndWhoSaysNothingGoesByItsStage) {
  auto v = seen(4, 0);
  v.peers.push_back(peer("gone", Phase::in_service));
  v.peers.back().status = Status::left;
  auto silent = peer("old", Phase::in_service);
  silent.metadata.recovery_status = {};
  v.peers.push_back(silent);
  v.fleet_size = 6;
  EXPECT_DOUBLE_EQ(fleet_status_of(v).recovering_share, 0);
  v.peers.back().metadata.stage = Stage::starting;
  EXPECT_DOUBLE_EQ(fleet_status_of(v).recovering_share, 0.2);
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
      for (int k = 0; k < good; ++k) on_run_finished(true, now);
      for (int k = 0; k < bad; ++k) on_run_finished(false, now);
      for (int k = 0; k < away; ++k) on_request_rejected(now);
      tick(now);
      EXPECT_LE(advertised_share(),
                std::max(rules.initial_share, verified_share() * rules.growth_factor) + 1e-9);
    }
  }
  void up(bool cold = true, Duration warm_up = 10s) { on_kernel_ready(cold, warm_up, now); }
};

TEST(RecoveryController, GoesFromBlankToFullByProvenWork) {
  Way w;
  EXPECT_EQ(w.phase(), Phase::starting);
  w.pass(2s);
  EXPECT_EQ(w.phase(), Phase::starting);  // without a kernel nothing begins
  w.up();
  EXPECT_EQ(w.phase(), Phase::transferring_state);
  w.on_state_transferred(3, w.now);
  EXPECT_EQ(w.phase(), Phase::slow_start);
  EXPECT_EQ(w.max_wait_factor(), 1.0);
  w.pass(1s, 2);
  EXPECT_GT(w.advertised_share(), 0.1);
  w.pass(20s, 2);
  EXPECT_EQ(w.phase(), Phase::in_service);
  EXPECT_EQ(w.advertised_share(), 1);
  EXPECT_FALSE(w.max_wait_factor());
  EXPECT_EQ(w.timeline().donors, 3u);
  ASSERT_TRUE(w.timeline().in_service && w.timeline().half_share && w.timeline().nearly_full_share &&
              w.timeline().estimated_in_service);
  EXPECT_LE(*w.timeline().half_share, *w.timeline().nearly_full_share);
}

// Time alone proves nothing while callers ask and nothing ends well.
TEST(RecoveryController, TimeAloneOffersNothing) {
  Way w;
  w.up();
  w.pass(1s);
  w.pass(60s, 0, 0, 3);
  EXPECT_EQ(w.phase(), Phase::slow_start);
  EXPECT_EQ(w.advertised_share(), 0.1);
  w.pass(20s, 0, 2, 3);
  EXPECT_EQ(w.advertised_share(), 0.1);
}

TEST(RecoveryController, WhereNobodyAsksItGrowsSlowlyAndEnds) {
  Way w;
  w.up();
  w.pass(5s);
  EXPECT_GT(w.advertised_share(), 0.1);
  EXPECT_EQ(w.phase(), Phase::slow_start);
  w.pass(60s);
  EXPECT_EQ(w.phase(), Phase::in_service);
}

TEST(RecoveryController, StepsThatGoBadlyGoBack) {
  Way w;
  w.up();
  w.pass(3s, 2);
  const auto before = w.advertised_share();
  w.pass(500ms, 0, 4);
  EXPECT_LT(w.advertised_share(), before);
  EXPECT_LE(w.verified_share(), before);
}

// Without an answer from anybody learning ends by itself.
TEST(RecoveryController, LearningIsBounded) {
  Way w;
  w.up();
  w.pass(700ms);
  EXPECT_EQ(w.phase(), Phase::transferring_state);
  w.pass(300ms);
  EXPECT_EQ(w.phase(), Phase::slow_start);
  Way early;  // what others know came before the kernel
  early.on_state_transferred(2, early.now);
  early.up();
  EXPECT_EQ(early.phase(), Phase::slow_start);
}

TEST(RecoveryController, AKernelThatStartsAnewIsAnotherWayBack) {
  Way w;
  w.up();
  w.pass(30s, 2);
  ASSERT_EQ(w.phase(), Phase::in_service);
  w.up(true);
  EXPECT_EQ(w.phase(), Phase::slow_start);
  EXPECT_EQ(w.advertised_share(), 0.1);
  EXPECT_FALSE(w.timeline().in_service);
  EXPECT_EQ(w.recoveries(), 1u);
  w.pass(30s, 2);
  EXPECT_EQ(w.phase(), Phase::in_service);
  w.up(false);  // a link that came again to a kernel that went on
  EXPECT_EQ(w.phase(), Phase::in_service);
}

// A process that stood still for long takes its own memory for old, and asks again.
TEST(RecoveryController, ALongPauseIsAWayBackAndAShortOneIsNone) {
  Way w;
  w.up();
  w.pass(30s, 2);
  w.now += 4s;
  w.tick(w.now);
  EXPECT_EQ(w.phase(), Phase::in_service);
  w.now += 20s;
  w.tick(w.now);
  EXPECT_EQ(w.phase(), Phase::transferring_state);
  EXPECT_EQ(w.advertised_share(), 0.5);
  EXPECT_TRUE(w.max_wait_factor());
  w.on_state_transferred(1, w.now);
  w.pass(30s, 2);
  EXPECT_EQ(w.phase(), Phase::in_service);
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
  ASSERT_FALSE(w.max_wait_factor());
  w.on_fleet_status(fleet_status_of(seen(8, 2)), w.now);  // 0.2
  EXPECT_TRUE(w.overload_guard_active());
  EXPECT_TRUE(w.max_wait_factor());
  EXPECT_EQ(w.phase(), Phase::in_service);
  EXPECT_EQ(w.advertised_share(), 1);
  w.pass(10s, 2, 0, 1);
  EXPECT_TRUE(w.max_wait_factor());  // callers still press
  w.on_fleet_status(fleet_status_of(seen(10, 0)), w.now);
  w.pass(5s, 2);
  EXPECT_FALSE(w.max_wait_factor());
}

// The fixed point is the same without a restart, and so is the way out.
TEST(RecoveryController, CallersThatPressForLongBringTheBoundBack) {
  Way w;
  w.up();
  w.pass(30s, 2);
  w.pass(1s, 2, 0, 1);
  EXPECT_FALSE(w.max_wait_factor());  // a spike is none of its business
  w.pass(2s, 2, 0, 1);
  EXPECT_TRUE(w.overload_guard_active());
  w.pass(3500ms, 2);
  EXPECT_FALSE(w.max_wait_factor());
}

TEST(RecoveryController, TellsOneFromAWaveFromMost) {
  const auto kind = [](std::size_t able, std::size_t returning, std::size_t gone) {
    Way w;
    w.on_fleet_status(fleet_status_of(seen(able, returning, gone)), w.now);
    return w.restart_scope();
  };
  EXPECT_EQ(kind(10, 1, 0), RestartScope::single);
  EXPECT_EQ(kind(7, 2, 1), RestartScope::partial);
  EXPECT_EQ(kind(3, 4, 3), RestartScope::majority);
  Way w;
  w.on_last_known_members(20, w.now);  // a snapshot knew of others, and nobody is seen
  EXPECT_EQ(w.restart_scope(), RestartScope::majority);
}

// A wrong first guess is corrected, once, and not by a view that comes and goes.
TEST(RecoveryController, AWrongFirstGuessIsCorrectedWithoutOscillation) {
  Way w;
  w.on_last_known_members(20, w.now);
  w.up();
  w.on_fleet_status(fleet_status_of(seen(19, 1)), w.now);
  EXPECT_EQ(w.restart_scope(), RestartScope::majority);  // not yet sure
  for (int k = 0; k < 20; ++k) {                         // to and fro
    w.pass(300ms, 0, 1, 1);
    w.on_fleet_status(fleet_status_of(k % 2 ? seen(19, 1) : seen(8, 11)), w.now);
    EXPECT_EQ(w.restart_scope(), RestartScope::majority);
  }
  w.on_fleet_status(fleet_status_of(seen(19, 1)), w.now);
  w.pass(4s, 0, 1, 1);
  EXPECT_EQ(w.restart_scope(), RestartScope::single);
  w.on_fleet_status(fleet_status_of(seen(4, 16)), w.now);  // worse is believed at once
  EXPECT_EQ(w.restart_scope(), RestartScope::majority);
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
          w.on_fleet_status(fleet_status_of(seen(random() % 10, random() % 10, random() % 4)), w.now);
          break;
        case 3:
          w.on_state_transferred(random() % 4, w.now);
          break;
        default:
          w.pass(std::chrono::milliseconds(random() % 3000), int(random() % 4), int(random() % 4),
                 int(random() % 3));
      }
      EXPECT_GE(w.advertised_share(), w.rules.initial_share);
      EXPECT_LE(w.advertised_share(), 1);
    }
    w.on_fleet_status(fleet_status_of(seen(10, 0)), w.now);
    w.pass(40s, 2);
    EXPECT_EQ(w.phase(), Phase::in_service) << seed;
    EXPECT_FALSE(w.max_wait_factor()) << seed;
  }
}

// The metastable case: most of a fleet restarts under callers without a limit on their tries. With the guards
// it comes back and stays; without them the same play stays down, or this test proves nothing.
TEST(RecoveryController, AFleetComesBackThatWouldStayDownWithoutIt) {
  fleet::RecoverySimulationOptions o;
  o.servers = 12;
  o.observed_period = 50s;
  for (o.seed = 1; o.seed <= 2; ++o.seed) {
    o.with_recovery = true;
    const auto guided = fleet::simulate_recovery(o);
    EXPECT_GE(guided.full_service_s, 0);
    EXPECT_EQ(guided.not_in_service_at_end, 0u);
    EXPECT_LE(guided.max_advertised_over_verified, o.recovery.growth_factor + 1e-9);
    o.with_recovery = false;
    const auto plain = fleet::simulate_recovery(o);
    EXPECT_LT(plain.full_service_s, 0);
    EXPECT_LT(guided.lost_s, plain.lost_s / 2);
  }
}

// ---- Whom to ask ----

TransferResponse answer_to(const TransferRequest& q, WarmState what = {}) {
  return {q.nonce, q.donor, q.boot_id, true, true, 0s, std::move(what)};
}

TEST(DonorSelection, AsksZoneNeighboursAndTheLongestLivedFirst) {
  View v;
  for (int k = 0; k < 6; ++k) {
    auto p = peer("p" + std::to_string(k), Phase::in_service, k < 2 ? "mine" : "other");
    p.metadata.boot_incarnation = std::uint64_t(10 - k) * 1'000'000;
    v.peers.push_back(p);
  }
  v.peers.push_back(peer("new", Phase::slow_start, "mine"));
  auto without = peer("silent", Phase::in_service, "mine");
  without.metadata.recovery_status.donor_port = 0;
  v.peers.push_back(without);
  DonorSelection l({}, "mine", 1);
  EXPECT_TRUE(l.next_requests(kStart).empty());  // not begun
  l.begin(kStart);
  EXPECT_FALSE(l.finished(kStart));  // no view yet
  l.on_view(v, kStart);
  const auto q = l.next_requests(kStart);
  ASSERT_EQ(q.size(), 3u);
  EXPECT_EQ(q[0].donor, "p1");
  EXPECT_EQ(q[1].donor, "p0");
  EXPECT_EQ(q[2].donor, "p5");
  EXPECT_EQ(q[0].address.port, 9000);
  EXPECT_TRUE(l.next_requests(kStart).empty());
}

// One that dies, one that dawdles, one that knows nothing: each gives its place to the next.
TEST(DonorSelection, WhoFailsGivesItsPlaceToTheNext) {
  DonorSelection l({}, "a", 1);
  l.begin(kStart);
  l.on_view(seen(8, 0), kStart);
  auto q = l.next_requests(kStart);
  ASSERT_EQ(q.size(), 3u);
  l.on_failure(q[0].nonce);
  EXPECT_EQ(l.next_requests(kStart).size(), 1u);
  auto blank = answer_to(q[1]);
  blank.in_service = false;
  EXPECT_EQ(l.on_response(blank, kStart), DonorSelection::Verdict::not_in_service);
  EXPECT_EQ(l.next_requests(kStart).size(), 1u);
  EXPECT_EQ(l.next_requests(kStart + 301ms).size(), 3u);  // the rest dawdled
  EXPECT_EQ(l.donor_count(), 0u);
}

// A donor that was paused in the middle and goes on sending later, and an earlier life of one, change
// nothing.
TEST(DonorSelection, LateAndForeignAnswersChangeNothing) {
  DonorSelection l({}, "a", 1);
  l.begin(kStart);
  l.on_view(seen(5, 0), kStart);
  const auto q = l.next_requests(kStart);
  EXPECT_EQ(l.on_response(answer_to(q[0]), kStart + 400ms), DonorSelection::Verdict::late);
  l.begin(kStart + 1s);
  l.on_view(seen(5, 0), kStart + 1s);
  EXPECT_EQ(l.on_response(answer_to(q[1]), kStart + 1s),
            DonorSelection::Verdict::late);  // of the time before
  const auto again = l.next_requests(kStart + 1s);
  auto other_boot_id = answer_to(again[0]);
  other_boot_id.boot_id = membership::BootId(7);
  EXPECT_EQ(l.on_response(other_boot_id, kStart + 1s), DonorSelection::Verdict::wrong_donor);
  EXPECT_EQ(l.on_response(answer_to(again[1]), kStart + 1s), DonorSelection::Verdict::accepted);
  EXPECT_EQ(l.on_response(answer_to(again[1]), kStart + 1s), DonorSelection::Verdict::late);  // once
  EXPECT_EQ(l.donor_count(), 1u);
}

// After a restart of all nobody waits for those who know nothing either.
TEST(DonorSelection, IsOverAtOnceWhereNobodyIsInService) {
  DonorSelection l({}, "a", 1);
  l.begin(kStart);
  EXPECT_FALSE(l.finished(kStart + 100ms));  // alone as yet: others may be found
  auto strangers = seen(0, 7);
  for (auto& p : strangers.peers) p.metadata.version = 0;
  l.on_view(strangers, kStart + 100ms);
  EXPECT_FALSE(l.finished(kStart + 500ms));  // met, and they have not said anything yet
  l.on_view(seen(0, 7), kStart + 100ms);
  EXPECT_FALSE(l.finished(kStart + 250ms));  // more may be met
  EXPECT_TRUE(l.finished(kStart + 300ms));
  DonorSelection alone({}, "a", 1);
  alone.begin(kStart);
  EXPECT_TRUE(alone.finished(kStart + 800ms));
}

// A view of minutes, or in doubt, lends its endpoints but not its members.
TEST(DonorSelection, AnOldViewLendsNoMembers) {
  WarmState what;
  what.members = {membership::Address{{127, 0, 0, 1}, 5, false}};
  what.endpoints = {{"e", "127.0.0.1", 9, 1s, 1, 5ms, 0s}};
  for (const bool old : {true, false}) {
    DonorSelection l({}, "a", 1);
    l.begin(kStart);
    l.on_view(seen(1, 0), kStart);
    auto o = answer_to(l.next_requests(kStart).at(0), what);
    (old ? o.view_age : o.state.endpoints[0].latency_age) = old ? Duration(3min) : Duration(0s);
    l.on_response(o, kStart);
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
  const auto m = warm_state::merge({says(0s, 10ms), says(0s, 12ms), says(0s, 30s)});
  EXPECT_EQ(m.endpoints.at(0).latency, 12ms);
  EXPECT_EQ(warm_state::merge({says(30s, 10ms), says(0s, 10ms), says(0s, 10ms)}).endpoints.at(0).ejected_for,
            0s);
  EXPECT_EQ(warm_state::merge({says(30s, 10ms), says(2s, 10ms), says(0s, 10ms)}).endpoints.at(0).ejected_for,
            2s);
  EXPECT_TRUE(warm_state::merge({}).endpoints.empty());
}

TEST(Merged, WhatWasHeardLongAgoWeighsLess) {
  EXPECT_EQ(warm_state::merge({says(0s, 10ms, 50s), says(0s, 80ms, 0s)}).endpoints.at(0).latency, 80ms);
  EXPECT_EQ(warm_state::merge({says(5s, 0ms), says(0s, 10ms, 50s)}).endpoints.at(0).ejected_for, 5s);
}

TEST(Merged, OfKeptAnswersTheYoungestAndThoseOfSeveralFirst) {
  const auto kept = [](std::string path, std::string body, Duration age) {
    return warm_state::CachedResponse{"e", std::move(path),
                                      std::make_shared<const std::string>(std::move(body)), age};
  };
  WarmState a, b;
  a.cached_responses = {kept("/only", "x", 1s), kept("/both", "old", 9s)};
  b.cached_responses = {kept("/both", "new", 2s)};
  const auto m = warm_state::merge({a, b});
  ASSERT_EQ(m.cached_responses.size(), 2u);
  EXPECT_EQ(m.cached_responses[0], kept("/both", "new", 2s));
  EXPECT_EQ(m.cached_responses[1].path, "/only");
  EXPECT_EQ(warm_state::age_by(m, 5s).cached_responses[0].age, 7s);
  EXPECT_TRUE(warm_state::age_by(m, std::nullopt).cached_responses.empty());
}

// The time that an answer was on its way counts as age.
TEST(DonorSelection, AnAnswerThatTookLongIsSoMuchOlder) {
  DonorSelection l({}, "a", 1);
  l.begin(kStart);
  l.on_view(seen(1, 0), kStart);
  WarmState what;
  what.cached_responses = {{"e", "/p", std::make_shared<const std::string>("v"), 1s}};
  EXPECT_EQ(l.on_response(answer_to(l.next_requests(kStart).at(0), what), kStart + 250ms),
            DonorSelection::Verdict::accepted);
  EXPECT_EQ(l.result().cached_responses.at(0).age, 1250ms);
}

// ---- The bytes ----

TEST(LearningCodec, ReadsWhatItWroteAndNothingElse) {
  TransferResponse o{77, "n1", membership::BootId(5), true, true, 1500ms, says(5s, 9ms, 3s)};
  o.state.members = {membership::Address{{127, 0, 0, 1}, 5, false}};
  const auto bytes = state_transfer::encode(o);
  const auto back = state_transfer::decode_response(bytes);
  ASSERT_TRUE(std::holds_alternative<TransferResponse>(back));
  const auto& read = std::get<TransferResponse>(back);
  EXPECT_EQ(read.nonce, o.nonce);
  EXPECT_EQ(read.donor, o.donor);
  EXPECT_EQ(read.boot_id, o.boot_id);
  EXPECT_EQ(read.view_age, o.view_age);
  EXPECT_EQ(read.state.endpoints, o.state.endpoints);
  EXPECT_EQ(read.state.members, o.state.members);
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
