// The scenario `loss`: the network between members loses datagrams or is partitioned, and members are stopped
// briefly, but no process ends. A member may be declared dead only by a majority from which it is
// partitioned.

#include "fleet_scenario.h"

namespace granitegap::soak {
namespace {

using namespace std::chrono_literals;

void lose_some(FleetHarness& harness, SeededRandom& random) {
  standin::Rule loss;
  loss.loss = double(random.between(5, 40)) / 100;
  harness.fleet().add_rule(loss);
  harness.run_for(8s);
}

void lose_in_bursts(FleetHarness& harness, SeededRandom& random) {
  standin::Rule loss;
  loss.loss = 0.3;
  harness.fleet().add_rule(loss);
  standin::Rule bursts;
  bursts.burst_loss = 1;
  bursts.good_for = 3s;
  bursts.bad_for = random.milliseconds(200, 600);
  harness.fleet().add_rule(bursts);
  harness.run_for(8s);
}

void cut_in_two(FleetHarness& harness, SeededRandom& random) {
  harness.partition(random.sample(random.between(1, harness.size() / 2), harness.size()));
  harness.run_for(5s);
}

void cut_one_direction(FleetHarness& harness, SeededRandom& random) {
  const auto from = FleetHarness::member_name(random.between(0, harness.size() - 1));
  const auto to = FleetHarness::member_name(random.between(0, harness.size() - 1));
  if (from != to) harness.fleet().partition({from}, {to});
  harness.run_for(5s);
}

// Each pause is less than half of the shortest time after which a silent member may be declared dead.
void stop_for_moments(FleetHarness& harness, SeededRandom& random) {
  standin::Rule loss;
  loss.loss = double(random.between(0, 20)) / 100;
  harness.fleet().add_rule(loss);
  for (std::size_t k = 0; k < 8; ++k) {
    const auto member = random.between(0, harness.size() - 1);
    harness.pause(member, FleetHarness::PauseLength::shorter_than_suspicion);
    harness.run_for(random.milliseconds(100, 400));
    harness.resume(member);
    harness.run_for(random.milliseconds(100, 600));
  }
}

constexpr FleetFault kFaults[] = {
    {"lose_some", lose_some},
    {"lose_in_bursts", lose_in_bursts},
    {"cut_in_two", cut_in_two},
    {"cut_one_direction", cut_one_direction},
    {"stop_for_moments", stop_for_moments},
};

}  // namespace

SeedReport run_loss(std::uint64_t seed, const RunOptions& options) {
  return run_fleet_scenario("loss", kFaults, seed, options);
}

}  // namespace granitegap::soak
