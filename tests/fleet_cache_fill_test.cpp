// Several members that ask each other for cache fills while members stop, restart and differ in their views.
#include <gtest/gtest.h>

#include <random>

#include "standin/cache_fill_simulation.h"

namespace granitegap::deps {
namespace {

using membership::View;
using namespace std::chrono_literals;

// All members restart and need the same: the owner of each key calls once and serves the others.
TEST(FleetCacheFill, OneDependencyCallServesAllMembers) {
  CacheFillSimulation fleet(6, CacheFillSimulation::default_spec());
  for (std::uint64_t key = 0; key < 20; ++key)
    for (std::size_t n = 0; n < 6; ++n) fleet.start_request(n, key);
  fleet.run_for(1s);
  EXPECT_EQ(fleet.dependency_calls, 20u);
  EXPECT_EQ(fleet.results.size(), 120u);
  for (const auto& [who, g] : fleet.results) {
    EXPECT_EQ(g.status, PartStatus::fresh);
    EXPECT_LE(g.took, 20ms);
    EXPECT_EQ(g.body.rfind("data of /e/", 0), 0u);
  }
}

// The control.
TEST(FleetCacheFill, WithoutItEachMemberCallsTheDependency) {
  auto spec = CacheFillSimulation::default_spec();
  for (auto& d : spec.dependencies) d.fleet_cache_fill = false;
  CacheFillSimulation fleet(6, spec);
  for (std::size_t n = 0; n < 6; ++n) fleet.start_request(n, 1);
  fleet.run_for(1s);
  EXPECT_EQ(fleet.dependency_calls, 6u);
  EXPECT_EQ(fleet.owner_requests, 0u);
}

// A response from the owner keeps its age; one that is too old is not served.
TEST(FleetCacheFill, AgeIsCarriedOverAndCached) {
  CacheFillSimulation fleet(4, CacheFillSimulation::default_spec());
  const std::uint64_t key = 5;
  const auto owner = fleet.owner_of(key), other = (owner + 1) % 4;
  fleet.start_request(owner, key);
  fleet.run_for(7s);
  const auto id = fleet.start_request(other, key);
  fleet.run_for(100ms);
  EXPECT_EQ(fleet.dependency_calls, 1u);
  EXPECT_EQ(fleet.results.at({other, id}).status, PartStatus::fresh);
  EXPECT_GE(fleet.results.at({other, id}).age, 6900ms);
  fleet.run_for(3s);  // now it is too old at both members
  const auto again = fleet.start_request(other, key);
  fleet.run_for(100ms);
  EXPECT_EQ(fleet.dependency_calls, 2u);
  EXPECT_LE(fleet.results.at({other, again}).age, 20ms);
}

// The owner has stopped and the others do not know yet: the asking member calls the dependency itself within
// its budget, and skips the owner for a while.
TEST(FleetCacheFill, SilentOwnerCostsNoResponse) {
  CacheFillSimulation fleet(4, CacheFillSimulation::default_spec());
  const std::uint64_t key = 5;
  const auto owner = fleet.owner_of(key), other = (owner + 1) % 4;
  fleet.silent_members.insert(owner);
  const auto id = fleet.start_request(other, key);
  fleet.run_for(1s);
  EXPECT_EQ(fleet.results.at({other, id}).status, PartStatus::fresh);
  EXPECT_LE(fleet.results.at({other, id}).took, 400ms);
  EXPECT_EQ(fleet.dependency_calls, 1u);
  // While it is skipped its keys have another owner.
  fleet.silent_members.clear();
  for (std::uint64_t k = 100; k < 140; ++k) fleet.start_request(other, k);
  EXPECT_LT(fleet.owner_requests, 41u);
  fleet.run_for(1s);
  for (const auto& [who, g] : fleet.results) EXPECT_EQ(g.status, PartStatus::fresh);
}

// Another process on the owner's port rejects requests for the previous one.
TEST(FleetCacheFill, RestartedOwnerDoesNotAnswerForThePreviousOne) {
  CacheFillSimulation fleet(4, CacheFillSimulation::default_spec());
  const std::uint64_t key = 5;
  const auto owner = fleet.owner_of(key), other = (owner + 1) % 4;
  fleet.restarted_members.insert(owner);
  const auto id = fleet.start_request(other, key);
  fleet.run_for(1s);
  EXPECT_EQ(fleet.results.at({other, id}).status, PartStatus::fresh);
  EXPECT_EQ(fleet.dependency_calls, 1u);
}

// The dependency is down: the owner answers so, and nothing stays open.
TEST(FleetCacheFill, FailingDependencyEndsEveryRequestWithinItsBudget) {
  CacheFillSimulation fleet(4, CacheFillSimulation::default_spec());
  fleet.dependency_is_healthy = false;
  for (std::uint64_t key = 0; key < 30; ++key)
    for (std::size_t n = 0; n < 4; ++n) fleet.start_request(n, key);
  fleet.run_for(2s);
  EXPECT_EQ(fleet.results.size(), 120u);
  for (const auto& [who, g] : fleet.results) {
    EXPECT_EQ(g.status, PartStatus::absent);
    EXPECT_LE(g.took, 400ms);
  }
  for (std::size_t n = 0; n < 4; ++n) {
    EXPECT_EQ(fleet.scatter_gather(n).active_gathers(), 0u);
    EXPECT_EQ(fleet.scatter_gather(n).active_calls(), 0u);
  }
}

// Two members whose views differ may each take the other for the owner. An owner never asks a third member.
TEST(FleetCacheFill, DifferingViewsCauseNoForwardingLoop) {
  CacheFillSimulation fleet(2, CacheFillSimulation::default_spec());
  const std::uint64_t key = 5;
  const auto owner = fleet.owner_of(key);
  // In the owner's view another member has the higher score for the key.
  auto odd = simulated_view(owner, 2);
  auto third = simulated_member(1 - owner);
  for (std::uint64_t name = 1;; ++name) {
    third.hash = name;
    odd.peers = {third};
    KeyOwnerSelector selector;
    selector.update_view(odd);
    if (selector.find_owner(CacheFillSimulation::key_of(key), {})) break;
  }
  fleet.scatter_gather(owner).on_membership_view(std::make_shared<View>(odd), fleet.now);
  fleet.start_request(0, key);
  fleet.start_request(1, key);
  fleet.run_for(1s);
  ASSERT_EQ(fleet.results.size(), 2u);
  for (const auto& [who, g] : fleet.results) {
    EXPECT_EQ(g.status, PartStatus::fresh);
    EXPECT_LE(g.took, 400ms);
  }
}

// Members stop, return and restart while the dependency fails at times: each gather ends once, within its
// budget, with nothing older than declared, and nothing stays open.
TEST(FleetCacheFill, KeepsItsInvariantsUnderRandomFaults) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CacheFillSimulation fleet(5, CacheFillSimulation::default_spec());
    std::mt19937_64 random(seed);
    std::size_t asked = 0;
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
      const auto n = random() % 5;
      fleet.start_request(n, random() % 20);
      ++asked;
      fleet.run_for(std::chrono::milliseconds(random() % 200));
    }
    fleet.run_for(5s);
    ASSERT_EQ(fleet.results.size(), asked) << seed;
    for (const auto& [who, g] : fleet.results) {
      EXPECT_LE(g.took, 400ms);
      if (g.status == PartStatus::fresh) {
        EXPECT_LE(g.age, 10s);
      }
    }
    for (std::size_t n = 0; n < 5; ++n) {
      EXPECT_EQ(fleet.scatter_gather(n).active_gathers(), 0u);
      EXPECT_EQ(fleet.scatter_gather(n).active_calls(), 0u);
      EXPECT_EQ(fleet.scatter_gather(n).in_flight(0), 0u);
    }
  }
}

}  // namespace
}  // namespace granitegap::deps
