// Where and how this process takes part in the fleet, as an operator declares it.
#pragma once
#include <string>

#include "membership/options.h"

namespace granitegap::membership_udp {

struct Settings {
  std::string cluster, zone;
  membership::Address bind, advertise;
  membership::Address secondary_bind, secondary_advertise;  // no port: there is none
  membership::Options options;
  std::uint16_t cache_fill_port = 0;  // where keys are filled for others, once that door is open; 0: nowhere
  bool operator==(const Settings&) const = default;
};

}  // namespace granitegap::membership_udp
