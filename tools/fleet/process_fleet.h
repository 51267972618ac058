// A fleet of granitegap processes on loopback for tests and benchmarks. Each process has a stand-in kernel of
// its own; their membership traffic passes through a stand-in network that can inject faults.
//
//   ProcessFleet fleet(options);
//   fleet.start_all();
//   fleet.wait_until([&] { return fleet.has_converged(); }, 20s);
//   fleet.pause("n3");  fleet.partition({"n1"}, {"n2"});  fleet.kill("n4");
//
// Waits are for conditions on what the processes report, queried as `granitegap members` queries it.
//
// Ownership: the fleet owns its processes, kernels, network and files. No process outlives it, however it
// ends: the system kills a child whose parent dies, and the destructor kills and reaps what is left. Threads:
// kernels and network run on one internal thread. The methods may be called from one other thread at a time;
// `view` and what is built on it may be called from several.
// Errors: std::runtime_error, which says what could not be done.
#pragma once
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "membership_udp/status_client.h"
#include "standin/kernel.h"
#include "standin/network.h"

namespace granitegap::fleet {

// How the processes of a fleet are configured and started.
struct ProcessFleetOptions {
  std::string program;            // path of the granitegap executable
  std::size_t size = 3;           // processes: n0, n1, ...
  std::size_t zones = 3;          // spread over the processes in turn
  std::size_t seeds = 3;          // the first processes, listed as membership seeds
  std::uint64_t seed = 1;         // of the network's faults and the processes' own seeds
  std::string membership_fields;  // more fields of `membership`: "period: 200ms"
  std::string operator_file = "dependencies: []\ngathers: []\n";  // the operator file apart from `membership`
  bool with_membership = true;     // false: the operator file has no `membership`
  bool with_operator_file = true;  // false: none is given, as on the platform
  bool plain_membership = false;   // --plain-membership, the baseline of benchmarks
  Duration idempotency_window =
      std::chrono::milliseconds(8949);  // `repeat_window_ms` of the idempotent class
  bool secondary_paths = false;         // a second address over IPv6, which bypasses the stand-in network
  bool ipv6 = false;                    // primary addresses over IPv6 without the stand-in network
  std::string clock_shift_library;      // path of granitegap_clock_shift; needed by shift_clock()
  Duration run_cost = std::chrono::milliseconds(20);  // core time of a kernel run
  int cores = 2;                                      // of each stand-in kernel
  double warm_up_ms = 18000;           // `cold_ms`: how long a machine warms up, as the platform declares it
  double max_retry_after_ms = 1000;    // the longest backoff that clients are given
  std::size_t max_sockets = 256;       // the descriptor limit of each process
  bool admin_listener = false;         // an admin endpoint on a port of its own
  bool inherited_listener = false;     // the fleet keeps the listening socket and sets $TMPDIR per name
  bool create_shared_folder = true;    // false: with `inherited_listener`, that $TMPDIR does not exist
  std::uint16_t load_report_port = 0;  // where load reports go; 0: a port that nobody reads
};

// The outcome of one run of the granitegap command line.
struct CommandResult {
  int exit_status = 0;
  std::string output;  // stdout and stderr
};

// A running fleet; see the top of this file.
class ProcessFleet {
 public:
  using Names = std::set<std::string>;
  using Clock = std::chrono::steady_clock;
  // Identifies a fault rule of the stand-in network.
  using RuleId = standin::FaultInjector::RuleId;

  // Creates the folders, kernels and network; starts no process yet.
  explicit ProcessFleet(ProcessFleetOptions options);
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  // Starts every process that does not run.
  void start_all();
  // Starts one process; throws if it runs already.
  void start(const std::string& name);
  // Kills the process with SIGKILL and reaps it.
  void kill(const std::string& name);
  // Sends SIGTERM for a graceful shutdown and does not wait; see has_exited().
  void terminate(const std::string& name);
  // Whether the process has exited; reaps it if so.
  bool has_exited(const std::string& name);
  // The exit status of a reaped process, or the negative number of the signal that ended it.
  std::optional<int> exit_status(const std::string& name) const;
  // Stops the process with SIGSTOP and waits until it has stopped.
  void pause(const std::string& name);
  // Continues a paused process.
  void resume(const std::string& name);
  // Deletes the state that the process leaves on disk for its next start.
  void wipe_state(const std::string& name);
  // Shifts the wall clock that the process sees from its next start on.
  void shift_clock(const std::string& name, std::chrono::milliseconds by) { at(name).clock_shift = by; }
  // Rewrites the operator file with these processes as seeds and has it reloaded by SIGHUP. Empty
  // `membership_fields`: those of the options.
  void reload_operator_file(const std::string& name, const Names& seeds,
                            const std::string& membership_fields = {});
  // Starts another process with the same member name. Returns the fleet's own name for it: the name with "'"
  // appended. `kernel_boots`: false leaves its kernel's OPEN unanswered.
  std::string start_duplicate(const std::string& name, bool kernel_boots = true);
  // Sends one line to the admin endpoint. Returns the answer without its line end; empty on any error.
  std::string admin_command(const std::string& name, const std::string& line) const;
  // The admin port of the current run; 0 before it is logged.
  std::uint16_t admin_port(const std::string& name) const;

