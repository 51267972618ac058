// The scenario `loss`: the network between members loses datagrams or is cut, and members stop for moments,
// but all of them live all the time: nobody may be declared dead, but by a majority from which it is cut off.

#include "fleet_scenario.h"

namespace granitegap::soak {
namespace {

using namespace std::chrono_literals;

void lose_some(FleetPlay& play, Draw& draw) {
  standin::Rule loss;
  loss.loss = double(draw.between(5, 40)) / 100;
  play.fleet().add_rule(loss);
  play.run_for(8s);
}

void lose_in_bursts(FleetPlay& play, Draw& draw) {
  standin::Rule loss;
  loss.loss = 0.3;
  play.fleet().add_rule(loss);
  standin::Rule bursts;
  bursts.burst_loss = 1;
  bursts.good_for = 3s;
  bursts.bad_for = draw.milliseconds(200, 600);
  play.fleet().add_rule(bursts);
  play.run_for(8s);
}

void cut_in_two(FleetPlay& play, Draw& draw) {
  play.partition(draw.sample(draw.between(1, play.size() / 2), play.size()));
  play.run_for(5s);
}

void cut_one_direction(FleetPlay& play, Draw& draw) {
  const auto from = FleetPlay::name_of(draw.between(0, play.size() - 1));
  const auto to = FleetPlay::name_of(draw.between(0, play.size() - 1));
  if (from != to) play.fleet().partition({from}, {to});
  play.run_for(5s);
}

// Pauses under half of the shortest time in which a silent member may be declared dead.
void stop_for_moments(FleetPlay& play, Draw& draw) {
  standin::Rule loss;
  loss.loss = double(draw.between(0, 20)) / 100;
  play.fleet().add_rule(loss);
  for (std::size_t k = 0; k < 8; ++k) {
    const auto member = draw.between(0, play.size() - 1);
    play.pause(member, FleetPlay::PauseLength::short_of_suspicion);
    play.run_for(draw.milliseconds(100, 400));
    play.resume(member);
    play.run_for(draw.milliseconds(100, 600));
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
  return play_fleet_scenario("loss", kFaults, seed, options);
}

}  // namespace granitegap::soak
