// Readers of the sections of an operator file. Each converts values that satisfy the schema to the settings
// of the module that uses them and checks the rules that the schema cannot express. Internal to this module.
//
// A reader adds errors to the diagnostics and returns an object that is safe to use even if there are errors.
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

// Parses a numeric address and a port from 1 to 65535, such as "127.0.0.1:9001" or "[::1]:9001". Returns
// nothing if `text` has another form.
std::optional<deps::EndpointSpec> parse_endpoint(const std::string& text);

// Reads the section `dependencies`.
std::vector<deps::DependencySpec> read_dependencies(const typed_config::Value& list,
                                                    Diagnostics& diagnostics);

// Reads the section `gathers` into `config.spec.gathers`. The class names go to `config.gather_classes`,
// because the class numbers are not known yet.
void read_gathers(const typed_config::Value& list, OperatorConfig& config, Diagnostics& diagnostics);

// Reads the section `membership`.
membership_udp::Settings read_membership(const typed_config::Value& section, Diagnostics& diagnostics);

// Reads the section `recovery`.
OperatorConfig::Recovery read_recovery(const typed_config::Value& section);

}  // namespace granitegap::operators
