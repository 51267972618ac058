// All inputs and outputs of the edge, grouped by the component they are exchanged with. They are
// protocol-neutral plain values; the components encode and decode them.
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

// Starts the drain before shutdown. The process is killed after `time_left`.
struct Drain {
  Duration time_left{};
};
// An operator changed the Lifecycle; the endpoint list must be sent a new load report.
struct LifecycleChanged {};
// The shutdown record is being written. No request that arrives after this input may run.
struct AdmissionClosed {};

// Everything that Edge::step() accepts.
using Input = std::variant<Request, MalformedRequest, HealthCheck, PeerDisconnected, RequestCancelled, Drain,
                           LifecycleChanged, KernelStarted, RunReport, DependencyCallRequested,
                           CommandRejected, Gauges, DeepHealthCheckResult, deps::CallCompletion,
                           DependencySpecUpdate, MembershipUpdate, PreviousIncarnationFound,
                           WarmStateReceived, StateTransferFinished, AdmissionClosed, CacheFillQuery>;

// ---- To the endpoint list, the listener and the log ----

// Reports to the endpoint list whether this process accepts requests.
struct LoadReport {
  bool accepting = true;
};
// Requests that connections without a request for at least `idle_for` are closed.
struct CloseIdlePeers {
  Duration idle_for{};
};
// One log line. `event` and `subject` are machine-readable fields: the kind of event and what it concerns.
struct LogEvent {
  std::string text;
  std::string_view event;  // a string literal
  std::string subject;
};

// Everything that Edge::step() returns.
using Output = std::variant<Response, HealthResponse, Command, LoadReport, CloseIdlePeers, LogEvent,
                            DependencyCall, CancelDependencyCall, StateTransferRequested, CacheFillReply>;

}  // namespace granitegap::edge
