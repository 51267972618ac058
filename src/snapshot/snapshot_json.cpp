#include "snapshot/snapshot_json.h"

#include <nlohmann/json.hpp>

#include "membership_udp/codec.h"

namespace granitegap::snapshot {
namespace {

using Json = nlohmann::ordered_json;

double to_ms(Duration duration) { return double(duration.count()) / 1000; }

Json to_json(const warm_state::Endpoint& endpoint) {
  return {{"dependency", endpoint.dependency},
          {"address", endpoint.host + ":" + std::to_string(endpoint.port)},
          {"out_for_ms", to_ms(endpoint.ejected_for)},
          {"latency_ms", to_ms(endpoint.latency)},
          {"heard_ago_ms", to_ms(endpoint.latency_age)}};
}

Json to_json(const warm_state::CachedResponse& response) {
  return {{"dependency", response.dependency},
          {"path", response.path},
          {"bytes", response.body->size()},
          {"age_ms", to_ms(response.age)}};
}

}  // namespace

std::string to_json(const Snapshot& snapshot) {
  const auto& state = snapshot.state;
  Json out{
      {"by", state.process_name}, {"life", state.boot_id}, {"unix_ms", snapshot.taken_at.unix_us / 1000}};
  out["endpoints"] = Json::array();
  for (const auto& endpoint : state.endpoints) out["endpoints"].push_back(to_json(endpoint));
  out["parts"] = Json::array();
  for (const auto& response : state.cached_responses) out["parts"].push_back(to_json(response));
  out["members"] = Json::array();
  for (const auto& member : state.members) out["members"].push_back(membership_udp::text_of(member));
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace granitegap::snapshot
