#include "report.h"

namespace granitegap::soak {

const char* rule_name(Rule rule) {
  switch (rule) {
    case Rule::fleet_limit_exceeded:
      return "fleet_limit_exceeded";
    case Rule::request_unanswered:
      return "request_unanswered";
    case Rule::member_held_dead:
      return "member_held_dead";
    case Rule::not_converged:
      return "not_converged";
    case Rule::member_serves_nobody:
      return "member_serves_nobody";
  }
  return "unknown";
}

nlohmann::ordered_json to_json(const RunFigures& figures) {
  return {{"max_open", figures.max_open},      {"limit", figures.limit},
          {"times_over", figures.times_over},  {"over_ms", figures.over_ms},
          {"answered", figures.answered},      {"served", figures.served},
          {"whole", figures.complete},         {"unanswered", figures.unanswered},
          {"interrupted", figures.interrupted}};
}

nlohmann::ordered_json to_json(const SeedReport& report) {
  nlohmann::ordered_json out{
      {"scenario", report.scenario}, {"seed", report.seed}, {"play", report.description}};
  out["violations"] = nlohmann::ordered_json::array();
  for (const auto& violation : report.violations)
    out["violations"].push_back({{"rule", rule_name(violation.rule)}, {"detail", violation.detail}});
  out["figures"] = to_json(report.figures);
  if (!report.logs.empty()) out["logs"] = report.logs;
  return out;
}

std::string to_text(const SeedReport& report) {
  auto text = report.scenario + " seed " + std::to_string(report.seed) + ": " + report.description + ": " +
              (report.violations.empty() ? "ok" : "FAULTY") + " " + to_json(report.figures).dump() + "\n";
  for (const auto& violation : report.violations)
    text += std::string("  ") + rule_name(violation.rule) + ": " + violation.detail + "\n";
  if (!report.logs.empty()) text += "  logs: " + report.logs + "\n";
  return text;
}

}  // namespace granitegap::soak
