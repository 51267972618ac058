#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <map>

namespace granitegap {
namespace {

using Pairs = std::map<std::string, std::string, std::less<>>;
constexpr std::size_t kMaxListItems = 4096;
constexpr double kMaxMilliseconds = 1e12;

Pairs split_pairs(std::string_view text) {
  Pairs pairs;
  while (!text.empty()) {
    const auto end = text.find('\n');
    auto line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const auto eq = line.find('=');
    if (eq != std::string_view::npos) pairs[std::string(line.substr(0, eq))] = line.substr(eq + 1);
  }
  return pairs;
}

std::vector<std::string> split_list(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty() && items.size() < kMaxListItems) {
    const auto end = text.find(',');
    items.emplace_back(text.substr(0, end));
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
  }
  return items;
}

std::optional<double> to_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<bool> to_bool(std::string_view text) {
  if (text == "true" || text == "1") return true;
  if (text == "false" || text == "0") return false;
  return std::nullopt;
}

template <class T>
using Words = std::vector<std::pair<std::string_view, T>>;

class Reader {
 public:
  Reader(const Pairs& pairs, std::vector<std::string>& unusable) : pairs_(pairs), unusable_(unusable) {}

  std::string_view text(const std::string& key) const {
    const auto it = pairs_.find(key);
    return it == pairs_.end() ? std::string_view{} : std::string_view(it->second);
  }
  void number(const std::string& key, std::optional<double>& to) {
    read<double>(key, to, [](std::string_view v) {
      const auto n = to_number(v);
      return n && *n >= 0 ? n : std::nullopt;
    });
  }
  void flag(const std::string& key, std::optional<bool>& to) { read<bool>(key, to, to_bool); }
  void time(const std::string& key, std::optional<Duration>& to) {
    read<Duration>(key, to, [](std::string_view v) -> std::optional<Duration> {
      const auto n = to_number(v);
      if (!n || *n < 0 || *n > kMaxMilliseconds) return std::nullopt;
      return Duration(std::llround(*n * 1000.0));
    });
  }
  template <class T>
  void word(const std::string& key, std::optional<T>& to, const Words<T>& words) {
    read<T>(key, to, [&](std::string_view v) -> std::optional<T> {
      for (const auto& [name, value] : words)
        if (v == name) return value;
      return std::nullopt;
    });
  }
  std::size_t count(const std::string& list) {
    std::optional<double> n;
    number(list + ".count", n);
    if (n && *n > double(kMaxListItems)) unusable_.push_back(list + ".count");
    return n && *n <= double(kMaxListItems) ? std::size_t(*n) : 0;
  }

 private:
  template <class T>
  void read(const std::string& key, std::optional<T>& to,
            const std::function<std::optional<T>(std::string_view)>& convert) {
    const auto it = pairs_.find(key);
    if (it == pairs_.end()) return;
    to = convert(it->second);
    if (!to) unusable_.push_back(key);
  }
  const Pairs& pairs_;
  std::vector<std::string>& unusable_;
};

void read_classes(Reader& in, Settings& s) {
  const auto calls = split_list(in.text("specifics.class_calls"));
  const auto skips = split_list(in.text("specifics.degraded_worth"));
  s.classes.resize(in.count("classes"));
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    auto& c = s.classes[i];
    const std::string at = "classes." + std::to_string(i) + ".";
    in.time(at + "aim_ms", c.latency_objective);
    in.time(at + "deadline_ms", c.deadline);
    in.time(at + "repeat_window_ms", c.idempotency_window);
    in.number(at + "worth", c.priority_weight);
    in.number(at + "late_worth", c.late_weight_fraction);
    in.number(at + "aim_stretch", c.objective_stretch);
    in.word<Idempotency>(at + "effect", c.idempotency,
                         {{"retryable", Idempotency::idempotent},
                          {"dedup", Idempotency::with_key},
                          {"fragile", Idempotency::none}});
    if (i < calls.size()) c.makes_calls = to_bool(calls[i]);
    if (i < skips.size()) c.degraded_weight_fraction = to_number(skips[i]);
  }
}

}  // namespace

