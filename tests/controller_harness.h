// Support for the tests of the admission controller: a controller whose actions are recorded, and the events
// and settings that these tests start from. Time is what the tests pass in.
#pragma once
#include <cstdint>
#include <utility>
#include <variant>
#include <vector>

#include "fake_host.h"
#include "granitegap/policy.h"

namespace granitegap::testing {

// One controller whose actions are recorded.
class ControllerHarness {
 public:
  explicit ControllerHarness(Settings settings) : controller(std::move(settings), 1, TimePoint{}) {
    record(controller.start());
  }
  std::vector<Action> at(Duration when, std::vector<Event> events) {
    return record(controller.handle(TimePoint{} + when, events));
  }
  // Fires the update timer every 20 ms between two times.
  void update_until(Duration from, Duration to, double core_utilization) {
    for (auto t = from; t < to; t += milliseconds(20))
      at(t, {TimerFired{TimerToken{0}, core_utilization, {}, {}, {}}});
  }
  template <class A>
  static std::vector<A> actions_of(const std::vector<Action>& actions) {
    std::vector<A> out;
    for (const auto& a : actions)
      if (const auto* x = std::get_if<A>(&a)) out.push_back(*x);
    return out;
  }
  AdmissionController controller;
  std::vector<Action> all_actions;
  double credit = -1;

 private:
  std::vector<Action> record(std::vector<Action> actions) {
    for (const auto& c : actions_of<AdvertiseCredit>(actions)) credit = c.credit;
    all_actions.insert(all_actions.end(), actions.begin(), actions.end());
    return actions;
  }
};

inline RequestArrived make_request(std::uint32_t id, std::uint32_t class_index = 0,
                                   Duration caller_timeout = seconds(4)) {
  RequestArrived arrival;
  arrival.id = RequestId(id);
  arrival.class_id = ClassId(class_index);
  arrival.caller = CallerId(id % 4);
  arrival.caller_timeout = caller_timeout;
  arrival.memory = MemorySize(10000);
  arrival.cost_hint = milliseconds(100);
  return arrival;
}
inline Settings settings_with_capacity() {
  auto settings = tight_settings();
  settings.memory_kb = 1e6;
  settings.call_quota = 50;
  settings.overload_factor = 8;
  return settings;
}
template <class A>
int count(const std::vector<Action>& actions) {
  return int(ControllerHarness::actions_of<A>(actions).size());
}
inline RequestArrived make_duplicate(std::uint32_t id, std::uint32_t of) {
  auto arrival = make_request(id, 1);
  arrival.duplicate_of = RequestId(of);
  return arrival;
}

}  // namespace granitegap::testing
