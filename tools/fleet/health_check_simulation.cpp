#include "fleet/health_check_simulation.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "deps/scatter_gather.h"

namespace granitegap::fleet {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 10ms;
constexpr Duration kGossipDelay = 500ms;  // age of the views
constexpr Duration kCallLatency = 10ms, kBudget = 200ms;
constexpr Duration kOutage = 60s, kReturn = 20s;  // how long it lasts, and how long its end is watched
constexpr Duration kDetection = 10s;              // within which all servers have opened their circuits
constexpr Duration kProberEnds = 30s;             // after the beginning of the outage
constexpr TimePoint kStart(1000s), kOutageBegins = kStart + 5s, kOutageEnds = kOutageBegins + kOutage;
constexpr std::uint16_t kFirstPort = 9001;
constexpr const char* kDependency = "elevation.example.org";

std::shared_ptr<const deps::Spec> one_dependency(std::uint16_t endpoints) {
  deps::DependencySpec dependency;
  dependency.name = kDependency;
  for (std::uint16_t e = 0; e < endpoints; ++e)
    dependency.endpoints.push_back({"127.0.0.1", std::uint16_t(kFirstPort + e)});
  deps::PartSpec part;
  part.name = "elevation";
  part.path = "/e/{obj}";
  deps::GatherSpec gather;
  gather.parts = {part};
  auto spec = std::make_shared<deps::Spec>();
  spec->dependencies.push_back(std::move(dependency));
  spec->gathers.push_back(std::move(gather));
  return spec;
}

class HealthCheckSimulation {
 public:
  HealthCheckSimulation(std::size_t servers, std::uint64_t seed, std::uint16_t endpoints);
  HealthCheckTraffic run(bool together, bool prober_ends);

 private:
  struct Server {
    std::string name;
    std::unique_ptr<deps::ScatterGather> scatter_gather;
    std::vector<std::pair<TimePoint, deps::CallCompletion>> completions;  // by when they are due
    std::vector<membership::EndpointHealth> health;                       // as gossiped last
    bool is_alive = true;
  };
  bool is_outage() const { return now_ >= kOutageBegins && now_ < kOutageEnds; }
  void gossip();
  std::shared_ptr<membership::View> view_of(const Server& own) const;
  void end_prober();
  void complete_calls(Server& server);
  void start_request(Server& server);
  void carry_out_actions(Server& server);
  bool all_know_of_return() const;

