// Tests of the process lifecycle: the phase after every ordered pair of events.
#include "lifecycle/lifecycle.h"

#include <gtest/gtest.h>

#include <string>

namespace granitegap::lifecycle {
namespace {

enum class Event { set_kernel_started, quiesce, resume, drain, hand_over };
constexpr Event kEvents[] = {Event::set_kernel_started, Event::quiesce, Event::resume, Event::drain,
                             Event::hand_over};

bool is_stop(Event event) { return event == Event::drain || event == Event::hand_over; }

// Applies an event and returns whether it was accepted. Events other than quiesce and resume always are.
bool apply(Lifecycle& lifecycle, Event event) {
  switch (event) {
    case Event::set_kernel_started:
      lifecycle.set_kernel_started();
      return true;
    case Event::quiesce:
      return lifecycle.quiesce();
    case Event::resume:
      return lifecycle.resume();
    case Event::drain:
      lifecycle.stop(false);
      return true;
    case Event::hand_over:
      lifecycle.stop(true);
      return true;
  }
  return false;
}

// The result of two events according to the documented rules, independent of the implementation: a stop takes
// precedence, and the first stop counts; otherwise the last quiesce or resume; otherwise whether the kernel
// has started.
struct Expectation {
  Expectation(Event first, Event second)
      : stopped(is_stop(first) || is_stop(second)),
        stop(is_stop(first) ? first : second),
        quiesced(second == Event::quiesce || (first == Event::quiesce && second != Event::resume)),
        set_kernel_started(first == Event::set_kernel_started || second == Event::set_kernel_started),
        second_accepted(!is_stop(first) || (second != Event::quiesce && second != Event::resume)) {}

  Phase phase() const {
    if (stopped) return Phase::stopping;
    if (quiesced) return Phase::quiesced;
    return set_kernel_started ? Phase::serving : Phase::starting;
  }
  bool handing_over() const { return stopped && stop == Event::hand_over; }

  bool stopped;
  Event stop;
  bool quiesced;
  bool set_kernel_started;
  bool second_accepted;
};

// Calls `check(lifecycle, expectation)` after every ordered pair of events.
template <class Check>
void for_every_pair(Check check) {
  for (const auto first : kEvents)
    for (const auto second : kEvents) {
      SCOPED_TRACE(std::to_string(int(first)) + " then " + std::to_string(int(second)));
      Lifecycle lifecycle;
      EXPECT_TRUE(apply(lifecycle, first));
      const Expectation expected(first, second);
      EXPECT_EQ(apply(lifecycle, second), expected.second_accepted);
      check(lifecycle, expected);
    }
}

TEST(Lifecycle, EveryOrderedPairOfEventsLeadsToTheDocumentedPhase) {
  for_every_pair([](const Lifecycle& lifecycle, const Expectation& expected) {
    EXPECT_EQ(lifecycle.phase(), expected.phase());
    EXPECT_EQ(lifecycle.kernel_started(), expected.set_kernel_started);
  });
}

TEST(Lifecycle, AcceptsTrafficUnlessQuiescedOrDraining) {
  for_every_pair([](const Lifecycle& lifecycle, const Expectation& expected) {
    EXPECT_EQ(lifecycle.accepts_traffic(), expected.stopped ? expected.handing_over() : !expected.quiesced);
  });
}

TEST(Lifecycle, SendsNoLoadReportsDuringAHandover) {
  for_every_pair([](const Lifecycle& lifecycle, const Expectation& expected) {
    EXPECT_EQ(lifecycle.publishes_load_reports(), !expected.handing_over());
  });
}

}  // namespace
}  // namespace granitegap::lifecycle
