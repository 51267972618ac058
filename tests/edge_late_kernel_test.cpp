// Tests of inputs that reach the edge before its kernel is up, and so before the admission controller exists:
// a drain, a handover, a quiesce, health checks and the limits of a recovery. Time is simulated.
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "edge/edge.h"

namespace granitegap::edge {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStopLimit{3200};
constexpr milliseconds kKernelStart{1000};
constexpr milliseconds kGrace{2000};
constexpr milliseconds kDeadline{4900};
constexpr milliseconds kShortWork{12};
constexpr PeerId kPeer{1};

ParsedSettings settings() {
  ParsedSettings parsed;
  auto& settings = parsed.settings;
  ClassSettings tile;
  tile.latency_objective = milliseconds(1900);
  tile.deadline = kDeadline;
  tile.late_weight_fraction = 0.2;
  tile.idempotency = Idempotency::idempotent;
  settings.classes = {tile};
  settings.tenants = {{54.0, 1.0}};
  settings.cores = 2;
  settings.servers = 1;
  settings.cold_speed = 0.2;
  settings.warm_up = seconds(18);
  settings.overload_factor = 8;
  settings.overload_window = milliseconds(1500);
  settings.tick_interval = milliseconds(2);
  settings.suspend = SuspendKind::pause;
  settings.memory_kb = 49134;
  settings.run_memory_factor = 8;
  settings.answer_slack = milliseconds(100);
  settings.drain_grace = kGrace;
  settings.advertised_value = AdvertisedValue::credits;
  settings.advertised_value_ttl = seconds(1);
  settings.deep_health_checks = true;
  return parsed;
}

// An edge under simulated time, counted from its first step, and the outputs of all steps.
class SimulatedEdge {
 public:
  SimulatedEdge() : edge(settings(), NameRegistry{{"tile"}, {"acme"}, {false}}, 1) {}

  // Fires the timers up to `at` and handles the inputs then. Returns the outputs of that last step.
  std::vector<Output> step(milliseconds at, std::vector<Input> inputs) {
    advance(at);
    return record(at, edge.step(clock(at), std::move(inputs)));
  }
  void advance(milliseconds until) {
    for (auto due = edge.next_timer(); due && *due < time(until); due = edge.next_timer()) {
      const auto at = std::max(std::chrono::ceil<milliseconds>(*due - kStart), now_);
      record(at, edge.step(clock(at), {}));
    }
  }
  // Returns the response to the request with this stream id, and when it was made.
  struct TimedResponse {
    milliseconds at;
    Response response;
  };
  std::optional<TimedResponse> response_to(std::uint32_t stream) const {
    for (const auto& answered : responses_)
      if (answered.response.to.stream == stream) return answered;
    return std::nullopt;
  }
  std::size_t response_count() const { return responses_.size(); }

  static TimePoint time(milliseconds at) { return kStart + at; }
  Edge edge;

 private:
  static constexpr TimePoint kStart{hours(24)};
  static constexpr UnixTime kUnixStart{milliseconds(1764576000000)};

