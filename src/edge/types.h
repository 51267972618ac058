// What a front end, the kernel link and the announce service exchange with the edge. Names no protocol.
#pragma once
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "deps/scatter_gather.h"
#include "granitegap/policy.h"
#include "membership/views.h"
#include "recovery/recovery_controller.h"
#include "recovery/restart_quarantine.h"
#include "warm_state/warm_state.h"

namespace granitegap::edge {

using UnixTime = std::chrono::sys_time<Duration>;

struct Now {
  TimePoint steady;  // what the module decides by
  UnixTime unix;     // what requests are stamped with
};

// Names as they stand in the settings; an id is the position in its list.
struct NameRegistry {
  std::vector<std::string> classes, tenants;
  std::vector<bool> keyed;  // by class

  std::optional<ClassId> find_class(std::string_view name) const;
  // Absent or unknown: an id past the list, which the module reads as no tenant of its own.
  TenantId find_tenant(std::string_view name) const;
  bool is_keyed(ClassId id) const { return std::size_t(id) < keyed.size() && keyed[std::size_t(id)]; }
};

enum class PeerId : std::uint64_t {};

// Where an answer goes: a peer's connection and the stream on it.
struct Origin {
  PeerId peer{};
  std::uint32_t stream = 0;
};

struct Request {
  Origin from;
  std::string rid;  // unique to this try, known to the kernel
  ClassId cls{};
  TenantId tenant{};
  CallerId caller{};
  UnixTime reached;  // the machine
  std::optional<Duration> cost_hint;
  MemorySize memory{};
  std::string token;       // the same for all tries of one keyed request
  std::uint64_t read = 0;  // what a read is about; 0: not told
  std::string body;
};

enum class Outcome : std::uint8_t { served, refused, failed };
// What a run made: for a class that gathers parts the kernel's result and the parts in one, with the names of
// those that are there and of those that are not.
struct Product {
  std::string bytes, parts, missing;
};
using Result = std::shared_ptr<const Product>;

struct Answer {
  Origin to;
  Outcome outcome = Outcome::failed;
  Result result;               // where served
  std::optional<double> hint;  // none before the module has started
  Duration backoff{};
  bool last = false;  // no other server should be tried
};

struct HealthCheck {
  Origin from;
  bool full = false;
};
struct HealthAnswer {
  Origin to;
  bool good = true;
  std::optional<double> hint;
};

// ---- To the kernel ----
struct StartRun {
  std::string rid;
  ClassId cls{};
  std::string body;
};
struct ResumeRun {
  std::string rid;
};
struct StopRun {
  std::string rid;
};
struct AskGauges {};
struct DeepCheck {
  std::uint64_t tag = 0;
};
using Command = std::variant<StartRun, ResumeRun, StopRun, AskGauges, DeepCheck>;

// ---- To the services below ----
struct DependencyCall {
  deps::CallId id{};
  std::string path;
  deps::EndpointSpec to;
  std::string name;  // of the dependency
  std::size_t max_response_bytes = 0, max_header_bytes = 0;
  Duration io_timeout{}, idle_connection_timeout{};
  std::uint32_t max_idle_connections = 0;
};
struct CancelDependencyCall {
  deps::CallId id{};
};
struct DependencySpecUpdate {  // of the services below; takes the place of the one in force
  std::shared_ptr<const deps::Spec> spec;
};
struct MembershipUpdate {  // who else is there, by the newest view
  std::shared_ptr<const membership::View> view;
};
struct CacheFillQuery {  // by another member, of what this one fills for all
  std::uint64_t tag = 0;
  deps::CacheFillRequest question;
};
struct CacheFillReply {  // without a body: there is none in time
  std::uint64_t tag = 0;
  deps::SharedBody body;
  Duration age{};
};
struct PreviousIncarnationFound {  // what is found of the life before this one
  recovery::PreviousIncarnation found;
};
struct WarmStateReceived {  // what an earlier life or others knew, aged by its age
  warm_state::WarmState what;
  std::size_t from_others = 0;  // how many of them; 0: an earlier life
};
struct StateTransferFinished {  // nobody is left to ask, or nobody ever was
  std::size_t sources = 0;
};
struct Closing {};  // nothing that comes from here on may run: the end is being written down
struct GatheredPart {
  std::string name;
  deps::PartStatus status = deps::PartStatus::absent;
  Duration age{};
  deps::SharedBody body;
};

// ---- From the kernel ----
struct KernelStarted {
  bool cold = true;
  std::chrono::milliseconds ago{};
};
enum class RunEnd : std::uint8_t { ok, error, stopped, moot };
struct RunReport {
  std::string rid;
  RunEnd end{};
  Duration took{};
  std::string result;
};
struct DependencyCallRequested {  // the run stands until a call below is made for it
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
struct DeepCheckDone {
  std::uint64_t tag = 0;
  bool good = false;
};

// ---- From the program ----
struct PeerDisconnected {  // nothing can be delivered to it any more
  PeerId peer{};
};
struct RequestCancelled {  // its answer could be read as another request's: it is failed at once
  Origin from;
};
struct Drain {
  Duration until_stopped{};
};
struct LifecycleChanged {};  // by an operator: the list is to hear of it
struct UnusableRequest {     // nothing of it can be relied on but where its answer goes
  Origin from;
};

using Input =
    std::variant<Request, UnusableRequest, HealthCheck, PeerDisconnected, RequestCancelled, Drain,
                 LifecycleChanged, KernelStarted, RunReport, DependencyCallRequested, CommandRejected, Gauges,
                 DeepCheckDone, deps::CallCompletion, DependencySpecUpdate, MembershipUpdate,
                 PreviousIncarnationFound, WarmStateReceived, StateTransferFinished, Closing, CacheFillQuery>;

struct StateTransferWanted {};  // what they know: the memory of this process is blank, or old

// ---- To the list, the peers and the log ----
struct LoadReport {
  bool accepting = true;
};
struct CloseIdlePeers {
  Duration idle_for{};
};
struct LogEvent {
  std::string text;
  std::string_view event;  // in a word, and whom it is about: for lines that machines read
  std::string subject;
};
using Output = std::variant<Answer, HealthAnswer, Command, LoadReport, CloseIdlePeers, LogEvent,
                            DependencyCall, CancelDependencyCall, StateTransferWanted, CacheFillReply>;

}  // namespace granitegap::edge
