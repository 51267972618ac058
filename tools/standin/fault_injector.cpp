#include "standin/fault_injector.h"

#include <algorithm>
#include <cmath>

#include "network_schema.h"

namespace granitegap::standin {
namespace {

using typed_config::Value;

constexpr auto kDuplicateDelay = std::chrono::milliseconds(1);

std::set<std::string> names_of(const Value& list) {
  std::set<std::string> names;
  for (const auto& name : list.as_list()) names.insert(name.as_string());
  return names;
}

const typed_config::Document& schema() {
  static const auto kDocument =
      std::get<typed_config::Document>(typed_config::parse(kNetworkSchema, "network.schema.cue"));
  return kDocument;
}

Rule rule_of(const Value& v) {
  Rule rule;
  rule.from = names_of(v["from"]);
  rule.to = names_of(v["to"]);
  rule.both = v["both"].as_bool();
  rule.blocked = v["cut"].as_bool();
  rule.begins = v["begins"].as_duration();
  rule.ends = v["ends"].as_duration();
  rule.loss = v["loss"].as_double();
  rule.burst_loss = v["burst_loss"].as_double();
  rule.good_for = v["good_for"].as_duration();
  rule.bad_for = v["bad_for"].as_duration();
  rule.delay = v["delay"].as_duration();
  rule.distribution = distribution_of(v["shape"].as_string());
  rule.spread = v["spread"].as_double();
  rule.reorder = v["reorder"].as_double();
  rule.reorder_delay = v["hold"].as_duration();
  rule.duplicate = v["duplicate"].as_double();
  rule.corrupt = v["corrupt"].as_double();
  rule.max_bytes_per_s = v["rate"].as_byte_size();
  return rule;
}

}  // namespace

std::variant<std::vector<Rule>, Errors> read_network(const typed_config::Document& document) {
  auto checked = typed_config::validate(document, schema(), "#Network");
  if (auto* errors = std::get_if<Errors>(&checked)) return std::move(*errors);
  std::vector<Rule> rules;
  for (const auto& value : std::get<Value>(checked)["rules"].as_list()) {
    auto rule = rule_of(value);
    if (rule.ends.count() > 0 && rule.ends <= rule.begins)
      return Errors{{document.file, value.position, "rules.ends", "expected after begins, or 0s for ever"}};
    rules.push_back(std::move(rule));
  }
  return rules;
}

FaultInjector::RuleId FaultInjector::add(Rule rule) {
  rules_.emplace(next_id_, std::move(rule));
  return next_id_++;
}

bool FaultInjector::applies(const Rule& rule, const std::string& from, const std::string& to,
                            Duration now) const {
  if (now < rule.begins) return false;
  if (rule.ends.count() > 0 && now >= rule.ends) return false;
  const auto in = [](const std::set<std::string>& names, const std::string& name) {
    return names.empty() || names.contains(name);
  };
  if (in(rule.from, from) && in(rule.to, to)) return true;
  return rule.both && in(rule.from, to) && in(rule.to, from);
}

FaultInjector::PairState& FaultInjector::pair(RuleId id, const std::string& from, const std::string& to) {
  return pairs_[id][from + "\n" + to];
}

// Gilbert, Capacity of a Burst-Noise Channel (1960): two states with exponential times, losses in the bad
// one.
bool FaultInjector::lost_in_burst(const Rule& rule, PairState& pair, Duration now) {
  while (now >= pair.next_transition) {
    const bool first = pair.next_transition == Duration{};
    if (!first) pair.bad = !pair.bad;
    const auto mean = double((pair.bad ? rule.bad_for : rule.good_for).count());
    const auto from = std::max(pair.next_transition, first ? now : pair.next_transition);
    pair.next_transition =
        from + Duration(std::int64_t(1 + std::exponential_distribution<double>(1 / mean)(random_)));
  }
  return pair.bad && chance() < rule.burst_loss;
}

// A token bucket that holds one second's worth of bytes.
bool FaultInjector::over_rate(const Rule& rule, PairState& pair, std::size_t bytes, Duration now) {
  const double rate = double(rule.max_bytes_per_s);
  const double since_s = double((now - pair.refilled_at).count()) / 1e6;
  pair.tokens = std::min(rate, pair.tokens + rate * since_s);
  pair.refilled_at = now;
  if (pair.tokens < double(bytes)) return true;
  pair.tokens -= double(bytes);
  return false;
}

Duration FaultInjector::draw_delay(const Rule& rule) {
  double us = double(rule.delay.count());
  if (rule.distribution == LatencyDistribution::uniform) us *= 1 + rule.spread * (2 * chance() - 1);
  if (rule.distribution == LatencyDistribution::exponential) us *= -std::log(1 - chance());
  if (rule.distribution == LatencyDistribution::lognormal)
    us *= std::exp(rule.spread * std::normal_distribution<double>()(random_));
  return Duration(std::int64_t(std::max(us, 0.0)));
}

// The order of the draws decides what a seed gives; every rule draws on, also for a datagram that is lost
// already.
void FaultInjector::apply(RuleId id, const Rule& rule, const std::string& from, const std::string& to,
                          std::size_t bytes, Duration now, Effects& effects) {
  if (rule.blocked) effects.blocked = true;
  if (rule.loss > 0 && chance() < rule.loss) effects.lost = true;
  if (rule.burst_loss > 0 && lost_in_burst(rule, pair(id, from, to), now)) effects.lost = true;
  if (rule.max_bytes_per_s > 0 && over_rate(rule, pair(id, from, to), bytes, now)) effects.lost = true;
  if (rule.delay.count() > 0) effects.delay += draw_delay(rule);
  if (rule.reorder > 0 && chance() < rule.reorder) {
    effects.delay += rule.reorder_delay;
    effects.reordered = true;
  }
  if (rule.duplicate > 0 && chance() < rule.duplicate) effects.duplicated = true;
  if (rule.corrupt > 0 && chance() < rule.corrupt) effects.corrupted = true;
}

Delivery FaultInjector::decide(const std::string& from, const std::string& to, std::size_t bytes,
                               Duration now) {
  ++counters_.datagrams;
  counters_.bytes += bytes;
  Effects effects;
  for (const auto& [id, rule] : rules_)
    if (applies(rule, from, to, now)) apply(id, rule, from, to, bytes, now, effects);
  if (effects.blocked) {
    ++counters_.blocked;
    return {};
  }
  if (effects.lost) {
    ++counters_.lost;
    return {};
  }
  counters_.corrupted += effects.corrupted;
  counters_.duplicated += effects.duplicated;
  counters_.reordered += effects.reordered;
  Delivery delivery;
  delivery.corrupt = effects.corrupted;
  delivery.delays.push_back(effects.delay);
  if (effects.duplicated) delivery.delays.push_back(effects.delay + kDuplicateDelay);
  return delivery;
}

}  // namespace granitegap::standin
