// What the edge exchanges with the kernel link: commands to start, stop and resume runs, and the kernel's
// reports on them. Plain values; `rid` is the Request's.
#pragma once
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::edge {

// ---- Commands to the kernel ----

struct StartRun {
  std::string rid;
  ClassId cls{};
  std::string body;
};
// Continues a run that was stopped where the kernel can pause runs.
struct ResumeRun {
  std::string rid;
};
// Asks for a run to be preempted; its RunReport tells whether it was.
struct StopRun {
  std::string rid;
};
struct PollGauges {};
// Answered by a DeepHealthCheckResult with the same tag.
struct DeepHealthCheck {
  std::uint64_t tag = 0;
};
using Command = std::variant<StartRun, ResumeRun, StopRun, PollGauges, DeepHealthCheck>;

// ---- Reports from the kernel ----

struct KernelStarted {
  bool cold = true;  // its caches have to warm up
  std::chrono::milliseconds uptime{};
};

enum class RunOutcome : std::uint8_t {
  ok,
  error,
  stopped,    // preempted
  never_ran,  // the kernel dropped it before it began
};
struct RunReport {
  std::string rid;
  RunOutcome outcome{};
  Duration duration{};  // core time
  std::string body;     // for ok
};

// The run waits until a downstream call has been made for it.
struct DependencyCallRequested {
  std::string rid;
};

enum class CommandKind : std::uint8_t { start, resume, stop, other };
struct CommandRejected {
  CommandKind kind{};
  std::string rid;
};

struct Gauges {
  std::vector<float> values;  // in the order of the settings
};

struct DeepHealthCheckResult {
  std::uint64_t tag = 0;
  bool healthy = false;
};

}  // namespace granitegap::edge
