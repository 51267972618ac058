// Tests phases, slow start and overload guard on virtual time, and in a simulated fleet.
#include "recovery/recovery_controller.h"

#include <random>

#include "fleet/recovery_simulation.h"
#include "recovery_test_support.h"

namespace granitegap::recovery {
namespace {

// A controller with its own virtual time.
struct ControllerOnVirtualTime : RecoveryController {
  explicit ControllerOnVirtualTime(RecoveryOptions recovery_options = {})
      : RecoveryController(recovery_options, kStart), options(recovery_options) {}
  RecoveryOptions options;
  TimePoint now = kStart;
  // Advances the time in ticks of 100 ms. In each tick `within_objective` runs meet their latency objective,
  // `missed_objective` runs miss it, and `rejected` arrivals are rejected. Checks the bound on the advertised
  // share after each tick.
  void advance(Duration span, int within_objective = 0, int missed_objective = 0, int rejected = 0) {
    for (const auto end = now + span; now < end;) {
      now += 100ms;
      for (int k = 0; k < within_objective; ++k) on_run_finished(true, now);
      for (int k = 0; k < missed_objective; ++k) on_run_finished(false, now);
      for (int k = 0; k < rejected; ++k) on_request_rejected(now);
      tick(now);
      EXPECT_LE(advertised_share(),
                std::max(options.initial_share, verified_share() * options.growth_factor) + 1e-9);
    }
  }
  void kernel_ready(bool cold = true, Duration warm_up = 10s) { on_kernel_ready(cold, warm_up, now); }
};

TEST(RecoveryController, EntersServiceAsRunsMeetTheirObjectives) {
  ControllerOnVirtualTime controller;
  EXPECT_EQ(controller.phase(), Phase::starting);
  controller.advance(2s);
  EXPECT_EQ(controller.phase(), Phase::starting);  // recovery does not begin without a kernel
  controller.kernel_ready();
  EXPECT_EQ(controller.phase(), Phase::transferring_state);
  controller.on_state_transferred(3, controller.now);
  EXPECT_EQ(controller.phase(), Phase::slow_start);
  EXPECT_EQ(controller.max_wait_factor(), 1.0);
  controller.advance(1s, 2);
  EXPECT_GT(controller.advertised_share(), 0.1);
  controller.advance(20s, 2);
  EXPECT_EQ(controller.phase(), Phase::in_service);
  EXPECT_EQ(controller.advertised_share(), 1);
  EXPECT_FALSE(controller.max_wait_factor());
  EXPECT_EQ(controller.timeline().donors, 3u);
  ASSERT_TRUE(controller.timeline().in_service && controller.timeline().half_share &&
              controller.timeline().nearly_full_share && controller.timeline().estimated_in_service);
  EXPECT_LE(*controller.timeline().half_share, *controller.timeline().nearly_full_share);
}

// Guards against a share that grows with time while callers send requests and no run meets its objective.
TEST(RecoveryController, ShareDoesNotGrowWhileNoRunMeetsItsObjective) {
  ControllerOnVirtualTime controller;
  controller.kernel_ready();
  controller.advance(1s);
  controller.advance(60s, 0, 0, 3);
  EXPECT_EQ(controller.phase(), Phase::slow_start);
  EXPECT_EQ(controller.advertised_share(), 0.1);
  controller.advance(20s, 0, 2, 3);
  EXPECT_EQ(controller.advertised_share(), 0.1);
}

TEST(RecoveryController, ShareGrowsSlowlyToServiceWithoutRequests) {
  ControllerOnVirtualTime controller;
  controller.kernel_ready();
  controller.advance(5s);
  EXPECT_GT(controller.advertised_share(), 0.1);
  EXPECT_EQ(controller.phase(), Phase::slow_start);
  controller.advance(60s);
  EXPECT_EQ(controller.phase(), Phase::in_service);
}

TEST(RecoveryController, ShareShrinksAfterAStepWithMissedObjectives) {
  ControllerOnVirtualTime controller;
  controller.kernel_ready();
  controller.advance(3s, 2);
  const auto before = controller.advertised_share();
  controller.advance(500ms, 0, 4);
  EXPECT_LT(controller.advertised_share(), before);
  EXPECT_LE(controller.verified_share(), before);
}

// Without a response from any donor the state transfer ends after max_state_transfer.
TEST(RecoveryController, StateTransferEndsAfterItsMaximumTime) {
  ControllerOnVirtualTime controller;
  controller.kernel_ready();
  controller.advance(700ms);
  EXPECT_EQ(controller.phase(), Phase::transferring_state);
  controller.advance(300ms);
  EXPECT_EQ(controller.phase(), Phase::slow_start);
  ControllerOnVirtualTime early;  // the state transfer ended before the kernel was up
  early.on_state_transferred(2, early.now);
  early.kernel_ready();
  EXPECT_EQ(early.phase(), Phase::slow_start);
}

TEST(RecoveryController, ARestartedKernelBeginsAnotherRecovery) {
  ControllerOnVirtualTime controller;
  controller.kernel_ready();
  controller.advance(30s, 2);
  ASSERT_EQ(controller.phase(), Phase::in_service);
  controller.kernel_ready(true);
  EXPECT_EQ(controller.phase(), Phase::slow_start);
  EXPECT_EQ(controller.advertised_share(), 0.1);
  EXPECT_FALSE(controller.timeline().in_service);
  EXPECT_EQ(controller.recoveries(), 1u);
  controller.advance(30s, 2);
  EXPECT_EQ(controller.phase(), Phase::in_service);
  controller.kernel_ready(false);  // the link to a running kernel was re-established
  EXPECT_EQ(controller.phase(), Phase::in_service);
}

// After a long pause the warm state of the process is stale, so that it is transferred again.
TEST(RecoveryController, ALongPauseBeginsAnotherRecoveryAndAShortOneDoesNot) {
  ControllerOnVirtualTime controller;
  controller.kernel_ready();
  controller.advance(30s, 2);
  controller.now += 4s;
  controller.tick(controller.now);
  EXPECT_EQ(controller.phase(), Phase::in_service);
  controller.now += 20s;
  controller.tick(controller.now);
  EXPECT_EQ(controller.phase(), Phase::transferring_state);
  EXPECT_EQ(controller.advertised_share(), 0.5);
  EXPECT_TRUE(controller.max_wait_factor());
  controller.on_state_transferred(1, controller.now);
  controller.advance(30s, 2);
  EXPECT_EQ(controller.phase(), Phase::in_service);
  ControllerOnVirtualTime slow_kernel;  // a kernel that takes long to start does not count as a pause
  slow_kernel.now += 60s;
  slow_kernel.kernel_ready();
  slow_kernel.advance(100ms);
  EXPECT_EQ(slow_kernel.recoveries(), 0u);
}

// Members that did not restart bound their waits, at their full share, until the others are in service.
TEST(RecoveryController, WaitsAreBoundedInServiceWhilePartOfTheFleetRecovers) {
  ControllerOnVirtualTime controller;
  controller.kernel_ready();
  controller.advance(30s, 2);
  ASSERT_FALSE(controller.max_wait_factor());
  controller.on_fleet_status(summarize_fleet(make_view(8, 2)), controller.now);  // recovering share 0.2
  EXPECT_TRUE(controller.overload_guard_active());
  EXPECT_TRUE(controller.max_wait_factor());
  EXPECT_EQ(controller.phase(), Phase::in_service);
  EXPECT_EQ(controller.advertised_share(), 1);
  controller.advance(10s, 2, 0, 1);
  EXPECT_TRUE(controller.max_wait_factor());  // requests are still rejected
  controller.on_fleet_status(summarize_fleet(make_view(10, 0)), controller.now);
  controller.advance(5s, 2);
  EXPECT_FALSE(controller.max_wait_factor());
}

// A metastable overload can also begin without a restart; the bound on waits ends it as well.
TEST(RecoveryController, UninterruptedRejectionsBoundWaitsInService) {
  ControllerOnVirtualTime controller;
  controller.kernel_ready();
  controller.advance(30s, 2);
  controller.advance(1s, 2, 0, 1);
  EXPECT_FALSE(controller.max_wait_factor());  // a short burst does not bound waits
  controller.advance(2s, 2, 0, 1);
  EXPECT_TRUE(controller.overload_guard_active());
  controller.advance(3500ms, 2);
  EXPECT_FALSE(controller.max_wait_factor());
}

TEST(RecoveryController, RestartScopeFollowsTheRecoveringShare) {
  const auto scope_of_view = [](std::size_t in_service, std::size_t recovering, std::size_t missing) {
    ControllerOnVirtualTime controller;
    controller.on_fleet_status(summarize_fleet(make_view(in_service, recovering, missing)), controller.now);
    return controller.restart_scope();
  };
  EXPECT_EQ(scope_of_view(10, 1, 0), RestartScope::single);
  EXPECT_EQ(scope_of_view(7, 2, 1), RestartScope::partial);
  EXPECT_EQ(scope_of_view(3, 4, 3), RestartScope::majority);
  ControllerOnVirtualTime controller;
  controller.on_last_known_members(20, controller.now);  // a snapshot lists members, and none is visible
  EXPECT_EQ(controller.restart_scope(), RestartScope::majority);
}

// A scope that was first overestimated is corrected once, and not while the view oscillates.
TEST(RecoveryController, AnOverestimatedScopeIsCorrectedWithoutOscillation) {
  ControllerOnVirtualTime controller;
  controller.on_last_known_members(20, controller.now);
  controller.kernel_ready();
  controller.on_fleet_status(summarize_fleet(make_view(19, 1)), controller.now);
  EXPECT_EQ(controller.restart_scope(), RestartScope::majority);  // not shown for long enough yet
  for (int k = 0; k < 20; ++k) {                                  // the view oscillates
    controller.advance(300ms, 0, 1, 1);
    controller.on_fleet_status(summarize_fleet(k % 2 ? make_view(19, 1) : make_view(8, 11)), controller.now);
    EXPECT_EQ(controller.restart_scope(), RestartScope::majority);
  }
  controller.on_fleet_status(summarize_fleet(make_view(19, 1)), controller.now);
  controller.advance(4s, 0, 1, 1);
  EXPECT_EQ(controller.restart_scope(), RestartScope::single);
  // A larger scope is accepted at once.
  controller.on_fleet_status(summarize_fleet(make_view(4, 16)), controller.now);
  EXPECT_EQ(controller.restart_scope(), RestartScope::majority);
}

// Over random restarts, pauses, faults and callers the advertised share never exceeds the verified share
// times the growth factor, and the process is in service within a bounded time once the faults end.
TEST(RecoveryController, RandomSchedulesKeepTheShareBoundedAndEndInService) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    ControllerOnVirtualTime controller;
    controller.kernel_ready(random() % 2, std::chrono::seconds(random() % 20));
    for (int k = 0; k < 40; ++k) {
      switch (random() % 6) {
        case 0:
          controller.now += std::chrono::milliseconds(random() % 12000);
          controller.tick(controller.now);
          break;
        case 1:
          controller.kernel_ready(random() % 2);
          break;
        case 2:
          controller.on_fleet_status(summarize_fleet(make_view(random() % 10, random() % 10, random() % 4)),
                                     controller.now);
          break;
        case 3:
          controller.on_state_transferred(random() % 4, controller.now);
          break;
        default:
          controller.advance(std::chrono::milliseconds(random() % 3000), int(random() % 4), int(random() % 4),
                             int(random() % 3));
      }
      EXPECT_GE(controller.advertised_share(), controller.options.initial_share);
      EXPECT_LE(controller.advertised_share(), 1);
    }
    controller.on_fleet_status(summarize_fleet(make_view(10, 0)), controller.now);
    controller.advance(40s, 2);
    EXPECT_EQ(controller.phase(), Phase::in_service) << seed;
    EXPECT_FALSE(controller.max_wait_factor()) << seed;
  }
}

// A metastable failure: most of a fleet restarts under callers that retry without limit. With recovery the
// fleet returns to full service. The same scenario without recovery must stay overloaded, as otherwise this
// test would not show the effect of recovery.
TEST(RecoveryController, AFleetThatWouldStayOverloadedReturnsToFullService) {
  fleet::RecoverySimulationOptions options;
  options.servers = 12;
  options.observed_period = 50s;
  for (options.seed = 1; options.seed <= 2; ++options.seed) {
    options.with_recovery = true;
    const auto with_recovery = fleet::simulate_recovery(options);
    EXPECT_GE(with_recovery.full_service_s, 0);
    EXPECT_EQ(with_recovery.not_in_service_at_end, 0u);
    EXPECT_LE(with_recovery.max_advertised_over_verified, options.recovery.growth_factor + 1e-9);
    options.with_recovery = false;
    const auto without_recovery = fleet::simulate_recovery(options);
    EXPECT_LT(without_recovery.full_service_s, 0);
    EXPECT_LT(with_recovery.lost_s, without_recovery.lost_s / 2);
  }
}

}  // namespace
}  // namespace granitegap::recovery
