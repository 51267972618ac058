// One reader for each section of an operator file: from values that the schema has vouched for to the
// settings of the module that uses them. Rules that the schema can't express are checked here. Internal to
// this module.
//
// Every reader returns a usable object whatever it finds; what is wrong goes into the diagnostics.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "deps/spec.h"
#include "membership_udp/settings.h"
#include "operators/diagnostics.h"
#include "operators/operator_config.h"
#include "typed_config/typed_config.h"

namespace granitegap::operators {

// A numeric address and a port other than 0, as "127.0.0.1:9001" or "[::1]:9001".
std::optional<deps::EndpointSpec> parse_endpoint(const std::string& text);

// The section `dependencies`.
std::vector<deps::DependencySpec> read_dependencies(const typed_config::Value& list,
                                                    Diagnostics& diagnostics);

// The section `gathers`. The classes' names go into `config.gather_classes`, as their numbers are not known
// yet.
void read_gathers(const typed_config::Value& list, OperatorConfig& config, Diagnostics& diagnostics);

// The section `membership`.
membership_udp::Settings read_membership(const typed_config::Value& section, Diagnostics& diagnostics);

// The section `recovery`.
OperatorConfig::Recovery read_recovery(const typed_config::Value& section);

}  // namespace granitegap::operators
