// Membership settings of this process, from the operator file.
#pragma once
#include <string>

#include "membership/options.h"

namespace granitegap::membership_udp {

// Identity, addresses and protocol options with which this process takes part in the fleet.
struct Settings {
  std::string cluster, zone;
  membership::Address bind, advertise;
  membership::Address secondary_bind, secondary_advertise;  // port 0: no secondary path
  membership::Options options;
  std::uint16_t cache_fill_port = 0;  // TCP port of the cache fill server once it listens; 0: none
  bool operator==(const Settings&) const = default;
};

}  // namespace granitegap::membership_udp
