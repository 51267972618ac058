#include "dependency_config.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "dependency_workload.h"

namespace granitegap::bench {
namespace {

using Json = nlohmann::ordered_json;

constexpr char kElevation[] = "elevation.example.org", kNames[] = "names.example.org";
constexpr double kIdempotencyWindowMs = 8949;

double to_ms(Duration duration) { return double(duration.count()) / 1000; }

std::string to_text(Duration duration) { return std::to_string(duration.count() / 1000) + "ms"; }

std::string loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

Json class_json(const RequestClass& cls) {
  Json json{{"name", cls.name},
            {"effect", cls.idempotent ? "dedup" : "retryable"},
            {"worth", cls.priority_weight},
            {"aim_ms", to_ms(cls.latency_objective)},
            {"deadline_ms", to_ms(cls.deadline)},
            {"late_worth", cls.late_weight}};
  if (cls.idempotent) json["repeat_window_ms"] = kIdempotencyWindowMs;
  return json;
}

Json specifics_json(const standin::Scenario& scenario) {
  return {{"cpus", scenario.cores},
          {"cold", false},
          {"upstreams", kProxies},
          {"memory_kb", 200000.0},
          {"key_kb", 20.0},
          {"run_factor", 8.0},
          {"halt", "pause"},
          {"say", "tokens"},
          {"heeded_ms", 1000.0},
          {"deep_checks", false},
          {"list_follows", false},
          {"passes_deadline", false},
          {"tells_gone", false},
          {"downstream", "none"},
          {"call_share", 1.0},
          {"fresh_ms", 0.0},
          {"gauges", {"core_use", "on_cores", "heap_share", "links"}}};
}

Json settings_json(const standin::Scenario& scenario) {
  Json classes = Json::array();
  for (const auto& cls : kClasses) classes.push_back(class_json(cls));
  const Json organization{{"name", kOrganization}, {"share", 1.0}, {"allowance_per_s", 1e6}};
  return {{"servers", 1},
          {"tick_ms", 2.0},
          {"worth_by", "work"},
          {"classes", classes},
          {"orgs", Json::array({organization})},
          {"limits", {{"retry_after", true}, {"max_retry_after_ms", 1000.0}}},
          {"rules",
           {{"answer_slack_ms", 100.0},
            {"cold_from", 0.2},
            {"cold_ms", 18000.0},
            {"drain_grace_ms", 2000.0},
            {"fall_ms", 1500.0},
            {"overload_factor", 8.0}}},
          {"specifics", specifics_json(scenario)}};
}

std::string dependency_text(const char* name, const standin::Scenario& scenario,
                            const standin::Dependency& dependency) {
  const auto max_timeout = std::min<Duration>(scenario.budget * 2, std::chrono::seconds(60));
  std::string text = std::string("\t{name: \"") + name + "\", timeout_most: " + to_text(max_timeout);
  text += ", endpoints: [";
  for (int i = 0; i < scenario.endpoints; ++i)
    text += "\"" + loopback(dependency.port(std::size_t(i))) + "\", ";
  return text + "]},\n";
}

std::string part_text(const std::string& name, const char* dependency, const standin::Scenario& scenario) {
  return "{name: \"" + name + "\", from: \"" + dependency + "\", path: \"/" + name + "?{body}\"" +
         ", fresh_for: " + to_text(scenario.fresh_for) + ", stale_for: " + to_text(scenario.stale_for) +
         "}, ";
}

std::string gather_text(const char* cls, const std::string& parts, const standin::Scenario& scenario) {
  return std::string("\t{class: \"") + cls + "\", budget: " + to_text(scenario.budget) + ", parts: [" +
         parts + "]},\n";
}

}  // namespace

std::string platform_config_text(const standin::Scenario& scenario, const ServerPorts& ports) {
  return Json{{"name", "n1"},
              {"listen", loopback(ports.listen)},
              {"kernel", loopback(ports.kernel)},
              {"announce", loopback(ports.load_reports)},
              {"seed", "8c1f30d27a5be964"},
              {"stop_ms", 3200},
              {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
              {"settings", settings_json(scenario)}}
      .dump();
}

std::string operator_file_text(const standin::Scenario& scenario, const standin::Dependency& elevation,
                               const standin::Dependency& names) {
  const auto elevation_part = part_text("elevation", kElevation, scenario);
  const auto names_part = part_text("names", kNames, scenario);
  std::string text = "version: 1\ndependencies: [\n";
  text += dependency_text(kElevation, scenario, elevation);
  text += dependency_text(kNames, scenario, names);
  text += "]\ngathers: [\n";
  text += gather_text("route-profile", elevation_part + names_part, scenario);
  text += gather_text("trail-report", names_part, scenario);
  return text + "]\n";
}

}  // namespace granitegap::bench
