// A simulated fleet whose members ask each other for the cache fills that they own, above one dependency,
// under a virtual clock.
//
// Single-threaded, no socket, no clock, deterministic.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "deps/scatter_gather.h"

namespace granitegap::deps {

// A member numbered `n` as the others see it: alive, serving, accepting cache fills.
membership::View::Peer simulated_member(std::size_t n);
// The view that member `own` has of a complete fleet.
membership::View simulated_view(std::size_t own, std::size_t members);

class CacheFillSimulation {
 public:
  CacheFillSimulation(std::size_t members, Spec spec);
  // One dependency's data as a single part, cached for ten seconds and filled for the fleet; no hedging.
  static Spec default_spec();

  // Begins the gather of a new request at a member and returns its number.
  std::uint32_t start_request(std::size_t member, std::uint64_t obj, ClassId cls = ClassId{0});
  void run_for(Duration duration);

  ScatterGather& scatter_gather(std::size_t member) { return members_[member]->scatter_gather; }
  // The member that owns the key of that object.
  std::size_t owner_of(std::uint64_t obj) const;
  static std::uint64_t key_of(std::uint64_t obj);

  // The result of a request.
  struct Result {
    PartStatus status{};
    Duration age{}, took{};
    std::string body;
  };
  using RequestKey = std::pair<std::size_t, std::uint32_t>;  // member and request number

  TimePoint now{std::chrono::seconds(1000)};
  Duration dependency_latency = std::chrono::milliseconds(10);
  bool dependency_is_healthy = true;
  std::set<std::size_t> silent_members;     // do not answer the others
  std::set<std::size_t> restarted_members;  // have another boot id than the others know
  std::size_t dependency_calls = 0, owner_requests = 0;
  std::map<RequestKey, Result> results;

 private:
  using FillReply = std::function<void(const SharedBody& body, Duration age)>;
  struct Member {
    explicit Member(ScatterGather decisions) : scatter_gather(std::move(decisions)) {}
    ScatterGather scatter_gather;
    std::map<std::uint32_t, FillReply> pending_fills;  // by request number
  };
  // A StartCall with its own copy of what that only points to.
  struct Call {
    CallId id{};
    std::string path;
    KeyOwner owner;  // member_hash 0: none
  };

  void schedule(Duration after, std::function<void()> event) {
    events_.emplace(now + after, std::move(event));
  }
  void run_due_events();
  TimePoint next_event(TimePoint until);
  void carry_out_actions(std::size_t member);
  void carry_out(std::size_t member, const Call& call);
  void carry_out(std::size_t member, const GatherEnded& ended);
  void complete_call(std::size_t member, CallId id, CallOutcome outcome, SharedBody body);
  void receive_cache_fill(std::size_t from, CallId call, const std::string& target, std::uint16_t port);

  std::shared_ptr<Spec> spec_;
  std::vector<std::unique_ptr<Member>> members_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<RequestKey, TimePoint> started_;
  std::uint32_t last_id_ = 0;
};

}  // namespace granitegap::deps