  friend Request make_request(std::uint32_t stream, milliseconds at, milliseconds work);
  Now clock(milliseconds at) {
    now_ = at;
    return {time(at), kUnixStart + at};
  }
  std::vector<Output> record(milliseconds at, std::vector<Output> outputs) {
    for (const auto& output : outputs)
      if (const auto* response = std::get_if<Response>(&output)) responses_.push_back({at, *response});
    return outputs;
  }
  milliseconds now_{};
  std::vector<TimedResponse> responses_;
};

// Returns a request that is written at `at` and needs `work` on a core.
Request make_request(std::uint32_t stream, milliseconds at, milliseconds work = kShortWork) {
  Request request;
  request.reply_to = {kPeer, stream};
  request.rid = "rid" + std::to_string(stream);
  request.caller = CallerId(4);
  request.arrived_at = SimulatedEdge::kUnixStart + at;
  request.cost_hint = work;
  request.memory = MemorySize(24500);
  return request;
}

KernelStarted cold_start() { return {true, milliseconds(0)}; }

template <class T>
std::vector<T> outputs_of(const std::vector<Output>& outputs) {
  std::vector<T> found;
  for (const auto& output : outputs)
    if (const auto* match = std::get_if<T>(&output)) found.push_back(*match);
  return found;
}

template <class KernelCommand>
std::size_t count_commands(const std::vector<Output>& outputs) {
  std::size_t count = 0;
  for (const auto& command : outputs_of<Command>(outputs))
    count += std::holds_alternative<KernelCommand>(command);
  return count;
}

HealthResponse only_health_response(const std::vector<Output>& outputs) {
  const auto responses = outputs_of<HealthResponse>(outputs);
  EXPECT_EQ(responses.size(), 1U);
  return responses.empty() ? HealthResponse{} : responses.front();
}

// ---- A drain before the kernel is up ----

// Guards against requests that are left unanswered at the stop: the controller was created at the kernel's
// start without the drain that had begun, and kept the deadlines of the classes.
TEST(LateKernel, ARunThatOutlastsTheStopIsAnsweredBeforeIt) {
  SimulatedEdge host;
  host.step(milliseconds(0), {Drain{kStopLimit}});
  host.step(kKernelStart, {cold_start()});
  const auto started = host.step(milliseconds(1100), {make_request(1, milliseconds(1100))});
  ASSERT_EQ(count_commands<StartRun>(started), 1U);  // the kernel never reports its end
  host.advance(kStopLimit);
  const auto answered = host.response_to(1);
  ASSERT_TRUE(answered);
  EXPECT_EQ(answered->response.outcome, Outcome::failed);
  EXPECT_LT(answered->at, kStopLimit);
  EXPECT_TRUE(host.edge.has_no_pending_responses());
}

TEST(LateKernel, ARequestThatCannotEndBeforeTheStopIsRejectedOnArrival) {
  SimulatedEdge host;
  host.step(milliseconds(0), {Drain{kStopLimit}});
  host.step(kKernelStart, {cold_start()});
  const auto outputs =
      host.step(milliseconds(1100), {make_request(1, milliseconds(1100), milliseconds(10000))});
  EXPECT_EQ(count_commands<StartRun>(outputs), 0U);
  const auto responses = outputs_of<Response>(outputs);
  ASSERT_EQ(responses.size(), 1U);
  EXPECT_EQ(responses[0].outcome, Outcome::rejected);
}

// Guards against a grace that is counted from the kernel's start instead of the notice to stop.
TEST(LateKernel, CreditEndsWithTheGraceOfTheNotice) {
  SimulatedEdge host;
  host.step(milliseconds(0), {Drain{kStopLimit}});
  host.step(kKernelStart, {cold_start()});
  const auto credit_at = [&](milliseconds at) {
    return only_health_response(host.step(at, {HealthCheck{{kPeer, 0}, false}})).credit_hint.value_or(-1);
  };
  EXPECT_GT(credit_at(milliseconds(1500)), 0);
  EXPECT_EQ(credit_at(milliseconds(1950)), 0);
}

TEST(LateKernel, ARequestAfterTheGraceOfTheNoticeNeverRuns) {
  SimulatedEdge host;
  host.step(milliseconds(0), {Drain{kStopLimit}});
  host.step(kKernelStart, {cold_start()});
  const auto late = kGrace + milliseconds(1);
  const auto outputs = host.step(late, {make_request(1, late)});
  EXPECT_EQ(count_commands<StartRun>(outputs), 0U);
  ASSERT_TRUE(host.response_to(1));
  EXPECT_EQ(host.response_to(1)->response.outcome, Outcome::rejected);
}

// One batch holds both inputs when the process is paused while they come.
TEST(LateKernel, ADrainInOneBatchWithTheKernelsStartIsHeard) {
  const std::vector<std::vector<Input>> batches = {{Drain{kStopLimit}, cold_start()},
                                                   {cold_start(), Drain{kStopLimit}}};
  for (auto batch : batches) {
    SimulatedEdge host;
    batch.emplace_back(make_request(1, milliseconds(0)));
    ASSERT_EQ(count_commands<StartRun>(host.step(milliseconds(0), std::move(batch))), 1U);
    host.advance(kStopLimit);
    EXPECT_TRUE(host.response_to(1));
  }
}

TEST(LateKernel, AKernelThatStartsAfterTheStopLimitRunsNothing) {
  SimulatedEdge host;
  host.step(milliseconds(0), {Drain{kStopLimit}});
  const auto late = kStopLimit + milliseconds(100);
  const auto outputs = host.step(late, {cold_start(), make_request(1, late)});
  EXPECT_EQ(count_commands<StartRun>(outputs), 0U);
  ASSERT_TRUE(host.response_to(1));
  EXPECT_EQ(host.response_to(1)->response.outcome, Outcome::rejected);
}

TEST(LateKernel, ASecondKernelStartDuringTheDrainDoesNotExtendIt) {
  SimulatedEdge host;
  host.step(milliseconds(0), {Drain{kStopLimit}});
  host.step(kKernelStart, {cold_start()});
  ASSERT_EQ(count_commands<StartRun>(host.step(milliseconds(1100), {make_request(1, milliseconds(1100))})),
            1U);
  host.step(milliseconds(1300), {KernelStarted{true, milliseconds(300)}});
  host.advance(kStopLimit);
  EXPECT_EQ(host.response_count(), 1U);
}

// ---- A handover before the kernel is up ----

// Guards against the same loss in a process that hands over to its successor.
TEST(LateKernel, AHandoverBeforeTheKernelStartsAnswersBeforeTheStop) {
  SimulatedEdge host;
  host.edge.lifecycle().stop(true);
  auto outputs = host.step(milliseconds(0), {Drain{kStopLimit}, HealthCheck{{kPeer, 0}, false}});
  EXPECT_TRUE(only_health_response(outputs).healthy);  // a bad answer would count against the successor
  EXPECT_TRUE(outputs_of<LoadReport>(outputs).empty());
  outputs = host.step(kKernelStart, {cold_start(), HealthCheck{{kPeer, 0}, false}});
  EXPECT_TRUE(only_health_response(outputs).healthy);
  EXPECT_TRUE(outputs_of<LoadReport>(outputs).empty());
  outputs = host.step(milliseconds(1100), {make_request(1, milliseconds(1100))});
  ASSERT_EQ(count_commands<StartRun>(outputs), 1U);
  host.advance(kStopLimit);
  ASSERT_TRUE(host.response_to(1));
  EXPECT_LT(host.response_to(1)->at, kStopLimit);
}

// ---- Health, load reports and the stage before the kernel is up ----

TEST(LateKernel, HealthChecksDuringTheDrainAreAnsweredUnhealthyAtOnce) {
  SimulatedEdge host;
  host.step(milliseconds(0), {Drain{kStopLimit}});
  for (const auto at : {milliseconds(10), kKernelStart + milliseconds(10)}) {
    for (const bool deep : {false, true}) {
      const auto outputs = host.step(at, {HealthCheck{{kPeer, 0}, deep}});
      EXPECT_FALSE(only_health_response(outputs).healthy);
      EXPECT_EQ(count_commands<DeepHealthCheck>(outputs), 0U);
    }
    host.step(kKernelStart, {cold_start()});
  }
}

TEST(LateKernel, TheKernelsStartDuringTheDrainIsNotReportedAsAccepting) {
  SimulatedEdge host;
  const auto at_notice = outputs_of<LoadReport>(host.step(milliseconds(0), {Drain{kStopLimit}}));
  ASSERT_EQ(at_notice.size(), 1U);
  EXPECT_FALSE(at_notice[0].accepting);
  for (const auto& report : outputs_of<LoadReport>(host.step(kKernelStart, {cold_start()})))
    EXPECT_FALSE(report.accepting);
}

TEST(LateKernel, AQuiesceBeforeTheKernelStartsIsReportedAtItsStart) {
  SimulatedEdge host;
  ASSERT_TRUE(host.edge.lifecycle().quiesce());
  EXPECT_TRUE(outputs_of<LoadReport>(host.step(milliseconds(0), {LifecycleChanged{}})).empty());
  const auto at_start = host.step(kKernelStart, {cold_start(), HealthCheck{{kPeer, 0}, false}});
  ASSERT_EQ(outputs_of<LoadReport>(at_start).size(), 1U);
  EXPECT_FALSE(outputs_of<LoadReport>(at_start)[0].accepting);
  EXPECT_FALSE(only_health_response(at_start).healthy);
  ASSERT_TRUE(host.edge.lifecycle().resume());
  const auto resumed = outputs_of<LoadReport>(host.step(milliseconds(1100), {LifecycleChanged{}}));
  ASSERT_EQ(resumed.size(), 1U);
  EXPECT_TRUE(resumed[0].accepting);
}

// Guards against a leaving member that its fleet takes for one that is about to serve.
TEST(LateKernel, TheStageIsDrainingOnceTheProcessLeaves) {
  SimulatedEdge draining;
  EXPECT_EQ(draining.edge.member_status(SimulatedEdge::time(milliseconds(0))).stage,
            membership::Stage::starting);
  draining.step(milliseconds(0), {Drain{kStopLimit}});
  EXPECT_EQ(draining.edge.member_status(SimulatedEdge::time(milliseconds(10))).stage,
            membership::Stage::draining);
  SimulatedEdge quiesced;
  ASSERT_TRUE(quiesced.edge.lifecycle().quiesce());
  EXPECT_EQ(quiesced.edge.member_status(SimulatedEdge::time(milliseconds(0))).stage,
            membership::Stage::draining);
}

// ---- Recovery limits ----

TEST(LateKernel, TheLimitsOfARecoveryReachAControllerCreatedLater) {
  const auto credit = [](bool with_ramp) {
    SimulatedEdge host;
    if (with_ramp) host.edge.enable_recovery_ramp({}, SimulatedEdge::time(milliseconds(0)));
    host.step(milliseconds(0), {StateTransferFinished{}});
    host.step(kKernelStart, {KernelStarted{false, seconds(60)}});
    const auto checked = host.step(milliseconds(1100), {HealthCheck{{kPeer, 0}, false}});
    return only_health_response(checked).credit_hint.value_or(-1);
  };
  EXPECT_LT(credit(true), credit(false));
}

}  // namespace
}  // namespace granitegap::edge
