// A stand-in kernel on a loopback socket: all requests that run share its cores evenly. It outlives the
// server that it works for: runs go on without a connection, each start of the server numbers its notices
// from 1, and the kernel counts all that it ever ran.
//
// One server at a time is connected; a new connection replaces the one before once that has ended.
//
// Ownership: the caller owns the io_context, which must outlive the kernel and run no handler after its end.
// Threads: that of the io_context. Errors: the constructor throws boost::system::system_error; a lost
// connection is none.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "granitegap/policy.h"

namespace granitegap::standin {

class Kernel {
 public:
  // The core time of a run.
  using Cost = std::function<Duration(const std::string& cls, const std::string& body)>;
  // What is run: requests with the same class and body are the same.
  struct RunKey {
    std::string cls, body;
    auto operator<=>(const RunKey&) const = default;
  };
  using RunCounts = std::map<RunKey, int>;
  // How fast a machine is over time and under load.
  struct Speed {
    double initial = 1;                 // share of its full speed at its boot
    Duration warm_up{};                 // until full speed, linearly
    double contention_threshold = 1e9;  // runs per core beyond which all runs together get no faster
  };

  // Listens on a free port.
  Kernel(boost::asio::io_context& io, int cores, Cost cost);
  std::uint16_t port() const { return listener_.local_endpoint().port(); }
  // How often each request has run; more than once is a double run of an idempotent one.
  const RunCounts& runs() const { return run_counts_; }
  void set_speed(Speed speed) { speed_ = speed; }
  // Reboots the machine: its runs are lost, its cores are cold, the connection breaks.
  void reboot();
  // With `hold`, leaves OPEN unanswered, like a machine that is not up yet. Without, answers the OPEN that
  // waits.
  void hold_boot(bool hold);
  // On new connections, sends notices that an earlier start of the server did not get, with its numbers and
  // before BOOTED.
  void replay_stale_notices() { replays_stale_notices_ = true; }

 private:
  using Clock = std::chrono::steady_clock;
  struct Run {
    double remaining_us = 0;
    Clock::time_point began;
  };
  struct Notice {
    std::uint64_t number = 0;
    std::string text;
  };
  // A line of the server's: a verb and its words.
  struct Command {
    std::string verb, argument;
    std::string cls;            // of SCHED
    std::size_t body_size = 0;  // of SCHED
  };

  boost::asio::awaitable<void> accept_connections();
  boost::asio::awaitable<void> serve_connection();
  boost::asio::awaitable<void> write_output();
  boost::asio::awaitable<void> advance_runs();
  static Command parse(const std::string& line);
  void handle(const Command& command);
  void handle_open(std::uint64_t last_notice);
  void open(std::uint64_t last_notice);
  void begin_new_start();
  void preempt(const std::string& request_id);
  void reschedule(const std::string& request_id);
  void schedule(const Command& command, const std::string& body);
  void send(const std::string& text);
  void notify(const std::string& request_id, const std::string& result);
  std::int64_t ms_since_boot() const;
  double speed_at(Clock::time_point now) const;
  void advance(Clock::time_point from, Clock::time_point to);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor listener_;
  boost::asio::ip::tcp::socket connection_;
  boost::asio::steady_timer tick_;
  bool connected_ = false;
  std::string output_;  // not yet written
  bool writing_ = false;

  int cores_;
  Cost cost_;
  Speed speed_;
  std::optional<Clock::time_point> booted_at_;  // absent: long ago
  bool boot_held_ = false;
  std::optional<std::uint64_t> held_open_;  // the number in the connection's OPEN that waits for the boot
  std::map<std::string, Run> running_, preempted_;  // by request id
  RunCounts run_counts_;
  double core_use_ = 0;  // a moving mean

  std::vector<Notice> notices_;           // of this start of the server
  std::uint64_t last_number_ = 0;         // of them
  std::set<std::string> stale_requests_;  // scheduled by an earlier start
  bool replays_stale_notices_ = false;
};

}  // namespace granitegap::standin
