// Phases, slow start and overload guard on virtual time, and in a simulated fleet.
#include "recovery/recovery_controller.h"

#include <random>

#include "fleet/recovery_simulation.h"
#include "recovery_test_support.h"

namespace granitegap::recovery {
namespace {

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
  w.on_fleet_status(summarize_fleet(seen(8, 2)), w.now);  // 0.2
  EXPECT_TRUE(w.overload_guard_active());
  EXPECT_TRUE(w.max_wait_factor());
  EXPECT_EQ(w.phase(), Phase::in_service);
  EXPECT_EQ(w.advertised_share(), 1);
  w.pass(10s, 2, 0, 1);
  EXPECT_TRUE(w.max_wait_factor());  // callers still press
  w.on_fleet_status(summarize_fleet(seen(10, 0)), w.now);
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
    w.on_fleet_status(summarize_fleet(seen(able, returning, gone)), w.now);
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
  w.on_fleet_status(summarize_fleet(seen(19, 1)), w.now);
  EXPECT_EQ(w.restart_scope(), RestartScope::majority);  // not yet sure
  for (int k = 0; k < 20; ++k) {                         // to and fro
    w.pass(300ms, 0, 1, 1);
    w.on_fleet_status(summarize_fleet(k % 2 ? seen(19, 1) : seen(8, 11)), w.now);
    EXPECT_EQ(w.restart_scope(), RestartScope::majority);
  }
  w.on_fleet_status(summarize_fleet(seen(19, 1)), w.now);
  w.pass(4s, 0, 1, 1);
  EXPECT_EQ(w.restart_scope(), RestartScope::single);
  w.on_fleet_status(summarize_fleet(seen(4, 16)), w.now);  // worse is believed at once
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
          w.on_fleet_status(summarize_fleet(seen(random() % 10, random() % 10, random() % 4)), w.now);
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
    w.on_fleet_status(summarize_fleet(seen(10, 0)), w.now);
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

}  // namespace
}  // namespace granitegap::recovery
