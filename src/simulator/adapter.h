// Connects instances on the wire to their controllers. Translation only.
#pragma once
#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "granitegap/policy.h"
#include "simulator/wire.h"

namespace granitegap {

class Adapter {
 public:
  std::string answer(const wire::Batch& batch);

 private:
  struct Instance {
    AdmissionController controller;
    std::vector<std::string> gauges;
    std::vector<Event> pending;
  };
  std::map<std::uint16_t, Instance> instances_;
};

// Serves frames until the input ends; returns the exit status.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace granitegap
