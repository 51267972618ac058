// Reader of the section `membership` of an operator file.
#include <algorithm>

#include "operators/sections.h"

namespace granitegap::operators {
namespace {

using typed_config::Value;

constexpr const char* kSameFamily = "an address of the same family (IPv4 or IPv6) as bind";

// Returns whether the address is 0.0.0.0 or ::.
bool is_unspecified(const membership::Address& address) {
  return std::all_of(address.ip.begin(), address.ip.end(), [](auto byte) { return byte == 0; });
}

// Returns whether one address is IPv4 and the other IPv6. False if either could not be parsed.
bool families_differ(const membership::Address& a, const membership::Address& b) {
  return a && b && a.v6 != b.v6;
}

// Reads the section into the settings of the membership module.
class MembershipReader {
 public:
  explicit MembershipReader(Diagnostics& diagnostics) : diagnostics_(diagnostics) {}

  membership_udp::Settings read(const Value& section) {
    read_names(section);
    read_addresses(section);
    if (const auto* second = section.find("second")) read_second_path(*second);
    read_seeds(section["seeds"]);
    read_options(section);
    return settings_;
  }

 private:
  // Parses an address. Adds an error and returns an empty address if the text is not valid.
  membership::Address read_address(const Value& text, const std::string& path) {
    const auto address = parse_address(text.as_string());
    if (!address)
      diagnostics_.fail_expected(text, path,
                                 "a numeric address and a port from 1 to 65535, such as \"127.0.0.1:9101\"");
    return address.value_or(membership::Address{});
  }

  void read_names(const Value& section) {
    settings_.cluster = section["cluster"].as_string();
    settings_.zone = section["zone"].as_string();
    if (!is_plain_name(settings_.cluster))
      diagnostics_.fail_expected(section["cluster"], "membership.cluster",
                                 "printable ASCII characters without spaces");
    if (!is_plain_name(settings_.zone))
      diagnostics_.fail_expected(section["zone"], "membership.zone",
                                 "printable ASCII characters without spaces");
  }

  void read_addresses(const Value& section) {
    const auto& bind = section["bind"];
    const auto* advertise = section.find("advertise");
    settings_.bind = read_address(bind, "membership.bind");
    settings_.advertise = advertise ? read_address(*advertise, "membership.advertise") : settings_.bind;
    if (!advertise && settings_.bind && is_unspecified(settings_.bind))
      diagnostics_.fail(bind, "membership.bind",
                        "other members cannot reach the unspecified address " +
                            typed_config::summarize(bind) +
                            "; expected the field advertise with a reachable address");
    if (advertise && families_differ(settings_.bind, settings_.advertise))
      diagnostics_.fail_expected(*advertise, "membership.advertise", kSameFamily);
  }

  void read_second_path(const Value& second) {
    const auto& bind = second["bind"];
    const auto* advertise = second.find("advertise");
    auto& bound = settings_.secondary_bind;
    auto& advertised = settings_.secondary_advertise;
    bound = read_address(bind, "membership.second.bind");
    advertised = advertise ? read_address(*advertise, "membership.second.advertise") : bound;
    if (bound && bound == settings_.bind)
      diagnostics_.fail_expected(bind, "membership.second.bind",
                                 "an address that differs from membership.bind");
    if (advertise && families_differ(bound, advertised))
      diagnostics_.fail_expected(*advertise, "membership.second.advertise", kSameFamily);
  }

  void read_seeds(const Value& list) {
    auto& seeds = settings_.options.seeds;
    for (const auto& item : list.as_list()) {
      const auto path = "membership.seeds[" + std::to_string(seeds.size()) + "]";
      const auto seed = read_address(item, path);
      if (families_differ(seed, settings_.bind)) diagnostics_.fail_expected(item, path, kSameFamily);
      seeds.push_back(seed);
    }
  }

  void read_options(const Value& section) {
    auto& options = settings_.options;
    options.period = section["period"].as_duration();
    options.min_probe_timeout = section["late_least"].as_duration();
    options.indirect_probes = unsigned(section["indirect"].as_int());
    options.suspicion_multiplier = section["suspicion"].as_double();
    options.max_suspicion_multiplier = section["suspicion_most"].as_double();
    options.confirmations = unsigned(section["confirmations"].as_int());
    options.retransmit_multiplier = unsigned(section["spread"].as_int());
    options.mass_failure_fraction = section["mass_share"].as_double();
    options.quorum_shrink_delay = section["shrink_after"].as_duration();
    options.tombstone_ttl = section["forget_after"].as_duration();
    options.max_message_age = section["believe_for"].as_duration();
    options.min_fleet_size = std::size_t(section["expected"].as_int());
    options.max_members = std::size_t(section["members_most"].as_int());
    // A message accepted after the tombstone of its sender has expired would add a dead member again.
    if (2 * options.max_message_age > options.tombstone_ttl)
      diagnostics_.fail_expected(
          section["believe_for"], "membership.believe_for",
          "no more than half of forget_after = " + typed_config::summarize(section["forget_after"]));
  }

  Diagnostics& diagnostics_;
  membership_udp::Settings settings_;
};

}  // namespace

membership_udp::Settings read_membership(const Value& section, Diagnostics& diagnostics) {
  return MembershipReader(diagnostics).read(section);
}

}  // namespace granitegap::operators
