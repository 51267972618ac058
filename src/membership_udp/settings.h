// Where and how this process takes part in the fleet, as the operator configures it.
#pragma once
#include <string>

#include "membership/options.h"

namespace granitegap::membership_udp {

struct Settings {
  std::string cluster, zone;
  membership::Address bind, advertise;
  membership::Address secondary_bind, secondary_advertise;  // no port: there is no secondary path
  membership::Options options;
  std::uint16_t cache_fill_port = 0;  // TCP: fills keys for others, once that server is open; 0: does not
  bool operator==(const Settings&) const = default;
};

}  // namespace granitegap::membership_udp
