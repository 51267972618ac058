// The configuration files of the dependency benchmark's server: the platform's JSON and the operator file.
#pragma once
#include <cstdint>
#include <string>

#include "standin/dependency.h"
#include "standin/script.h"

namespace granitegap::bench {

// Ports on loopback: where the server listens, where its kernel is, and where its load reports go.
struct ServerPorts {
  std::uint16_t listen = 0, kernel = 0, load_reports = 0;
};

// The platform's file, whose path is in EDGE_CONFIG.
std::string platform_config_text(const standin::Scenario& scenario, const ServerPorts& ports);

// The operator file, with both dependencies and what each class gathers from them.
std::string operator_file_text(const standin::Scenario& scenario, const standin::Dependency& elevation,
                               const standin::Dependency& names);

}  // namespace granitegap::bench
