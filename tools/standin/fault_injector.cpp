#include "standin/fault_injector.h"

#include <algorithm>
#include <cmath>

#include "network_schema.h"

namespace granitegap::standin {
namespace {

using typed_config::Value;

Shape shape_of(const std::string& name) {
  return name == "fixed"         ? Shape::fixed
         : name == "even"        ? Shape::even
         : name == "exponential" ? Shape::exponential
                                 : Shape::lognormal;
}

std::set<std::string> names_of(const Value& v) {
  std::set<std::string> names;
  for (const auto& name : v.as_list()) names.insert(name.as_string());
  return names;
}

const typed_config::Document& schema() {
  static const auto document =
      std::get<typed_config::Document>(typed_config::parse(kNetworkSchema, "network.schema.cue"));
  return document;
}

}  // namespace

std::variant<std::vector<Rule>, Errors> read_network(const typed_config::Document& document) {
  auto checked = typed_config::validate(document, schema(), "#Network");
  if (auto* errors = std::get_if<Errors>(&checked)) return std::move(*errors);
  std::vector<Rule> rules;
  for (const auto& v : std::get<Value>(checked)["rules"].as_list()) {
    Rule r;
    r.from = names_of(v["from"]);
    r.to = names_of(v["to"]);
    r.both = v["both"].as_bool();
    r.cut = v["cut"].as_bool();
    r.begins = v["begins"].as_duration();
    r.ends = v["ends"].as_duration();
    r.loss = v["loss"].as_double();
    r.burst_loss = v["burst_loss"].as_double();
    r.good_for = v["good_for"].as_duration();
    r.bad_for = v["bad_for"].as_duration();
    r.delay = v["delay"].as_duration();
    r.shape = shape_of(v["shape"].as_string());
    r.spread = v["spread"].as_double();
    r.reorder = v["reorder"].as_double();
    r.hold = v["hold"].as_duration();
    r.duplicate = v["duplicate"].as_double();
    r.corrupt = v["corrupt"].as_double();
    r.rate = v["rate"].as_byte_size();
    if (r.ends.count() > 0 && r.ends <= r.begins)
      return Errors{{document.file, v.position, "rules.ends", "expected after begins, or 0s for ever"}};
    rules.push_back(std::move(r));
  }
  return rules;
}

FaultInjector::RuleId FaultInjector::add(Rule rule) {
  rules_.emplace(next_, std::move(rule));
  return next_++;
}

bool FaultInjector::holds(const Rule& r, const std::string& from, const std::string& to, Duration now) const {
  if (now < r.begins || (r.ends.count() > 0 && now >= r.ends)) return false;
  const auto in = [](const std::set<std::string>& names, const std::string& name) {
    return names.empty() || names.contains(name);
  };
  return (in(r.from, from) && in(r.to, to)) || (r.both && in(r.from, to) && in(r.to, from));
}

FaultInjector::Pair& FaultInjector::pair(RuleId id, const std::string& from, const std::string& to) {
  return pairs_[id][from + "\n" + to];
}

Delivery FaultInjector::fate(const std::string& from, const std::string& to, std::size_t bytes,
                             Duration now) {
  ++seen_.datagrams;
  seen_.bytes += bytes;
  Duration takes{};
  bool lost = false, cut = false, twice = false, held = false;
  Delivery fate;
  for (const auto& [id, r] : rules_) {
    if (!holds(r, from, to, now)) continue;
    if (r.cut) cut = true;
    if (r.loss > 0 && chance() < r.loss) lost = true;
    if (r.burst_loss > 0) {
      auto& p = pair(id, from, to);
      while (now >= p.changes) {
        const bool first = p.changes == Duration{};
        if (!first) p.bad = !p.bad;
        const auto mean = double((p.bad ? r.bad_for : r.good_for).count());
        p.changes = std::max(p.changes, first ? now : p.changes) +
                    Duration(std::int64_t(1 + std::exponential_distribution<double>(1 / mean)(random_)));
      }
      if (p.bad && chance() < r.burst_loss) lost = true;
    }
    if (r.rate > 0) {
      auto& p = pair(id, from, to);
      p.room = std::min(double(r.rate), p.room + double(r.rate) * double((now - p.filled).count()) / 1e6);
      p.filled = now;
      if (p.room < double(bytes))
        lost = true;
      else
        p.room -= double(bytes);
    }
    if (r.delay.count() > 0) {
      double us = double(r.delay.count());
      if (r.shape == Shape::even) us *= 1 + r.spread * (2 * chance() - 1);
      if (r.shape == Shape::exponential) us *= -std::log(1 - chance());
      if (r.shape == Shape::lognormal) us *= std::exp(r.spread * std::normal_distribution<double>()(random_));
      takes += Duration(std::int64_t(std::max(us, 0.0)));
    }
    if (r.reorder > 0 && chance() < r.reorder) {
      takes += r.hold;
      held = true;
    }
    if (r.duplicate > 0 && chance() < r.duplicate) twice = true;
    if (r.corrupt > 0 && chance() < r.corrupt) fate.corrupt = true;
  }
  if (cut || lost) {
    ++(cut ? seen_.cut : seen_.lost);
    return {};
  }
  seen_.corrupted += fate.corrupt;
  seen_.duplicated += twice;
  seen_.reordered += held;
  fate.arrives.push_back(takes);
  if (twice) fate.arrives.push_back(takes + std::chrono::milliseconds(1));
  return fate;
}

}  // namespace granitegap::standin
