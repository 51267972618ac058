// The configuration files of a fleet's processes: the platform's JSON file and the operator file.
#pragma once
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "fleet/process_fleet_options.h"

namespace granitegap::fleet {

// What the platform's file says of one process.
struct PlatformConfig {
  std::string name;
  std::uint16_t kernel_port = 0, load_report_port = 0;
  std::string seed;  // hexadecimal
};

// What the operator file says of one process's membership.
struct MembershipConfig {
  boost::asio::ip::udp::endpoint bound, advertised;
  boost::asio::ip::udp::endpoint secondary;  // port 0: none
  std::vector<std::string> seeds;            // addresses
  std::size_t zone = 0;
  std::string more_fields;
};

// An address as the operator file writes it.
std::string text_of(const boost::asio::ip::udp::endpoint& endpoint);
// The platform's file, whose path is in EDGE_CONFIG.
std::string platform_config_text(const ProcessFleetOptions& options, const PlatformConfig& process);
// The operator file; "@FOLDER" in the options' part stands for `state_folder`.
std::string operator_file_text(const ProcessFleetOptions& options, const MembershipConfig& membership,
                               const std::filesystem::path& state_folder);

}  // namespace granitegap::fleet
