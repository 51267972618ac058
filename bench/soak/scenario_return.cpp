// The scenario `return`: members go and come back while all are asked for a dependency.

#include "fleet_scenario.h"

namespace granitegap::soak {
namespace {

using namespace std::chrono_literals;

void restart_at_once(FleetPlay& play, const std::vector<std::size_t>& members) {
  for (const auto member : members) play.kill(member);
  for (const auto member : members) play.start(member);
  for (const auto member : members) play.wait_until_serving(member);
}

void restart_all(FleetPlay& play, Draw& draw) {
  restart_at_once(play, draw.sample(play.size(), play.size()));
}

void restart_most(FleetPlay& play, Draw& draw) {
  restart_at_once(play, draw.sample(play.size() * 3 / 4, play.size()));
}

void rolling_restart(FleetPlay& play, Draw& draw) {
  const bool gracefully = draw.one_in(2);
  for (const auto member : draw.sample(play.size(), play.size())) {
    if (gracefully)
      play.terminate(member);
    else
      play.kill(member);
    play.start(member);
    play.wait_until_serving(member);
    play.run_for(draw.milliseconds(0, 600));
  }
}

void stop_one_after_another(FleetPlay& play, Draw& draw) {
  for (const auto member : draw.sample(play.size(), play.size())) {
    play.pause(member, FleetPlay::PauseLength::beyond_suspicion);
    play.run_for(draw.milliseconds(200, 1600));
    play.resume(member);
    play.run_for(draw.milliseconds(0, 400));
  }
}

void lose_one(FleetPlay& play, Draw& draw) {
  const auto member = draw.between(0, play.size() - 1);
  play.kill(member);
  play.run_for(draw.milliseconds(2000, 5000));
  play.start(member);
  play.wait_until_serving(member);
}

void start_late_joiner(FleetPlay& play, Draw&) {
  play.start(play.size() - 1);
  play.wait_until_serving(play.size() - 1);
}

constexpr FleetFault kFaults[] = {
    {"restart_all", restart_all},
    {"restart_most", restart_most},
    {"rolling_restart", rolling_restart},
    {"stop_one_after_another", stop_one_after_another},
    {"lose_one", lose_one},
    {"late_joiner", start_late_joiner, 1},
};

}  // namespace

SeedReport run_return(std::uint64_t seed, const RunOptions& options) {
  return play_fleet_scenario("return", kFaults, seed, options);
}

}  // namespace granitegap::soak
