#include "operators/operator_config.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <system_error>
#include <utility>

#include "membership_udp/codec.h"
#include "operator_schema.h"
#include "operators/diagnostics.h"
#include "operators/sections.h"
#include "typed_config/printer.h"

namespace granitegap::operators {
namespace {

using typed_config::Value;

// Parses a port from 1 to 65535. Returns nothing if `text` is anything else.
std::optional<std::uint16_t> parse_port(std::string_view text) {
  std::uint16_t port = 0;
  const auto* text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, port);
  if (error != std::errc{} || end != text_end || port == 0) return std::nullopt;
  return port;
}

// Fails for each dependency that uses `field` if the file has no section `membership`.
template <class IsUsed>
void require_membership(const Value& dependencies, const OperatorConfig& config, const std::string& field,
                        const char* reason, IsUsed is_used, Diagnostics& diagnostics) {
  if (config.membership) return;
  const auto& list = dependencies.as_list();
  for (std::size_t i = 0; i < list.size(); ++i) {
    if (!is_used(config.spec.dependencies[i])) continue;
    const auto& value = list[i][field];
    diagnostics.fail(
        value, "dependencies[" + std::to_string(i) + "]." + field,
        field + " = " + typed_config::summarize(value) + " requires the section membership: " + reason);
  }
}

void check_membership_is_declared(const Value& dependencies, const OperatorConfig& config,
                                  Diagnostics& diagnostics) {
  require_membership(
      dependencies, config, "fleet_fill", "without it there are no other members to share responses with",
      [](const deps::DependencySpec& spec) { return spec.fleet_cache_fill; }, diagnostics);
  require_membership(
      dependencies, config, "fleet_open", "without it the number of members that share the limit is unknown",
      [](const deps::DependencySpec& spec) { return spec.fleet_max_in_flight > 0; }, diagnostics);
}

void read_sections(const Value& root, OperatorConfig& config, Diagnostics& diagnostics) {
  config.spec.dependencies = read_dependencies(root["dependencies"], diagnostics);
  read_gathers(root["gathers"], config, diagnostics);
  config.spec.max_cache_bytes = root["cache"].as_byte_size();
  config.spec.negative_cache_ttl = root["remember_failures"].as_duration();
  config.dependency_connections = std::size_t(root["connections"].as_int());
  config.cache_fill_port = std::uint16_t(root["fill_port"].as_int());
  if (const auto* section = root.find("membership"))
    config.membership = read_membership(*section, diagnostics);
  check_membership_is_declared(root["dependencies"], config, diagnostics);
  if (const auto* section = root.find("recovery")) config.recovery = read_recovery(*section);
}

}  // namespace

bool OperatorConfig::cache_fill_enabled() const {
  const auto& dependencies = spec.dependencies;
  const bool is_used = std::any_of(dependencies.begin(), dependencies.end(),
                                   [](const auto& dependency) { return dependency.fleet_cache_fill; });
  return is_used && membership.has_value();
}

const typed_config::Document& schema() {
  static const auto kDocument =
      std::get<typed_config::Document>(typed_config::parse(kOperatorSchema, "operator.schema.cue"));
  return kDocument;
}

std::optional<deps::EndpointSpec> parse_endpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return std::nullopt;
  auto host = text.substr(0, colon);
  const bool in_brackets = host.front() == '[' && host.back() == ']';
  if (in_brackets) host = host.substr(1, host.size() - 2);
  if (!in_brackets && host.find(':') != std::string::npos) return std::nullopt;
  const auto port = parse_port(std::string_view(text).substr(colon + 1));
  boost::system::error_code not_numeric;
  boost::asio::ip::make_address(host, not_numeric);
  if (not_numeric || !port) return std::nullopt;
  return deps::EndpointSpec{host, *port};
}

std::optional<membership::Address> parse_address(const std::string& text) {
  const auto endpoint = parse_endpoint(text);
  if (!endpoint) return std::nullopt;
  return membership_udp::address_of(boost::asio::ip::make_address(endpoint->host), endpoint->port);
}

std::variant<OperatorConfig, Errors> from_document(const typed_config::Document& document) {
  auto validated = typed_config::validate(document, schema(), "#Operator");
  if (auto* errors = std::get_if<Errors>(&validated)) return std::move(*errors);
  OperatorConfig config;
  config.file = document.file;
  config.values = std::get<Value>(std::move(validated));
  Diagnostics diagnostics(document.file);
  read_sections(config.values, config, diagnostics);
  if (!diagnostics.errors().empty()) return diagnostics.errors();
  return config;
}

std::variant<OperatorConfig, Errors> load(const std::string& path) {
  const auto document = typed_config::load(path);
  if (const auto* error = std::get_if<typed_config::Error>(&document)) return Errors{*error};
  return from_document(std::get<typed_config::Document>(document));
}

Errors resolve_classes(OperatorConfig& config, const edge::NameRegistry& names) {
  Errors errors;
  for (std::size_t i = 0; i < config.gather_classes.size(); ++i) {
    const auto& [name, position] = config.gather_classes[i];
    if (const auto number = names.find_class(name))
      config.spec.gathers[i].cls = *number;
    else
      errors.push_back({config.file, position, "gathers[" + std::to_string(i) + "].class",
                        "expected a class of the platform's settings, found " +
                            typed_config::summarize({name, position})});
  }
  return errors;
}

}  // namespace granitegap::operators
