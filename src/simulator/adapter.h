// Connects the simulator's instances to their admission controllers: decoded events go to the controllers,
// and their actions go into the replies. Makes no decisions of its own. Not thread-safe.
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

/// Owns one admission controller for each instance that is powered on.
class Adapter {
 public:
  /// Passes the events of a batch to the controllers and returns the encoded reply. Records for unknown
  /// instances are ignored.
  [[nodiscard]] std::string answer(const wire::Batch& batch);

 private:
  struct Instance {
    AdmissionController controller;
    std::vector<std::string> gauges;  // names, in the order of the values in a timer record
    std::vector<Event> pending;       // events of the current batch, not yet handled
  };
  void power_on(std::uint16_t id, const wire::PowerOn& power_on, TimePoint now, wire::Reply& reply);
  static Event to_event(const wire::Record& record, const Instance& instance);

  std::map<std::uint16_t, Instance> instances_;
};

/// Reads batches from `in` and writes a reply to each to `out` until the input ends. Returns the exit status:
/// 0, or 2 after a malformed batch, which is reported as one line on `err`.
int serve(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace granitegap
