// Thousands of membership decision objects under one virtual clock, with the stand-in network's rules between
// them: for property tests, and figures at sizes that no machine holds. A run is a function of its seed.
#pragma once
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "membership/member.h"
#include "standin/fault_injector.h"

namespace granitegap::fleet {

class SimulatedFleet {
 public:
  using Node = std::size_t;
  SimulatedFleet(membership::Options options, std::uint64_t seed, std::size_t nodes, std::size_t zones = 3,
                 std::size_t seeds = 3);
  // Before the start: each has a second path; to the fault_injector its ends are "n0/2" and so on.
  void add_secondary_paths();

  void start_all(Duration over);
  void start(Node n, membership::Incarnation first = 0);  // another life where it has lived; 0: by the clock
  // All at once, each knowing all: to begin at a size at which forming would take most of the run.
  void start_formed();
  void kill(Node n) { nodes_[n].member.reset(); }
  void pause(Node n) { nodes_[n].paused = true; }
  void resume(Node n);
  // Handles what comes only so long after it came: a starved process.
  void starve(Node n, Duration by) { nodes_[n].starved = by; }
  void leave(Node n) {
    nodes_[n].member->leave(now_);
    dispatch_outputs(n);
  }
  void change_port(Node n, std::uint16_t port);  // its next life is reached elsewhere
  void inject(Node to, membership::Datagram datagram, std::size_t bytes = 300, Duration after = {});
  // Two processes under one name: the second is a node of its own.
  Node clone(Node n);

  void run_for(Duration span);
  // Until it holds, asked four times a period; false where it did not within `most`.
  bool run_until(const std::function<bool()>& holds, Duration most);

  std::size_t size() const { return nodes_.size(); }
  bool is_running(Node n) const { return nodes_[n].member != nullptr; }
  membership::Member& member(Node n) { return *nodes_[n].member; }
  const std::string& name(Node n) const { return nodes_[n].identity.name; }
  const membership::Identity& identity(Node n) const { return nodes_[n].identity; }
  // What `who` holds of `of`; absent where it does not know it.
  std::optional<membership::Status> status_of(Node who, Node of) const;
  // Every living one holds every living one alive and no other one so.
  bool has_converged() const;
  bool all_report(Node of, membership::Status status) const;
  standin::FaultInjector& fault_injector() { return fault_injector_; }
  TimePoint now() const { return now_; }
  Duration elapsed() const { return now_ - TimePoint{}; }

  struct Stats {
    std::uint64_t datagrams = 0, bytes = 0;  // sent; estimated by the codec's bound
    std::uint64_t false_dead = 0;            // deaths declared of those that lived and were not paused
    std::uint64_t flaps = 0;                 // suspicions of such
    std::size_t largest = 0;                 // datagram
  };
  const Stats& stats() const { return stats_; }
  void reset_stats() { stats_ = {}; }
  // Hears every change of every view.
  std::function<void(Node, const membership::Change&)> on_change;

 private:
  struct Place {
    membership::Identity identity;
    std::unique_ptr<membership::Member> member;
    bool paused = false;
    Duration starved{};
    std::uint64_t lives = 0;
    TimePoint wake{};  // the one scheduled
  };
  struct Event {
    TimePoint at;
    std::uint64_t order;
    Node node;
    std::uint64_t boot_id;                                 // a wake-up's
    std::shared_ptr<const membership::Datagram> datagram;  // none: a wake-up
    std::size_t bytes = 0;
    bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  void dispatch_outputs(Node n);
  void handle(const Event& e);
  Node whose(const membership::Address& address) const;

  membership::Options options_;
  std::mt19937_64 random_;
  standin::FaultInjector fault_injector_;
  std::vector<Place> nodes_;
  std::map<membership::Address, Node> addresses_;
  std::map<std::string, Node> names_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  std::vector<std::vector<Event>> waiting_;  // of paused ones
  TimePoint now_{};
  std::uint64_t order_ = 0;
  Stats stats_;
};

}  // namespace granitegap::fleet
