// Messages between the edge and the kernel link: commands to start, stop and resume runs, and the kernel's
// reports on them. Plain values; `rid` is Request::rid.
#pragma once
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::edge {

// ---- Commands to the kernel ----

// Starts a run.
struct StartRun {
  std::string rid;
  ClassId cls{};
  std::string body;
};
// Resumes a run that was stopped by a kernel that can pause runs.
struct ResumeRun {
  std::string rid;
};
// Requests the preemption of a run. RunReport::outcome shows whether the run was preempted.
struct StopRun {
  std::string rid;
};
// Requests a Gauges report.
struct PollGauges {};
// Checks the health of the kernel, which replies with a DeepHealthCheckResult with the same tag.
struct DeepHealthCheck {
  std::uint64_t tag = 0;
};
using Command = std::variant<StartRun, ResumeRun, StopRun, PollGauges, DeepHealthCheck>;

// ---- Reports from the kernel ----

// The kernel has started, or the link to it was re-established.
struct KernelStarted {
  bool cold = true;  // whether its caches still have to warm up
  std::chrono::milliseconds uptime{};
};

// The outcome of a run.
enum class RunOutcome : std::uint8_t {
  ok,
  error,
  stopped,    // preempted
  never_ran,  // dropped by the kernel before it began
};
// A run has ended or was preempted.
struct RunReport {
  std::string rid;
  RunOutcome outcome{};
  Duration duration{};  // core time used
  std::string body;     // the result; only for RunOutcome::ok
};

// The run is blocked until a call to a dependency has been made for it.
struct DependencyCallRequested {
  std::string rid;
};

enum class CommandKind : std::uint8_t { start, resume, stop, other };
// The kernel rejected a command and did not carry it out.
struct CommandRejected {
  CommandKind kind{};
  std::string rid;
};

// The kernel's load gauges.
struct Gauges {
  std::vector<float> values;  // in the order of the gauges in the settings
};

// The result of the DeepHealthCheck with the same tag.
struct DeepHealthCheckResult {
  std::uint64_t tag = 0;
  bool healthy = false;
};

}  // namespace granitegap::edge
