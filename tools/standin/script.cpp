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
constexpr std::pair<std::string_view, Shape> kShapes[] = {{"fixed", Shape::fixed},
                                                          {"even", Shape::even},
                                                          {"exponential", Shape::exponential},
                                                          {"lognormal", Shape::lognormal}};

template <class Table>
auto named(const Table& table, const std::string& name) {
  return std::find_if(std::begin(table), std::end(table), [&](auto& t) { return t.first == name; })->second;
}

Phase phase_of(const Value& v) {
  Phase p;
  p.from = v["from"].as_duration();
  if (const auto* endpoint = v.find("endpoint")) p.endpoint = int(endpoint->as_int());
  p.shape = named(kShapes, v["shape"].as_string());
  p.latency = v["latency"].as_duration();
  p.spread = v["spread"].as_double();
  p.ramp = v["ramp"].as_duration();
  p.ramp_from = v["ramp_from"].as_double();
  for (const auto& f : v["faults"].as_list()) {
    Fault fault{named(kFaults, f["kind"].as_string()), f["share"].as_double(), {}};
    if (const auto* after = f.find("retry_after")) fault.retry_after = after->as_duration();
    p.faults.push_back(fault);
  }
  p.body = v["body"].as_byte_size();
  p.capacity = std::uint32_t(v["capacity"].as_int());
  return p;
}

Script script_of(const Value& v) {
  Script s;
  for (const auto& p : v["phases"].as_list()) s.phases.push_back(phase_of(p));
  s.repeat = v["repeat"].as_duration();
  return s;
}

const typed_config::Document& schema() {
  static const auto document =
      std::get<typed_config::Document>(typed_config::parse(kScriptSchema, "script.schema.cue"));
  return document;
}

}  // namespace

Plan plan(const Script& script, int endpoint, Duration elapsed, std::mt19937_64& random) {
  if (script.repeat.count() > 0) elapsed %= script.repeat;
  const Phase* now = nullptr;
  for (const auto& p : script.phases)
    if ((p.endpoint < 0 || p.endpoint == endpoint) && p.from <= elapsed && (!now || p.from >= now->from))
      now = &p;
  Plan plan;
  if (!now) return plan;
  double us = double(now->latency.count());
  const auto uniform = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
  if (now->shape == Shape::even) us *= 1 + now->spread * (2 * uniform() - 1);
  if (now->shape == Shape::exponential) us *= -std::log2(1 - uniform());
  if (now->shape == Shape::lognormal)
    us *= std::exp(now->spread * std::normal_distribution<double>()(random));
  if (now->ramp.count() > 0) {
    const double part =
        std::clamp(double((elapsed - now->from).count()) / double(now->ramp.count()), 0.0, 1.0);
    us *= now->ramp_from + (1 - now->ramp_from) * part;
  }
  plan.after = Duration(std::llround(std::max(us, 0.0)));
  plan.body = now->body;
  plan.capacity = now->capacity;
  double drawn = uniform();
  for (const auto& f : now->faults) {
    if (drawn < f.share) {
      plan.fault = f.kind;
      plan.retry_after = f.retry_after;
      break;
    }
    drawn -= f.share;
  }
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
  Scenario s;
  s.name = v["name"].as_string();
  s.length = v["seconds"].as_duration();
  s.fault_from = v["fault_from"].as_duration();
  s.fault_to = v["fault_to"].as_duration();
  s.budget = v["budget"].as_duration();
  s.fresh_for = v["fresh_for"].as_duration();
  s.stale_for = v["stale_for"].as_duration();
  s.rate = v["rate"].as_double();
  s.cores = int(v["cores"].as_int());
  s.endpoints = int(v["endpoints"].as_int());
  s.keys = std::uint64_t(v["keys"].as_int());
  s.elevation = script_of(v["elevation"]);
  s.names = script_of(v["names"]);
  if (s.fault_from > s.fault_to || s.fault_to > s.length)
    return Errors{{document.file, v.position, "fault_to", "expected fault_from <= fault_to <= seconds"}};
  return s;
}

}  // namespace granitegap::standin