ParsedSettings parse_settings(std::string_view text) {
  const auto pairs = split_pairs(text);
  ParsedSettings parsed;
  auto& s = parsed.settings;
  Reader in(pairs, s.invalid_keys);
  read_classes(in, s);
  s.tenants.resize(in.count("orgs"));
  for (std::size_t i = 0; i < s.tenants.size(); ++i) {
    const std::string at = "orgs." + std::to_string(i) + ".";
    in.number(at + "allowance_per_s", s.tenants[i].quota_per_s);
    in.number(at + "share", s.tenants[i].share);
  }
  in.number("servers", s.servers);
  in.number("layer", s.tier);
  in.number("over_share_worth", s.over_quota_weight_fraction);
  in.number("prices.origin", s.price_call);
  in.number("prices.connection", s.price_connection);
  in.number("prices.waste", s.price_waste);
  in.number("rules.cold_from", s.cold_speed);
  in.number("rules.overload_factor", s.overload_factor);
  in.number("specifics.cpus", s.cores);
  in.number("specifics.upstreams", s.callers);
  in.number("specifics.run_factor", s.run_memory_factor);
  in.number("specifics.call_share", s.call_quota);
  in.number("specifics.memory_kb", s.memory_kb);
  in.number("specifics.key_kb", s.table_entry_kb);
  in.time("rules.answer_slack_ms", s.answer_slack);
  in.time("rules.cold_ms", s.warm_up);
  in.time("rules.drain_grace_ms", s.drain_grace);
  in.time("rules.fall_ms", s.overload_window);
  in.time("specifics.dep_window_ms", s.call_window);
  in.time("specifics.linger_ms", s.abandoned_call_linger);
  in.time("specifics.fresh_ms", s.response_max_age);
  in.time("specifics.idle_ms", s.idle_connection_timeout);
  in.time("specifics.heeded_ms", s.advertised_value_ttl);
  in.time("limits.max_retry_after_ms", s.max_retry_after);
  in.time("tick_ms", s.tick_interval);
  in.flag("specifics.cold", s.cold);
  in.flag("specifics.passes_deadline", s.passes_deadline);
  in.flag("specifics.tells_gone", s.reports_cancellation);
  in.flag("specifics.deep_checks", s.deep_health_checks);
  in.flag("specifics.list_follows", s.endpoint_list_follows_health);
  in.flag("callers.marks_retry", s.marks_retries);
  in.flag("limits.retry_after", s.forwards_retry_after);
  std::string_view by = in.text("worth_by");
  if (!by.empty()) s.weight_by_work = by == "work";
  in.word<SuspendKind>(
      "specifics.halt", s.suspend,
      {{"none", SuspendKind::none}, {"drop", SuspendKind::drop}, {"pause", SuspendKind::pause}});
  in.word<Downstream>(
      "specifics.downstream", s.downstream,
      {{"none", Downstream::none}, {"common", Downstream::shared}, {"next_hop", Downstream::next_tier}});
  in.word<AdvertisedValue>("specifics.say", s.advertised_value,
                           {{"none", AdvertisedValue::none},
                            {"tokens", AdvertisedValue::credits},
                            {"min_rank", AdvertisedValue::min_rank},
                            {"bias", AdvertisedValue::accept_probability}});
  parsed.gauges = split_list(in.text("specifics.gauges"));
  return parsed;
}

TimerFired with_gauges(TimerToken token, std::span<const float> values,
                       const std::vector<std::string>& names) {
  TimerFired fired;
  fired.token = token;
  for (std::size_t i = 0; i < std::min(names.size(), values.size()); ++i) {
    const double value = values[i];
    if (!std::isfinite(value) || value < 0) continue;
    if (names[i] == "core_use") fired.core_utilization = value;
    if (names[i] == "on_cores") fired.runnable_tasks = value;
    if (names[i] == "heap_share") fired.memory_utilization = value;
    if (names[i] == "links") fired.connections = value;
  }
  return fired;
}

}  // namespace granitegap
