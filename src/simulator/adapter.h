// Connects the instances on the simulator's wire to their admission controllers. Translation only; used by
// one thread.
#pragma once
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "granitegap/policy.h"
#include "simulator/wire.h"

namespace granitegap {

/// Owns one controller for each instance that is powered on.
class Adapter {
 public:
  /// The bytes of the reply to a batch. Records for unknown instances are ignored.
  [[nodiscard]] std::string answer(const wire::Batch& batch);

 private:
  struct Instance {
    AdmissionController controller;
    std::vector<std::string> gauges;  // names, in the order of the values on the wire
    std::vector<Event> pending;       // of the batch that is being answered
  };
  void power_on(std::uint16_t id, const wire::PowerOn& power_on, TimePoint now, wire::Reply& reply);
  static Event to_event(const wire::Record& record, const Instance& instance);

  std::map<std::uint16_t, Instance> instances_;
};

/// Answers batches until the input ends. Returns the exit status: 0, or 2 after a malformed batch, which is
/// reported as one line on `err`.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace granitegap
