// Simulated dependencies for the tests and benchmarks of ScatterGather, under a virtual clock: they carry out
// its actions, complete its calls as a given behaviour says, and check its invariants.
//
// Single-threaded, no socket, no clock, deterministic under its seed. Violated invariants are collected in
// `violations`.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "deps/scatter_gather.h"

namespace granitegap::deps {

using std::chrono::milliseconds;
using std::chrono::seconds;

class DependencySimulation {
 public:
  // How a simulated endpoint answers one call.
  struct Reply {
    CallOutcome outcome = CallOutcome::ok;
    Duration after = milliseconds(10);
    std::optional<Duration> retry_after = std::nullopt;
    bool never = false;  // the call hangs
  };
  using Behaviour = std::function<Reply(std::uint32_t dependency, std::uint32_t endpoint, TimePoint now)>;

  DependencySimulation(Spec spec, std::uint64_t seed, bool guarded = true);

  // Begins the gather of a new request and returns its id.
  RequestId start_request(std::uint64_t obj, Duration budget = milliseconds(400), ClassId cls = ClassId{0},
                          bool may_call = true);
  void cancel_request(RequestId id);
  // Advances the clock, each event at its own time.
  void run_until(TimePoint until);
  void run_for(Duration duration) { run_until(now + duration); }
  // A draw from [0, 1).
  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  std::size_t open_calls() const { return open_calls_.size(); }
  std::size_t pending_requests() const { return deadlines_.size(); }
  std::shared_ptr<Spec> spec() { return spec_; }

  // How a gather ended.
  struct Outcome {
    bool required_parts_present = false;
    std::vector<PartStatus> parts;
    std::vector<std::string> bodies;  // by part; empty for an absent one
  };

  Behaviour behaviour = [](auto, auto, auto) { return Reply{}; };
  TimePoint now = TimePoint(seconds(1000));
  std::map<RequestId, Outcome> outcomes;
  std::set<std::string> violations;                             // of invariants
  std::map<std::uint32_t, std::vector<TimePoint>> call_starts;  // by dependency
  std::vector<std::pair<std::uint32_t, bool>> circuit_changes;  // dependency, and whether its circuit opened
  std::vector<std::string> paths;                               // of the calls, in order

 private:
  struct Completion {
    TimePoint at;
    std::uint64_t order = 0;
    CallCompletion completion;
    bool operator>(const Completion& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  void carry_out_actions();
  void carry_out(const StartCall& start, const std::string& path);
  void carry_out(const CancelCall& cancel);
  void carry_out(const GatherEnded& ended);
  void carry_out(const CircuitBreakerChanged& change);
  void complete_due_calls();
  void check_limits();

  std::shared_ptr<Spec> spec_;
  std::mt19937_64 random_;
  std::uint32_t next_id_ = 1;
  std::uint64_t next_order_ = 0;
  std::map<RequestId, TimePoint> deadlines_;  // of the requests that have not ended
  std::set<CallId> open_calls_;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions_;

 public:
  ScatterGather scatter_gather;
};

// Two dependencies of two endpoints each, and a class with an optional part from each.
Spec two_dependencies();

}  // namespace granitegap::deps