  std::vector<Server> servers_;
  TimePoint now_ = kStart, last_gossip_{};
  std::uint32_t next_id_ = 1;
  std::uint64_t calls_ = 0;  // to the endpoints while they are down, after the detection
};

HealthCheckSimulation::HealthCheckSimulation(std::size_t servers, std::uint64_t seed, std::uint16_t endpoints)
    : servers_(servers) {
  const auto spec = one_dependency(endpoints);
  for (std::size_t n = 0; n < servers; ++n) {
    servers_[n].name = "n" + std::to_string(n);
    servers_[n].scatter_gather = std::make_unique<deps::ScatterGather>(spec, seed + n);
  }
}

HealthCheckTraffic HealthCheckSimulation::run(bool together, bool prober_ends) {
  std::optional<TimePoint> known_at;
  for (; now_ < kOutageEnds + kReturn; now_ += kStep) {
    if (together && now_ - last_gossip_ >= kGossipDelay) {
      last_gossip_ = now_;
      gossip();
      if (prober_ends && now_ > kOutageBegins + kProberEnds) end_prober();
    }
    for (auto& server : servers_) {
      if (!server.is_alive) continue;
      complete_calls(server);
      server.scatter_gather->tick(now_);
      start_request(server);
      carry_out_actions(server);
    }
    if (now_ >= kOutageEnds && !known_at && all_know_of_return()) known_at = now_;
  }
  const std::chrono::duration<double> counted = kOutage - kDetection;
  HealthCheckTraffic traffic;
  traffic.calls_a_second = double(calls_) / counted.count();
  traffic.back_within_s = known_at ? std::chrono::duration<double>(*known_at - kOutageEnds).count() : -1;
  return traffic;
}

void HealthCheckSimulation::gossip() {
  for (auto& server : servers_) server.health = server.scatter_gather->endpoint_health(now_);
  for (auto& server : servers_) server.scatter_gather->on_membership_view(view_of(server), now_);
}

std::shared_ptr<membership::View> HealthCheckSimulation::view_of(const Server& own) const {
  auto view = std::make_shared<membership::View>();
  view->own_hash = membership::name_hash(own.name);
  for (const auto& server : servers_) {
    if (&server == &own || !server.is_alive) continue;
    membership::View::Peer peer;
    peer.name = server.name;
    peer.hash = membership::name_hash(peer.name);
    peer.metadata.stage = membership::Stage::serving;
    peer.metadata.endpoint_health = server.health;
    view->peers.push_back(std::move(peer));
  }
  view->fleet_size = servers_.size();
  return view;
}

// Ends the member that rendezvous hashing chooses to probe the first endpoint.
void HealthCheckSimulation::end_prober() {
  membership::View view;
  view.own_hash = 0;
  for (const auto& server : servers_) {
    membership::View::Peer peer;
    peer.hash = membership::name_hash(server.name);
    peer.metadata.stage = membership::Stage::serving;
    view.peers.push_back(std::move(peer));
  }
  const auto endpoint = std::string(kDependency) + " 127.0.0.1 " + std::to_string(kFirstPort);
  const auto prober = membership::select_health_checker(view, membership::name_hash(endpoint));
  for (auto& server : servers_)
    if (membership::name_hash(server.name) == prober) server.is_alive = false;
}

void HealthCheckSimulation::complete_calls(Server& server) {
  auto& completions = server.completions;
  for (std::size_t i = 0; i < completions.size();) {
    if (completions[i].first > now_) {
      ++i;
      continue;
    }
    server.scatter_gather->on_call_completed(completions[i].second, now_);
    completions.erase(completions.begin() + std::ptrdiff_t(i));
  }
}

void HealthCheckSimulation::start_request(Server& server) {
  const RequestId id{next_id_};
  server.scatter_gather->begin(id, ClassId{0}, {next_id_, "", ""}, kBudget, true, now_);
  ++next_id_;
}

void HealthCheckSimulation::carry_out_actions(Server& server) {
  const auto pending = server.scatter_gather->actions();
  const std::vector<deps::Action> actions(pending.begin(), pending.end());
  server.scatter_gather->clear_actions();
  for (const auto& action : actions) {
    if (const auto* call = std::get_if<deps::StartCall>(&action)) {
      if (is_outage() && now_ >= kOutageBegins + kDetection) ++calls_;
      const bool fails = is_outage() || (now_ >= kOutageBegins && call->endpoint != 0);
      const auto outcome = fails ? deps::CallOutcome::error : deps::CallOutcome::ok;
      server.completions.push_back(
          {now_ + kCallLatency,
           deps::CallCompletion{
               call->id, outcome, kCallLatency, {}, std::make_shared<const std::string>("x")}});
    } else if (const auto* ended = std::get_if<deps::GatherEnded>(&action)) {
      server.scatter_gather->release(ended->id);
    }
  }
}

bool HealthCheckSimulation::all_know_of_return() const {
  return std::all_of(servers_.begin(), servers_.end(), [](const Server& server) {
    return !server.is_alive || !server.scatter_gather->is_circuit_open(0);
  });
}

}  // namespace

HealthCheckTraffic simulate_outage(std::size_t servers, bool together, std::uint64_t seed, bool gone,
                                   std::uint16_t endpoints) {
  return HealthCheckSimulation(servers, seed, endpoints).run(together, gone);
}

}  // namespace granitegap::fleet
