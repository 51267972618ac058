#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <map>

namespace granitegap {
namespace {

// Values by key.
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
    const auto equals = line.find('=');
    if (equals != std::string_view::npos)
      pairs[std::string(line.substr(0, equals))] = line.substr(equals + 1);
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

// Pairs of a keyword and its meaning.
template <class T>
using Words = std::vector<std::pair<std::string_view, T>>;

// Converts values by key and records those that cannot be converted as invalid. If a key is absent, its
// target keeps its value.
class Reader {
 public:
  Reader(const Pairs& pairs, std::vector<InvalidSetting>& invalid) : pairs_(pairs), invalid_(invalid) {}

  // Returns the value of `key`, or an empty text if the key is absent.
  std::string_view text(const std::string& key) const {
    const auto it = pairs_.find(key);
    return it == pairs_.end() ? std::string_view{} : std::string_view(it->second);
  }
  void number(const std::string& key, std::optional<double>& to) {
    read<double>(key, to, [](std::string_view value) {
      const auto parsed = to_number(value);
      return parsed && *parsed >= 0 ? parsed : std::nullopt;
    });
  }
  void flag(const std::string& key, std::optional<bool>& to) { read<bool>(key, to, to_bool); }
  void duration(const std::string& key, std::optional<Duration>& to) {
    read<Duration>(key, to, [](std::string_view value) -> std::optional<Duration> {
      const auto milliseconds = to_number(value);
      if (!milliseconds || *milliseconds < 0 || *milliseconds > kMaxMilliseconds) return std::nullopt;
      return Duration(std::llround(*milliseconds * 1000.0));
    });
  }
  template <class T>
  void word(const std::string& key, std::optional<T>& to, const Words<T>& words) {
    read<T>(key, to, [&](std::string_view value) -> std::optional<T> {
      for (const auto& [name, meaning] : words)
        if (value == name) return meaning;
      return std::nullopt;
    });
  }
  // Returns the number of elements of `list`; 0 if it is absent or over kMaxListItems.
  std::size_t count(const std::string& list) {
    const std::string key = list + ".count";
    std::optional<double> items;
    number(key, items);
    if (!items) return 0;
    if (*items <= double(kMaxListItems)) return std::size_t(*items);
    invalid_.push_back({key, std::string(text(key))});
    return 0;
  }

 private:
  template <class T>
  void read(const std::string& key, std::optional<T>& to,
            const std::function<std::optional<T>(std::string_view)>& convert) {
    const auto it = pairs_.find(key);
    if (it == pairs_.end()) return;
    to = convert(it->second);
    if (!to) invalid_.push_back({key, it->second});
  }
  const Pairs& pairs_;
  std::vector<InvalidSetting>& invalid_;
};

void read_classes(Reader& in, Settings& settings) {
  const auto makes_calls = split_list(in.text("specifics.class_calls"));
  const auto degraded_weights = split_list(in.text("specifics.degraded_worth"));
  settings.classes.resize(in.count("classes"));
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    auto& configured = settings.classes[i];
    const std::string prefix = "classes." + std::to_string(i) + ".";
    in.duration(prefix + "aim_ms", configured.latency_objective);
    in.duration(prefix + "deadline_ms", configured.deadline);
    in.duration(prefix + "repeat_window_ms", configured.idempotency_window);
    in.number(prefix + "worth", configured.priority_weight);
    in.number(prefix + "late_worth", configured.late_weight_fraction);
    in.number(prefix + "aim_stretch", configured.objective_stretch);
    in.word<Idempotency>(prefix + "effect", configured.idempotency,
                         {{"retryable", Idempotency::idempotent},
                          {"dedup", Idempotency::with_key},
                          {"fragile", Idempotency::none}});
    if (i < makes_calls.size()) configured.makes_calls = to_bool(makes_calls[i]);
    if (i < degraded_weights.size()) configured.degraded_weight_fraction = to_number(degraded_weights[i]);
  }
}

void read_tenants(Reader& in, Settings& settings) {
  settings.tenants.resize(in.count("orgs"));
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    const std::string prefix = "orgs." + std::to_string(i) + ".";
    in.number(prefix + "allowance_per_s", settings.tenants[i].quota_per_s);
    in.number(prefix + "share", settings.tenants[i].share);
  }
}

