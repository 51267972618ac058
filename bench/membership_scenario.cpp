#include "membership_scenario.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include "membership_schema.h"

namespace granitegap::bench {
namespace {

constexpr std::pair<std::string_view, FaultType> kFaultTypes[] = {{"none", FaultType::none},
                                                                  {"kill", FaultType::kill},
                                                                  {"pause", FaultType::pause},
                                                                  {"cut_halves", FaultType::partition_halves},
                                                                  {"cut_pair", FaultType::partition_pair},
                                                                  {"cut_output", FaultType::block_output}};

// The schema admits only names that the table has.
FaultType fault_type_of(const std::string& name) {
  return std::find_if(std::begin(kFaultTypes), std::end(kFaultTypes),
                      [&](const auto& type) { return type.first == name; })
      ->second;
}

const typed_config::Document& schema() {
  static const auto kDocument =
      std::get<typed_config::Document>(typed_config::parse(kMembershipSchema, "membership.schema.cue"));
  return kDocument;
}

}  // namespace

std::variant<MembershipScenario, std::vector<typed_config::Error>> read_membership_scenario(
    const std::string& path) {
  const auto document = typed_config::load(path);
  if (const auto* error = std::get_if<typed_config::Error>(&document)) return std::vector{*error};
  auto checked = typed_config::validate(std::get<typed_config::Document>(document), schema(), "#Scenario");
  if (auto* errors = std::get_if<std::vector<typed_config::Error>>(&checked)) return std::move(*errors);
  const auto& v = std::get<typed_config::Value>(checked);
  MembershipScenario scenario;
  scenario.name = v["name"].as_string();
  scenario.length = v["seconds"].as_duration();
  scenario.fault = fault_type_of(v["deed"].as_string());
  scenario.fault_at = v["at"].as_duration();
  scenario.fault_duration = v["lasts"].as_duration();
  scenario.targets = std::size_t(v["count"].as_int());
  standin::Rule rule;
  rule.loss = v["loss"].as_double();
  rule.delay = v["delay"].as_duration();
  rule.spread = v["spread"].as_double();
  if (rule.loss > 0 || rule.delay.count() > 0) scenario.rules.push_back(rule);
  return scenario;
}

}  // namespace granitegap::bench
