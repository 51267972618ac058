// All inputs and outputs of the edge, by the component they are exchanged with. Protocol-neutral plain
// values: the components encode and decode them.
#pragma once
#include <string>
#include <string_view>
#include <variant>

#include "edge/dependency_messages.h"
#include "edge/fleet_messages.h"
#include "edge/kernel_messages.h"
#include "edge/name_registry.h"
#include "edge/request.h"

namespace granitegap::edge {

// ---- From the process ----

// The notice to stop. The process is killed after `time_left`.
struct Drain {
  Duration time_left{};
};
// The Lifecycle was changed by an operator: the endpoint list has to be told.
struct LifecycleChanged {};
// The shutdown record is being written: no request that comes after this input may run.
struct AdmissionClosed {};

using Input = std::variant<Request, MalformedRequest, HealthCheck, PeerDisconnected, RequestCancelled, Drain,
                           LifecycleChanged, KernelStarted, RunReport, DependencyCallRequested,
                           CommandRejected, Gauges, DeepHealthCheckResult, deps::CallReport,
                           DependencySpecUpdate, MembershipUpdate, PreviousIncarnationFound,
                           WarmStateReceived, StateTransferFinished, AdmissionClosed, CacheFillQuery>;

// ---- To the endpoint list, the listener and the log ----

struct LoadReport {
  bool accepting = true;
};
// Asks for connections without a request for at least this long to be closed.
struct CloseIdlePeers {
  Duration idle_for{};
};
// One log line. `event` and `subject` are fields for machines: what happened, and to whom.
struct LogEvent {
  std::string text;
  std::string_view event;  // a string literal
  std::string subject;
};

using Output = std::variant<Response, HealthResponse, Command, LoadReport, CloseIdlePeers, LogEvent,
                            DependencyCall, CancelDependencyCall, StateTransferRequested, CacheFillReply>;

}  // namespace granitegap::edge