// The following functions read keys in a fixed order, which is the order of Settings::invalid_settings.
void read_numbers(Reader& in, Settings& settings) {
  in.number("servers", settings.servers);
  in.number("layer", settings.tier);
  in.number("over_share_worth", settings.over_quota_weight_fraction);
  in.number("prices.origin", settings.price_call);
  in.number("prices.connection", settings.price_connection);
  in.number("prices.waste", settings.price_waste);
  in.number("rules.cold_from", settings.cold_speed);
  in.number("rules.overload_factor", settings.overload_factor);
  in.number("specifics.cpus", settings.cores);
  in.number("specifics.upstreams", settings.callers);
  in.number("specifics.run_factor", settings.run_memory_factor);
  in.number("specifics.call_share", settings.call_quota);
  in.number("specifics.memory_kb", settings.memory_kb);
  in.number("specifics.key_kb", settings.table_entry_kb);
}

void read_durations(Reader& in, Settings& settings) {
  in.duration("rules.answer_slack_ms", settings.answer_slack);
  in.duration("rules.cold_ms", settings.warm_up);
  in.duration("rules.drain_grace_ms", settings.drain_grace);
  in.duration("rules.fall_ms", settings.overload_window);
  in.duration("specifics.dep_window_ms", settings.call_window);
  in.duration("specifics.linger_ms", settings.abandoned_call_linger);
  in.duration("specifics.fresh_ms", settings.response_max_age);
  in.duration("specifics.idle_ms", settings.idle_connection_timeout);
  in.duration("specifics.heeded_ms", settings.advertised_value_ttl);
  in.duration("limits.max_retry_after_ms", settings.max_retry_after);
  in.duration("tick_ms", settings.tick_interval);
}

void read_flags(Reader& in, Settings& settings) {
  in.flag("specifics.cold", settings.cold);
  in.flag("specifics.passes_deadline", settings.passes_deadline);
  in.flag("specifics.tells_gone", settings.reports_cancellation);
  in.flag("specifics.deep_checks", settings.deep_health_checks);
  in.flag("specifics.list_follows", settings.endpoint_list_follows_health);
  in.flag("callers.marks_retry", settings.marks_retries);
  in.flag("limits.retry_after", settings.forwards_retry_after);
}

void read_words(Reader& in, Settings& settings) {
  const auto weight_by = in.text("worth_by");
  if (!weight_by.empty()) settings.weight_by_work = weight_by == "work";
  in.word<SuspendKind>(
      "specifics.halt", settings.suspend,
      {{"none", SuspendKind::none}, {"drop", SuspendKind::drop}, {"pause", SuspendKind::pause}});
  in.word<Downstream>(
      "specifics.downstream", settings.downstream,
      {{"none", Downstream::none}, {"common", Downstream::shared}, {"next_hop", Downstream::next_tier}});
  in.word<AdvertisedValue>("specifics.say", settings.advertised_value,
                           {{"none", AdvertisedValue::none},
                            {"tokens", AdvertisedValue::credits},
                            {"min_rank", AdvertisedValue::min_rank},
                            {"bias", AdvertisedValue::accept_probability}});
}

}  // namespace

ParsedSettings parse_settings(std::string_view text) {
  const auto pairs = split_pairs(text);
  ParsedSettings parsed;
  auto& settings = parsed.settings;
  Reader in(pairs, settings.invalid_settings);
  read_classes(in, settings);
  read_tenants(in, settings);
  read_numbers(in, settings);
  read_durations(in, settings);
  read_flags(in, settings);
  read_words(in, settings);
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
