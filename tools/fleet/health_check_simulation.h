// What an endpoint at the bottom of an outage gets from n tile servers, each asked for parts all the time:
// the gatherers themselves, under a virtual clock, with views of each other or without.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "deps/scatter_gather.h"

namespace granitegap::fleet {

struct HealthCheckTraffic {
  double calls_a_second = 0;  // that the endpoint sees while it is out
  double back_within_s = 0;   // from its return to the last server's knowing; -1: not all within 20 s
};

// `together`: servers see each other's endpoint_health, a step late. `gone`: the chosen prober ends in the
// middle of the outage. `endpoints`: of the dependency; only the first comes back.
inline HealthCheckTraffic simulate_outage(std::size_t servers, bool together, std::uint64_t seed,
                                          bool gone = false, std::uint16_t endpoints = 1) {
  using namespace std::chrono_literals;
  deps::Spec spec;
  deps::DependencySpec d;
  d.name = "elevation.example.org";
  for (std::uint16_t e = 0; e < endpoints; ++e) d.endpoints.push_back({"127.0.0.1", std::uint16_t(9001 + e)});
  spec.dependencies.push_back(d);
  deps::GatherSpec g;
  deps::PartSpec part;
  part.name = "elevation";
  part.path = "/e/{obj}";
  g.parts = {part};
  spec.gathers.push_back(g);
  const auto shared = std::make_shared<const deps::Spec>(spec);

  struct Server {
    std::string name;
    std::unique_ptr<deps::ScatterGather> gatherer;
    std::vector<std::pair<TimePoint, deps::CallReport>> ends;
    std::vector<membership::EndpointHealth> found;
    bool lives = true;
  };
  std::vector<Server> all(servers);
  for (std::size_t n = 0; n < servers; ++n) {
    all[n].name = "n" + std::to_string(n);
    all[n].gatherer = std::make_unique<deps::ScatterGather>(shared, seed + n);
  }
  constexpr Duration kStep = 10ms, kNews = 500ms;  // a view is as old as gossip makes it
  const TimePoint began(1000s), out_from = began + 5s, out_to = out_from + 60s;
  HealthCheckTraffic probed;
  std::uint64_t calls = 0;
  std::uint32_t id = 1;
  TimePoint heard{}, known{};
  for (TimePoint now = began; now < out_to + 20s; now += kStep) {
    const bool out = now >= out_from && now < out_to;
    if (together && now - heard >= kNews) {
      heard = now;
      for (auto& s : all) s.found = s.gatherer->endpoint_health(now);
      for (std::size_t n = 0; n < servers; ++n) {
        auto view = std::make_shared<membership::View>();
        view->own_hash = membership::name_hash(all[n].name);
        for (std::size_t k = 0; k < servers; ++k) {
          if (k == n || !all[k].lives) continue;
          membership::View::Peer peer;
          peer.name = all[k].name;
          peer.hash = membership::name_hash(peer.name);
          peer.metadata.stage = membership::Stage::serving;
          peer.metadata.endpoint_health = all[k].found;
          view->peers.push_back(std::move(peer));
        }
        view->fleet_size = servers;
        all[n].gatherer->fleet(view, now);
      }
      if (gone && now > out_from + 30s) {
        const auto chosen = [&] {
          membership::View v;
          v.own_hash = 0;
          for (auto& s : all) {
            membership::View::Peer p;
            p.hash = membership::name_hash(s.name);
            p.metadata.stage = membership::Stage::serving;
            v.peers.push_back(p);
          }
          return membership::health_checker_of(v, membership::name_hash(d.name + " 127.0.0.1 9001"));
        }();
        for (auto& s : all)
          if (membership::name_hash(s.name) == chosen) s.lives = false;
      }
    }
    for (auto& s : all) {
      if (!s.lives) continue;
      for (std::size_t k = 0; k < s.ends.size();) {
        if (s.ends[k].first > now) {
          ++k;
          continue;
        }
        s.gatherer->ended(s.ends[k].second, now);
        s.ends.erase(s.ends.begin() + std::ptrdiff_t(k));
      }
      s.gatherer->tick(now);
      const RequestId asked{id};
      s.gatherer->begin(asked, ClassId{0}, {id, "", ""}, 200ms, true, now);
      ++id;
      const std::vector<deps::Action> actions(s.gatherer->actions().begin(), s.gatherer->actions().end());
      s.gatherer->clear_actions();
      for (const auto& a : actions) {
        if (const auto* call = std::get_if<deps::StartCall>(&a)) {
          // Counted once all have noticed: what is left are probes.
          if (out && now >= out_from + 10s) ++calls;
          const bool fails = out || (now >= out_from && call->endpoint != 0);
          s.ends.push_back({now + 10ms, deps::CallReport{call->id,
                                                         fails ? deps::CallFate::error : deps::CallFate::ok,
                                                         10ms,
                                                         {},
                                                         std::make_shared<const std::string>("x")}});
        } else if (const auto* end = std::get_if<deps::GatherEnded>(&a)) {
          s.gatherer->release(end->id);
        }
      }
    }
    if (now >= out_to && known == TimePoint{}) {
      bool all_back = true;
      for (auto& s : all) all_back = all_back && (!s.lives || !s.gatherer->out(0));
      if (all_back) known = now;
    }
  }
  probed.calls_a_second = double(calls) / 50;
  probed.back_within_s = known == TimePoint{} ? -1 : std::chrono::duration<double>(known - out_to).count();
  return probed;
}

}  // namespace granitegap::fleet
