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

#include "fleet/process_fleet_options.h"
#include "membership_udp/status_client.h"
#include "standin/child_process.h"
#include "standin/kernel.h"
#include "standin/network.h"
#include "standin/temporary_directory.h"

namespace granitegap::fleet {

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
  void inject(const std::string& from, const std::string& to, const std::string& bytes);
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
  // With `hold`, its kernel is not up yet for the connections that come from now on, and leaves their OPEN
  // unanswered. Without, the kernel is up and answers.
  void hold_kernel_boot(const std::string& name, bool hold);
  // Reboots the kernel and its machine: cold, and nothing runs.
  void reboot_kernel(const std::string& name);

 private:
  struct Process {
    std::string name;   // the member name
    std::string alias;  // the fleet's name for it
    std::filesystem::path folder;
    boost::asio::ip::udp::endpoint bound, advertised, secondary;
    std::unique_ptr<standin::Kernel> kernel;
    std::chrono::milliseconds clock_shift{};
    std::size_t starts = 0;
    std::optional<standin::ChildProcess> child;  // of the newest start
    bool running() const { return child && !child->exited(); }
  };
  Process& at(const std::string& name);
  const Process& at(const std::string& name) const;
  void add_process(const std::string& alias, const std::string& name, std::size_t number);
  void launch(Process& process);
  void write_platform_config(const Process& process);
  void write_operator_file(const Process& process, const std::vector<std::string>& seeds,
                           const std::string& membership_fields);
  standin::ChildProcessOptions child_options(const Process& process);
  int inherited_listener(const Process& process);
  std::filesystem::path shared_folder(const Process& process) const;
  std::string describe(const std::string& alias, const Process& process) const;
  std::uint16_t logged_port(const std::string& name, const std::string& text) const;
  template <class F>
  auto on_io(F f) const;

  ProcessFleetOptions options_;
  std::size_t first_number_;  // of its processes' loopback addresses
  standin::TemporaryDirectory folder_{"granitegap_fleet_"};
  mutable boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  boost::asio::ip::udp::socket load_reports_;  // receives load reports; nobody reads them
  std::unique_ptr<standin::Network> network_;
  std::map<std::string, boost::asio::ip::tcp::acceptor> listeners_;  // inherited ones, by member name
  std::map<std::string, Process> processes_;                         // by alias
  std::vector<std::string> seeds_;                                   // advertised addresses
  std::thread thread_;
};

}  // namespace granitegap::fleet
