#include "standin/script.h"

#include <algorithm>
#include <cmath>

#include "script_schema.h"

namespace granitegap::standin {
namespace {

using typed_config::Value;

constexpr std::pair<std::string_view, FaultKind> kFaults[] = {
    {"error", FaultKind::error},     {"no_data", FaultKind::no_data},   {"busy", FaultKind::busy},
    {"reset", FaultKind::reset},     {"hang", FaultKind::hang},         {"hang_body", FaultKind::hang_body},
    {"trickle", FaultKind::trickle}, {"too_long", FaultKind::too_long}, {"garbage", FaultKind::garbage},
    {"close", FaultKind::close}};
constexpr std::pair<std::string_view, LatencyDistribution> kDistributions[] = {
    {"fixed", LatencyDistribution::fixed},
    {"even", LatencyDistribution::uniform},
    {"exponential", LatencyDistribution::exponential},
    {"lognormal", LatencyDistribution::lognormal}};

// The schema admits only names that the table has.
template <class Table>
auto named(const Table& table, const std::string& name) {
  return std::find_if(std::begin(table), std::end(table), [&](auto& t) { return t.first == name; })->second;
}

Phase phase_of(const Value& v) {
  Phase phase;
  phase.from = v["from"].as_duration();
  if (const auto* endpoint = v.find("endpoint")) phase.endpoint = int(endpoint->as_int());
  phase.distribution = distribution_of(v["shape"].as_string());
  phase.latency = v["latency"].as_duration();
  phase.spread = v["spread"].as_double();
  phase.ramp = v["ramp"].as_duration();
  phase.ramp_from = v["ramp_from"].as_double();
  for (const auto& f : v["faults"].as_list()) {
    Fault fault{named(kFaults, f["kind"].as_string()), f["share"].as_double(), {}};
    if (const auto* after = f.find("retry_after")) fault.retry_after = after->as_duration();
    phase.faults.push_back(fault);
  }
  phase.body = v["body"].as_byte_size();
  phase.capacity = std::uint32_t(v["capacity"].as_int());
  return phase;
}

Script script_of(const Value& v) {
  Script script;
  for (const auto& phase : v["phases"].as_list()) script.phases.push_back(phase_of(phase));
  script.repeat = v["repeat"].as_duration();
  return script;
}

const typed_config::Document& schema() {
  static const auto kDocument =
      std::get<typed_config::Document>(typed_config::parse(kScriptSchema, "script.schema.cue"));
  return kDocument;
}

// The newest phase of this endpoint that has begun; null before the first.
const Phase* phase_at(const Script& script, int endpoint, Duration elapsed) {
  const Phase* newest = nullptr;
  for (const auto& phase : script.phases) {
    if (phase.endpoint >= 0 && phase.endpoint != endpoint) continue;
    if (phase.from > elapsed) continue;
    if (!newest || phase.from >= newest->from) newest = &phase;
  }
  return newest;
}

double uniform(std::mt19937_64& random) { return std::uniform_real_distribution<double>(0, 1)(random); }

Duration draw_latency(const Phase& phase, Duration elapsed, std::mt19937_64& random) {
  double us = double(phase.latency.count());
  if (phase.distribution == LatencyDistribution::uniform) us *= 1 + phase.spread * (2 * uniform(random) - 1);
  if (phase.distribution == LatencyDistribution::exponential) us *= -std::log2(1 - uniform(random));
  if (phase.distribution == LatencyDistribution::lognormal)
    us *= std::exp(phase.spread * std::normal_distribution<double>()(random));
  if (phase.ramp.count() > 0) {
    const double part =
        std::clamp(double((elapsed - phase.from).count()) / double(phase.ramp.count()), 0.0, 1.0);
    us *= phase.ramp_from + (1 - phase.ramp_from) * part;
  }
  return Duration(std::llround(std::max(us, 0.0)));
}

// At most one fault hits a request: the shares of a phase add up.
Fault draw_fault(const Phase& phase, std::mt19937_64& random) {
  double drawn = uniform(random);
  for (const auto& fault : phase.faults) {
    if (drawn < fault.share) return fault;
    drawn -= fault.share;
  }
  return {};
}

}  // namespace

LatencyDistribution distribution_of(const std::string& name) { return named(kDistributions, name); }

ResponsePlan plan_response(const Script& script, int endpoint, Duration elapsed, std::mt19937_64& random) {
  if (script.repeat.count() > 0) elapsed %= script.repeat;
  ResponsePlan plan;
  const auto* phase = phase_at(script, endpoint, elapsed);
  if (!phase) return plan;
  plan.after = draw_latency(*phase, elapsed, random);
  plan.body = phase->body;
  plan.capacity = phase->capacity;
  const auto fault = draw_fault(*phase, random);
  plan.fault = fault.kind;
  plan.retry_after = fault.retry_after;
  return plan;
}

std::variant<Script, Errors> read_script(const typed_config::Document& document) {
  auto checked = typed_config::validate(document, schema(), "#Script");
  if (auto* errors = std::get_if<Errors>(&checked)) return std::move(*errors);
  return script_of(std::get<Value>(checked));
}

std::variant<Scenario, Errors> read_scenario(const typed_config::Document& document) {
  auto checked = typed_config::validate(document, schema(), "#Scenario");
  if (auto* errors = std::get_if<Errors>(&checked)) return std::move(*errors);
  const auto& v = std::get<Value>(checked);
  Scenario scenario;
  scenario.name = v["name"].as_string();
  scenario.length = v["seconds"].as_duration();
  scenario.fault_from = v["fault_from"].as_duration();
  scenario.fault_to = v["fault_to"].as_duration();
  scenario.budget = v["budget"].as_duration();
  scenario.fresh_for = v["fresh_for"].as_duration();
  scenario.stale_for = v["stale_for"].as_duration();
  scenario.rate = v["rate"].as_double();
  scenario.cores = int(v["cores"].as_int());
  scenario.endpoints = int(v["endpoints"].as_int());
  scenario.keys = std::uint64_t(v["keys"].as_int());
  scenario.elevation = script_of(v["elevation"]);
  scenario.names = script_of(v["names"]);
  if (scenario.fault_from > scenario.fault_to || scenario.fault_to > scenario.length)
    return Errors{{document.file, v.position, "fault_to", "expected fault_from <= fault_to <= seconds"}};
  return scenario;
}

}  // namespace granitegap::standin
