// A fleet of real granitegap processes on loopback, each with a stand-in kernel, behind a stand-in network.
//
//   Fleet fleet(options);
//   fleet.start_all();
//   fleet.until([&] { return fleet.agree(); }, 20s);
//   fleet.pause("n3");  fleet.cut({"n1"}, {"n2"});  fleet.kill("n4");
//
// Waits are for conditions on what the processes say of themselves, asked as `granitegap members` asks. No
// process outlives the fleet, whatever ends it: each is told by the system of its parent's death, and the
// destructor kills what is left. Errors: std::runtime_error with what could not be done.
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
#include <utility>
#include <vector>

#include "membership_udp/status_client.h"
#include "standin/kernel.h"
#include "standin/network.h"

namespace granitegap::fleet {

struct Options {
  std::string program;  // path of granitegap
  std::size_t size = 3;
  std::size_t zones = 3, seeds = 3;
  std::uint64_t seed = 1;
  std::string membership;  // further fields of the record, such as "period: 200ms"
  std::string operator_file = "dependencies: []\ngathers: []\n";  // the rest of it
  bool in_fleet = true;                                           // false: declared without membership
  bool declared = true;                                      // false: no operator file, as on the platform
  bool plain = false;                                        // membership's plain policy, to measure against
  Duration repeat_window = std::chrono::milliseconds(8949);  // of keyed requests
  bool second_paths = false;                                 // IPv6 on loopback, past the stand-in network
  bool ipv6 = false;          // the first paths too, straight: the stand-in network stands in between nobody
  std::string clock_library;  // path of granitegap_clock_shift, for shift_clock()
  Duration run_cost = std::chrono::milliseconds(20);
  int cores = 2;           // of each stand-in kernel
  double cold_ms = 18000;  // the platform's word for how long a machine warms up
  double max_backoff_ms = 1000;
  std::size_t sockets = 256;    // descriptors of each process
  bool operators_door = false;  // a port of its own for operators
  bool shared_door = false;   // the clients' socket is kept here and inherited, and $TMPDIR is the name's own
  bool shared_folder = true;  // false: with `shared_door`, a $TMPDIR that isn't there
  std::uint16_t list_port = 0;  // where reports to the list go; 0: a port that nobody reads
};

class Fleet {
 public:
  using Names = std::set<std::string>;
  using Clock = std::chrono::steady_clock;
  explicit Fleet(Options options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void start_all();
  void start(const std::string& name);
  void kill(const std::string& name);  // SIGKILL, and reaped
  void end(const std::string& name);   // SIGTERM; ended() tells
  bool ended(const std::string& name);
  std::optional<int> status(const std::string& name) const;  // of one that ended: its exit status, or -signal
  void pause(const std::string& name);
  void resume(const std::string& name);
  // What its lives leave to each other on disk is gone.
  void wipe(const std::string& name);
  // The calendar clock of its next lives is off by so much.
  void shift_clock(const std::string& name, std::chrono::milliseconds by) { at(name).clock_shift = by; }
  // Its operator's file with these seeds and further fields, taken over by SIGHUP.
  void redeclare(const std::string& name, const Names& seeds, const std::string& membership = {});
  // One more process under a name that is taken; its own name here is the other's with "'".
  // `boots`: its kernel comes up.
  std::string start_twin(const std::string& name, bool boots = true);
  // One line to the operators' door; what it answers, without the line's end. Empty where it did not.
  std::string admin(const std::string& name, const std::string& line) const;
  std::uint16_t admin_port(const std::string& name) const;  // of this life; 0 before it has said so

  using Cut = standin::FaultInjector::RuleId;
  Cut cut(Names from, Names to, bool both = false);
  Cut rule(standin::Rule rule);
  void mend(Cut cut);
  void mend_all();
  void inject(const std::string& from, const std::string& to, std::string bytes);

  // What a process holds of the fleet; absent where it does not answer.
  std::optional<membership_udp::StatusReply> view(
      const std::string& name, std::chrono::milliseconds within = std::chrono::seconds(2)) const;
  std::optional<membership::Status> holds(const std::string& who, const std::string& of) const;
  // Every process that runs holds exactly those that run alive.
  bool agree() const;
  bool all_hold(const std::string& of, membership::Status status) const;
  // Asked again and again until it holds; false where it did not in time.
  bool until(const std::function<bool()>& holds, std::chrono::milliseconds most) const;

  Names names() const;
  Names running() const;  // neither ended nor paused
  std::string log(const std::string& name) const;
  std::size_t times(const std::string& name, const std::string& line) const;  // that its log has it
  // The program's own commands, as `members ADDRESS`: exit status and what it printed.
  std::pair<int, std::string> run(const std::string& words) const;
  std::string state()
      const;  // of every process, and the ends of their logs: for whoever looks why a wait was in vain
  int pid(const std::string& name) const;
  membership::Address bound(const std::string& name) const;
  membership::Address advertised(const std::string& name) const;
  std::uint16_t port(const std::string& name) const;  // where this life serves; 0 before it has said so
  // Its stand-in kernel, which outlives it: runs of each (class, body), and whether an earlier life's ends
  // are told.
  std::map<std::pair<std::string, std::string>, int> runs(const std::string& name) const;
  void tell_old_ends(const std::string& name);
  void set_pace(const std::string& name, standin::Kernel::Pace pace);
  void reboot_kernel(const std::string& name);  // with its machine: cold, and nothing runs
  std::filesystem::path folder(const std::string& name) const { return at(name).folder / "state"; }
  standin::FaultInjector::Seen seen() const;

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

  Options options_;
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
