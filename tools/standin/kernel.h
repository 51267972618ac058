// A stand-in kernel on a loopback socket: cores shared evenly by all that runs. It outlives the program that
// it works for: runs go on without a link, a new start numbers notices from 1, and it keeps count of what it
// ran.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
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
  // `cost`: core time of a run, by its class and body.
  using Cost = std::function<Duration(const std::string& cls, const std::string& body)>;
  Kernel(boost::asio::io_context& io, int cores, Cost cost);
  std::uint16_t port() const { return door_.local_endpoint().port(); }
  // Runs of each (class, body): more than one of a keyed request is a double run.
  const std::map<std::pair<std::string, std::string>, int>& runs() const { return runs_; }
  // How a machine is slow: `cold_from` of its speed at its boot, evenly up to all of it within `warm_up`; and
  // past `crowd` runs a core each further one costs the others as much as it gets.
  struct Pace {
    double cold_from = 1;
    Duration warm_up{};
    double crowd = 1e9;
  };
  void set_pace(Pace pace) { pace_ = pace; }
  // The machine starts anew: what ran is gone, the cores are cold.
  void reboot();
  // OPEN stays unanswered, as where a machine never comes up.
  void hold_boot(bool hold) { held_ = hold; }
  // On the next links: the ends of an earlier life's runs, before BOOTED and under its high numbers.
  void tell_old_ends() { tells_old_ = true; }

 private:
  struct Run {
    double left_us = 0;
    std::chrono::steady_clock::time_point since;
  };
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve();
  boost::asio::awaitable<void> work();
  void say(std::string text);
  void notice(const std::string& rid, const std::string& rest);
  void open(std::uint64_t last);
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor door_;
  boost::asio::ip::tcp::socket link_;
  boost::asio::steady_timer tick_;
  int cores_;
  Cost cost_;
  std::map<std::string, Run> running_, paused_;
  std::map<std::pair<std::string, std::string>, int> runs_;
  std::string out_;
  bool writing_ = false;
  std::uint64_t number_ = 0;
  double speed(std::chrono::steady_clock::time_point now) const;
  Pace pace_;
  std::optional<std::chrono::steady_clock::time_point> booted_;  // none: long ago
  bool tells_old_ = false, held_ = false;
  std::set<std::string> old_;                                   // begun for an earlier start of the program
  std::vector<std::pair<std::uint64_t, std::string>> history_;  // notices of this start
  bool linked_ = false;
  double use_ = 0;
};

}  // namespace granitegap::standin
