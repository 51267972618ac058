#include "snapshot/show.h"

#include <nlohmann/json.hpp>

#include "membership_udp/codec.h"

namespace granitegap::snapshot {

std::string to_json(const Snapshot& s) {
  const auto ms = [](Duration d) { return double(d.count()) / 1000; };
  nlohmann::ordered_json out{
      {"by", s.what.process_name}, {"life", s.what.boot_id}, {"unix_ms", s.at.unix_us / 1000}};
  out["endpoints"] = nlohmann::ordered_json::array();
  for (const auto& e : s.what.endpoints)
    out["endpoints"].push_back({{"dependency", e.dependency},
                                {"address", e.host + ":" + std::to_string(e.port)},
                                {"out_for_ms", ms(e.ejected_for)},
                                {"latency_ms", ms(e.latency)},
                                {"heard_ago_ms", ms(e.latency_age)}});
  out["parts"] = nlohmann::ordered_json::array();
  for (const auto& p : s.what.cached_responses)
    out["parts"].push_back(
        {{"dependency", p.dependency}, {"path", p.path}, {"bytes", p.body->size()}, {"age_ms", ms(p.age)}});
  out["members"] = nlohmann::ordered_json::array();
  for (const auto& m : s.what.members) out["members"].push_back(membership_udp::text_of(m));
  return out.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace granitegap::snapshot
