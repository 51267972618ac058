// A notice to leave reaches a restarted tile server before its kernel is up. See claim.txt.
#include "../standin/standin.h"

namespace {

using namespace review;

constexpr double kServeMs = 1500;        // the first life serves for so long
constexpr double kAwayMs = 5600;         // a crashed server comes back after 5.6 to 25 s
constexpr double kBootApartMs = 1000;    // between the notice and the kernel's start, in either order
constexpr double kFirstRequestMs = 100;  // after the kernel's start
constexpr double kGraceMs = 2000;        // rules.drain_grace_ms
constexpr int kProxies = 3;
constexpr double kRequestsPerSecond = 11;  // 130 a second over 12 servers

struct RestartedServer : World {
  RestartedServer(const char* root_folder, const char* record_path) : World(root_folder, record_path) {
    kernel.set_speed(0.5, 0.2, site.cold_ms);  // the slower kind of machine, started cold
  }
  // Client proxies send what comes.
  void offer_until(double until) {
    std::exponential_distribution<double> gap(kRequestsPerSecond / 1000);
    double next = unix_ms();
    while (unix_ms() < until) {
      step();
      if (unix_ms() < next) continue;
      next += gap(requests.random);
      connection_of(1 + int(requests.random() % kProxies), site.listen).send(draw());
    }
  }
};

int play(const char* root, const char* record_path) {
  const bool trouble = trouble_wanted();
  RestartedServer world(root, record_path);
  auto& record = world.record;

  world.start_server();
  world.kernel.boot();
  world.run_for(kFirstRequestMs);
  world.offer_until(unix_ms() + kServeMs);
  world.run_for(5000);  // all is answered
  record.line("platform: the tile server is killed along with its kernel");
  world.server->signal(SIGKILL);
  world.kernel.die();
  while (!world.server->ended()) world.step();
  world.forget_connections();
  world.run_for(kAwayMs);

  // Back under the same name and address; the proxies still have it on their lists.
  world.start_server();
  double notice = 0;
  const auto give_notice = [&] {
    notice = unix_ms();
    record.line("platform: SIGTERM, SIGKILL follows after %d ms", world.site.stop_ms);
    world.server->signal(SIGTERM);
  };
  if (trouble) give_notice();
  if (trouble) world.run_for(kBootApartMs);
  world.kernel.boot();
  world.run_for(kFirstRequestMs);
  if (!trouble) {
    world.offer_until(unix_ms() + kBootApartMs);
    give_notice();
  }
  world.offer_until(notice + kGraceMs - 100);
  while (!world.server->ended()) {
    world.step();
    if (unix_ms() < notice + world.site.stop_ms) continue;
    record.line("platform: SIGKILL");
    world.server->signal(SIGKILL);
  }
  record.line("platform: the tile server ended %.0f ms after the notice", unix_ms() - notice);
  world.run_for(300);

  std::size_t late_runs = 0;
  for (const auto& request : world.requests.all)
    late_runs += request->runs > 0 && request->written > notice + kGraceMs + 50;
  const auto verdict = judge(world.requests, world.site.window_ms, record);
  const bool broken = too_many_lost(verdict) || verdict.twice || verdict.wrong || verdict.rerun || late_runs;
  return conclude(verdict, broken);
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, play); }