  // Blocks datagrams from `from` to `to`, or in both directions; an empty set stands for all processes.
  RuleId partition(Names from, Names to, bool both = false);
  // Adds any fault rule to the network.
  RuleId add_rule(standin::Rule rule);
  // Removes one rule.
  void heal(RuleId rule);
  // Removes all rules.
  void heal_all();
  // Sends a datagram to `to` with the source address of `from`.
  void inject(const std::string& from, const std::string& to, std::string bytes);
  // What the network has counted so far.
  standin::FaultInjector::Counters network_counters() const;

  // The membership view of a process; absent if it does not run or does not answer in time.
  std::optional<membership_udp::StatusReply> view(
      const std::string& name, std::chrono::milliseconds timeout = std::chrono::seconds(2)) const;
  // The status that `observer` reports for `member`; absent if either is unknown.
  std::optional<membership::Status> status_of(const std::string& observer, const std::string& member) const;
  // Whether every running process reports exactly the living processes as alive.
  bool has_converged() const;
  // Whether every other running process reports `member` with this status.
  bool all_report(const std::string& member, membership::Status status) const;
  // Polls the condition until it holds; false if it did not within the timeout.
  bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout) const;

  // All processes, started or not.
  Names names() const;
  // Processes that have neither exited nor been paused.
  Names running() const;
  // All that the process has logged, over all its runs.
  std::string log(const std::string& name) const;
  // How often `text` occurs in the log.
  std::size_t count_in_log(const std::string& name, const std::string& text) const;
  // Runs the granitegap command line with these arguments, such as "members ADDRESS".
  CommandResult run_command(const std::string& arguments) const;
  // The state and last log lines of every process, for the message of a failed wait.
  std::string describe() const;
  int pid(const std::string& name) const;
  // The address that the process itself binds for membership.
  membership::Address bound(const std::string& name) const;
  // The address that it advertises: a port of the stand-in network.
  membership::Address advertised(const std::string& name) const;
  // The serving port of the current run; 0 before it is logged.
  std::uint16_t port(const std::string& name) const;
  // The folder of the state that the process keeps on disk.
  std::filesystem::path state_folder(const std::string& name) const { return at(name).folder / "state"; }

  // How often its stand-in kernel has run each request. The kernel outlives the process.
  standin::Kernel::RunCounts kernel_runs(const std::string& name) const;
  // Has the kernel replay notices of an earlier start; see standin::Kernel.
  void replay_stale_notices(const std::string& name);
  // Sets the speed of its kernel's machine.
  void set_speed(const std::string& name, standin::Kernel::Speed speed);
  // Reboots the kernel and its machine: cold, and nothing runs.
  void reboot_kernel(const std::string& name);

 private:
  struct Process {
    std::string name, alias;  // its name in the fleet
    int pid = 0;
    bool paused = false;
    std::chrono::milliseconds clock_shift{};
    std::size_t lives = 0;
    std::optional<int> status;
    boost::asio::ip::udp::endpoint bound, advertised, second;
    std::unique_ptr<standin::Kernel> kernel;
    std::filesystem::path folder;
  };
  std::uint16_t port_after(const std::string& name, const std::string& words) const;
  Process& at(const std::string& name);
  const Process& at(const std::string& name) const;
  void prepare(const std::string& alias, const std::string& name, std::size_t number);
  void launch(Process& process);
  void declare(const Process& process, const std::vector<std::string>& seeds, const std::string& membership);
  bool reap(Process& process, bool wait);
  template <class F>
  auto on_io(F f) const;

  ProcessFleetOptions options_;
  std::filesystem::path folder_;
  mutable boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  boost::asio::ip::udp::socket list_;  // where reports to the list go; nobody reads them
  std::unique_ptr<standin::Network> network_;
  std::map<std::string, boost::asio::ip::tcp::acceptor> doors_;  // by the processes' name
  std::map<std::string, Process> processes_;
  std::vector<std::string> seeds_;
  std::thread thread_;
};

}  // namespace granitegap::fleet
