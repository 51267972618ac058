// Tests cache fills between several members of a fleet while members stop, restart and have different views.
#include <gtest/gtest.h>

#include <random>

#include "standin/cache_fill_simulation.h"

namespace granitegap::deps {
namespace {

using membership::View;
using namespace std::chrono_literals;

// All members start with empty caches and need the same keys: the owner of each key calls the dependency once
// and serves the other members.
TEST(FleetCacheFill, OneDependencyCallServesAllMembers) {
  CacheFillSimulation fleet(6, CacheFillSimulation::default_spec());
  for (std::uint64_t obj = 0; obj < 20; ++obj)
    for (std::size_t member = 0; member < 6; ++member) fleet.start_request(member, obj);
  fleet.run_for(1s);
  EXPECT_EQ(fleet.dependency_calls, 20u);
  EXPECT_EQ(fleet.results.size(), 120u);
  for (const auto& [request, result] : fleet.results) {
    EXPECT_EQ(result.status, PartStatus::fresh);
    EXPECT_LE(result.took, 20ms);
    EXPECT_EQ(result.body.rfind("data of /e/", 0), 0u);
  }
}

// The control experiment for OneDependencyCallServesAllMembers.
TEST(FleetCacheFill, WithoutCacheFillsEachMemberCallsTheDependency) {
  auto spec = CacheFillSimulation::default_spec();
  for (auto& dependency : spec.dependencies) dependency.fleet_cache_fill = false;
  CacheFillSimulation fleet(6, spec);
  for (std::size_t member = 0; member < 6; ++member) fleet.start_request(member, 1);
  fleet.run_for(1s);
  EXPECT_EQ(fleet.dependency_calls, 6u);
  EXPECT_EQ(fleet.owner_requests, 0u);
}

// A response from the owner keeps its age, and one that is too old is not served.
TEST(FleetCacheFill, ResponseFromTheOwnerKeepsItsAge) {
  CacheFillSimulation fleet(4, CacheFillSimulation::default_spec());
  const std::uint64_t obj = 5;
  const auto owner = fleet.owner_of(obj), other = (owner + 1) % 4;
  fleet.start_request(owner, obj);
  fleet.run_for(7s);
  const auto id = fleet.start_request(other, obj);
  fleet.run_for(100ms);
  EXPECT_EQ(fleet.dependency_calls, 1u);
  EXPECT_EQ(fleet.results.at({other, id}).status, PartStatus::fresh);
  EXPECT_GE(fleet.results.at({other, id}).age, 6900ms);
  fleet.run_for(3s);  // the response is now too old at both members
  const auto again = fleet.start_request(other, obj);
  fleet.run_for(100ms);
  EXPECT_EQ(fleet.dependency_calls, 2u);
  EXPECT_LE(fleet.results.at({other, again}).age, 20ms);
}

// The owner has stopped and the other members have not detected it yet. The requesting member calls the
// dependency itself within its budget, and skips the owner during its backoff.
TEST(FleetCacheFill, RequesterCallsTheDependencyWhenTheOwnerDoesNotAnswer) {
  CacheFillSimulation fleet(4, CacheFillSimulation::default_spec());
  const std::uint64_t obj = 5;
  const auto owner = fleet.owner_of(obj), other = (owner + 1) % 4;
  fleet.silent_members.insert(owner);
  const auto id = fleet.start_request(other, obj);
  fleet.run_for(1s);
  EXPECT_EQ(fleet.results.at({other, id}).status, PartStatus::fresh);
  EXPECT_LE(fleet.results.at({other, id}).took, 400ms);
  EXPECT_EQ(fleet.dependency_calls, 1u);
  // While the owner is skipped its keys have another owner.
  fleet.silent_members.clear();
  for (std::uint64_t later = 100; later < 140; ++later) fleet.start_request(other, later);
  EXPECT_LT(fleet.owner_requests, 41u);
  fleet.run_for(1s);
  for (const auto& [request, result] : fleet.results) EXPECT_EQ(result.status, PartStatus::fresh);
}

// A request carries the boot id of the owner: a later process on the same port must reject it.
TEST(FleetCacheFill, RestartedOwnerRejectsRequestsForThePreviousProcess) {
  CacheFillSimulation fleet(4, CacheFillSimulation::default_spec());
  const std::uint64_t obj = 5;
  const auto owner = fleet.owner_of(obj), other = (owner + 1) % 4;
  fleet.restarted_members.insert(owner);
  const auto id = fleet.start_request(other, obj);
  fleet.run_for(1s);
  EXPECT_EQ(fleet.results.at({other, id}).status, PartStatus::fresh);
  EXPECT_EQ(fleet.dependency_calls, 1u);
}

// The dependency fails: the owner reports the failure, and no gather or call remains.
TEST(FleetCacheFill, FailingDependencyEndsEveryRequestWithinItsBudget) {
  CacheFillSimulation fleet(4, CacheFillSimulation::default_spec());
  fleet.dependency_is_healthy = false;
  for (std::uint64_t obj = 0; obj < 30; ++obj)
    for (std::size_t member = 0; member < 4; ++member) fleet.start_request(member, obj);
  fleet.run_for(2s);
  EXPECT_EQ(fleet.results.size(), 120u);
  for (const auto& [request, result] : fleet.results) {
    EXPECT_EQ(result.status, PartStatus::absent);
    EXPECT_LE(result.took, 400ms);
  }
  for (std::size_t member = 0; member < 4; ++member) {
    EXPECT_EQ(fleet.scatter_gather(member).active_gathers(), 0u);
    EXPECT_EQ(fleet.scatter_gather(member).active_calls(), 0u);
  }
}

// Two members whose views differ may each consider the other the owner. An owner never forwards a request to
// another member.
TEST(FleetCacheFill, DifferingViewsCauseNoForwardingLoop) {
  CacheFillSimulation fleet(2, CacheFillSimulation::default_spec());
  const std::uint64_t obj = 5;
  const auto owner = fleet.owner_of(obj);
  // In the owner's view another member has the highest score for the key.
  auto differing_view = simulated_view(owner, 2);
  auto third = simulated_member(1 - owner);
  for (std::uint64_t hash = 1;; ++hash) {
    third.hash = hash;
    differing_view.peers = {third};
    KeyOwnerSelector selector;
    selector.update_view(differing_view);
    if (selector.find_owner(CacheFillSimulation::key_of(obj), {})) break;
  }
  fleet.scatter_gather(owner).on_membership_view(std::make_shared<View>(differing_view), fleet.now);
  fleet.start_request(0, obj);
  fleet.start_request(1, obj);
  fleet.run_for(1s);
  ASSERT_EQ(fleet.results.size(), 2u);
  for (const auto& [request, result] : fleet.results) {
    EXPECT_EQ(result.status, PartStatus::fresh);
    EXPECT_LE(result.took, 400ms);
  }
}

// Members stop, resume and restart while the dependency fails at times. Each gather ends exactly once, within
// its budget and with no response older than declared, and no gather or call remains.
TEST(FleetCacheFill, KeepsItsInvariantsUnderRandomFaults) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CacheFillSimulation fleet(5, CacheFillSimulation::default_spec());
    std::mt19937_64 random(seed);
    std::size_t requests = 0;
    for (int step = 0; step < 300; ++step) {
      switch (random() % 8) {
        case 0:
          fleet.silent_members.insert(random() % 5);
          break;
        case 1:
          fleet.silent_members.clear();
          fleet.restarted_members.clear();
          break;
        case 2:
          fleet.restarted_members.insert(random() % 5);
          break;
        case 3:
          fleet.dependency_is_healthy = random() % 4 > 0;
          fleet.dependency_latency = std::chrono::milliseconds(1 + random() % 600);
          break;
        default:
          break;
      }
      const auto member = random() % 5;
      fleet.start_request(member, random() % 20);
      ++requests;
      fleet.run_for(std::chrono::milliseconds(random() % 200));
    }
    fleet.run_for(5s);
    ASSERT_EQ(fleet.results.size(), requests) << seed;
    for (const auto& [request, result] : fleet.results) {
      EXPECT_LE(result.took, 400ms);
      if (result.status == PartStatus::fresh) {
        EXPECT_LE(result.age, 10s);
      }
    }
    for (std::size_t member = 0; member < 5; ++member) {
      EXPECT_EQ(fleet.scatter_gather(member).active_gathers(), 0u);
      EXPECT_EQ(fleet.scatter_gather(member).active_calls(), 0u);
      EXPECT_EQ(fleet.scatter_gather(member).in_flight(0), 0u);
    }
  }
}

}  // namespace
}  // namespace granitegap::deps
