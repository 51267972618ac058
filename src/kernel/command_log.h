// The commands that the kernel has been sent and not yet reported over, for replay after a reconnect.
#pragma once
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "edge/types.h"
#include "kernel/line_codec.h"

namespace granitegap::kernel {

// The in-flight command log: a write-ahead log of commands, in memory, and the sequence number of the last
// notice. Knows no socket; not thread-safe.
//
// Whether the kernel carried out a command on a lost connection is not known. The next connection starts with
// a replay of notices, of which the answer to a SYSINFO request marks the end. What is still in flight then
// is sent again: to a run that goes on that changes nothing, and a run whose end was replayed is no longer in
// the log, so that nothing runs twice.
class CommandLog {
 public:
  // Adds a command that is about to be sent. Requests for gauges are not kept.
  void record(const edge::Command& command);

  // Whether the notice is new and concerns this process; it then completes what it reports over. False for
  // one that was read before, or that belongs to an earlier incarnation: the kernel outlives the program, and
  // may report runs that an earlier process started, under that process's sequence numbers.
  [[nodiscard]] bool accept(const Notice& notice);

  // A new connection: until its BOOTED notice, nothing answers what is sent on it.
  void connection_opened() { booted_ = false; }

  // The highest sequence number accepted; 0: none.
  std::uint64_t last_sequence() const { return last_sequence_; }

  // What is in flight, in the order in which it was recorded; each stop after its run, deep checks last.
  std::vector<edge::Command> commands_to_resend() const;

 private:
  struct InFlightRun {
    std::uint64_t order = 0;
    edge::Command command;  // StartRun or ResumeRun
    bool stop_requested = false;
  };
  bool in_sequence(const Notice& notice) const;
  bool concerns_run_in_flight(const Notice& notice) const;
  void complete(const Notice& notice);

  std::uint64_t last_sequence_ = 0;
  std::uint64_t next_order_ = 0;
  bool booted_ = false;  // BOOTED has come on the present connection
  std::map<std::string, InFlightRun> runs_;
  std::set<std::uint64_t> deep_checks_;
};

}  // namespace granitegap::kernel
