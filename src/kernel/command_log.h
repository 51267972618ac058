// The commands sent to the kernel whose outcome it has not yet reported, for resending after a reconnect.
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
// accepted notice. No I/O; not thread-safe.
//
// When a connection is lost, it is unknown whether the kernel carried out the last commands. The next
// connection starts with a replay of notices, whose end is marked by the answer to a SYSINFO request.
// Commands that are still in flight then are sent again. This has no effect on a run that is still in
// progress, and a run whose end was replayed is no longer in the log, so no run is executed twice.
class CommandLog {
 public:
  // Adds a command that is about to be sent. Requests for gauges are not recorded.
  void record(const edge::Command& command);

  // Returns whether the notice is new and concerns this process; if so, removes the command that it
  // completes. False for a notice that was accepted before or belongs to an earlier incarnation: the kernel
  // outlives the tile server process and may report runs that an earlier process started, with that process's
  // sequence numbers.
  [[nodiscard]] bool accept(const Notice& notice);

  // To be called when a connection opens: notices before its BOOTED notice do not answer commands sent on it.
  void connection_opened() { booted_ = false; }

  // Returns the highest accepted sequence number, or 0 if there is none.
  std::uint64_t last_sequence() const { return last_sequence_; }

  // Returns the commands in flight: runs in the order in which they were recorded, each followed by its stop
  // if there is one, then the deep health checks.
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
  bool booted_ = false;  // BOOTED was received on the current connection
  std::map<std::string, InFlightRun> runs_;
  std::set<std::uint64_t> deep_checks_;
};

}  // namespace granitegap::kernel
