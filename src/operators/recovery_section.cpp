// Reader of the section `recovery` of an operator file.
#include "operators/sections.h"

namespace granitegap::operators {

OperatorConfig::Recovery read_recovery(const typed_config::Value& section) {
  OperatorConfig::Recovery recovery;
  recovery.quarantine_keys = section["after_lost_memory"].as_string() == "wait_out";
  if (const auto* directory = section.find("folder")) recovery.directory = directory->as_string();
  recovery.max_clock_back = section["clock_back_most"].as_duration();
  recovery.snapshot_every = section["snapshot_every"].as_duration();
  recovery.guided = section["guided"].as_bool();
  recovery.first = section["first"].as_double();
  recovery.growth = section["growth"].as_double();
  recovery.wait_bound = section["wait_bound"].as_double();
  recovery.max_learn = section["learn_most"].as_duration();
  recovery.state_transfer_port = std::uint16_t(section["donate_port"].as_int());
  recovery.max_pause = section["pause_most"].as_duration();
  recovery.calm_for = section["calm_for"].as_duration();
  return recovery;
}

}  // namespace granitegap::operators
