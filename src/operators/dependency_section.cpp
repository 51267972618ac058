// Reader of the section `dependencies` of an operator file.
#include <algorithm>
#include <set>
#include <utility>

#include "operators/sections.h"

namespace granitegap::operators {
namespace {

using typed_config::Value;

std::uint32_t read_count(const Value& dependency, const char* field) {
  return std::uint32_t(dependency[field].as_int());
}

bool is_host_name(const std::string& name) {
  return is_plain_name(name) && name.find_first_of("/@") == std::string::npos;
}

// Fails if the lower bound of a setting is above its upper bound.
template <class T>
void check_order(const Value& dependency, const std::string& path, const char* lower_field, T lower,
                 const char* upper_field, T upper, Diagnostics& diagnostics) {
  if (lower > upper)
    diagnostics.fail(dependency, path + "." + lower_field,
                     std::string("expected no more than ") + upper_field + " = " +
                         typed_config::summarize(dependency[upper_field]) + ", found " +
                         typed_config::summarize(dependency[lower_field]));
}

std::vector<deps::EndpointSpec> read_endpoints(const Value& list, const std::string& path,
                                               Diagnostics& diagnostics) {
  std::vector<deps::EndpointSpec> endpoints;
  std::size_t index = 0;
  for (const auto& item : list.as_list()) {
    const auto item_path = path + "[" + std::to_string(index++) + "]";
    const auto endpoint = parse_endpoint(item.as_string());
    if (!endpoint)
      diagnostics.fail_expected(item, item_path,
                                "a numeric address and a port from 1 to 65535, such as \"127.0.0.1:9001\"");
    else if (std::find(endpoints.begin(), endpoints.end(), *endpoint) != endpoints.end())
      diagnostics.fail(item, item_path,
                       "duplicate endpoint " + typed_config::summarize(item) +
                           "; expected each endpoint of a dependency once");
    else
      endpoints.push_back(*endpoint);
  }
  return endpoints;
}

// Reads the settings of time-outs, retries and hedged requests.
void read_retries(const Value& dependency, deps::DependencySpec& spec) {
  spec.min_timeout = dependency["timeout_least"].as_duration();
  spec.max_timeout = dependency["timeout_most"].as_duration();
  spec.timeout_factor = dependency["timeout_factor"].as_double();
  spec.max_attempts = read_count(dependency, "most_tries");
  spec.retry_budget_ratio = dependency["retry_share"].as_double();
  spec.max_retry_budget = dependency["retry_burst"].as_double();
  spec.base_retry_backoff = dependency["retry_pause"].as_duration();
  spec.max_retry_backoff = dependency["retry_pause_most"].as_duration();
  spec.hedge_quantile = dependency["hedge_after"].as_double();
}

void read_concurrency(const Value& dependency, deps::DependencySpec& spec) {
  spec.min_in_flight = read_count(dependency, "least_open");
  spec.max_in_flight = read_count(dependency, "most_open");
  spec.fleet_max_in_flight = read_count(dependency, "fleet_open");
  spec.fleet_cache_fill = dependency["fleet_fill"].as_bool();
  spec.max_queued = read_count(dependency, "most_waiting");
}

void read_outlier_detection(const Value& dependency, deps::DependencySpec& spec) {
  spec.max_ejection_ratio = dependency["most_ejected"].as_double();
  spec.base_ejection_time = dependency["eject_for"].as_duration();
  spec.max_ejection_time = dependency["eject_most"].as_duration();
  spec.slow_start_window = dependency["slow_start"].as_duration();
  spec.probe_interval = dependency["probe_every"].as_duration();
  spec.max_probe_interval = dependency["probe_most"].as_duration();
}

void read_connection_limits(const Value& dependency, deps::DependencySpec& spec) {
  spec.max_response_bytes = dependency["most_answer"].as_byte_size();
  spec.max_header_bytes = dependency["most_header"].as_byte_size();
  spec.io_timeout = dependency["quiet_most"].as_duration();
  spec.idle_connection_timeout = dependency["idle_most"].as_duration();
  spec.max_idle_connections = read_count(dependency, "most_idle");
}

// Fails for each setting whose lower bound is above its upper bound.
void check_bounds(const Value& dependency, const deps::DependencySpec& spec, const std::string& path,
                  Diagnostics& diagnostics) {
  const auto check = [&](const char* lower_field, auto lower, const char* upper_field, auto upper) {
    check_order(dependency, path, lower_field, lower, upper_field, upper, diagnostics);
  };
  check("timeout_least", spec.min_timeout, "timeout_most", spec.max_timeout);
  check("retry_pause", spec.base_retry_backoff, "retry_pause_most", spec.max_retry_backoff);
  check("least_open", spec.min_in_flight, "most_open", spec.max_in_flight);
  check("eject_for", spec.base_ejection_time, "eject_most", spec.max_ejection_time);
  check("probe_every", spec.probe_interval, "probe_most", spec.max_probe_interval);
}

}  // namespace

std::vector<deps::DependencySpec> read_dependencies(const Value& list, Diagnostics& diagnostics) {
  std::vector<deps::DependencySpec> specs;
  std::set<std::string> names;
  for (const auto& dependency : list.as_list()) {
    const auto path = "dependencies[" + std::to_string(specs.size()) + "]";
    deps::DependencySpec spec;
    spec.name = dependency["name"].as_string();
    if (!is_host_name(spec.name))
      diagnostics.fail_expected(dependency["name"], path + ".name",
                                "a host name as sent in the Host header, without spaces, / and @");
    if (!names.insert(spec.name).second)
      diagnostics.fail(dependency["name"], path + ".name",
                       "duplicate dependency name " + typed_config::summarize(dependency["name"]) +
                           "; expected a different name for each dependency");
    spec.endpoints = read_endpoints(dependency["endpoints"], path + ".endpoints", diagnostics);
    read_retries(dependency, spec);
    read_concurrency(dependency, spec);
    read_outlier_detection(dependency, spec);
    read_connection_limits(dependency, spec);
    check_bounds(dependency, spec, path, diagnostics);
    specs.push_back(std::move(spec));
  }
  return specs;
}

}  // namespace granitegap::operators
