// A stand-in dependency on loopback sockets: HTTP/1.1 by a script. Its faults are its purpose; it is no
// server for anything else.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "standin/script.h"

namespace granitegap::standin {

class Dependency {
 public:
  using Clock = std::chrono::steady_clock;
  // One door for each port; 0: any. `start`: when its script begins.
  Dependency(boost::asio::io_context& io, Script script, std::uint64_t seed,
             const std::vector<std::uint16_t>& ports, Clock::time_point start);
  // Answers begin with a line: the milliseconds since the start, a space, the path that was asked.
  void tell_when();
  std::uint16_t port(std::size_t endpoint) const { return doors_[endpoint]->local_endpoint().port(); }
  struct Seen {
    std::vector<Duration> requests;  // when each came, from the start
    std::size_t open = 0, max_open = 0;
  };
  const Seen& seen() const { return *seen_; }

 private:
  struct State;
  boost::asio::awaitable<void> accept(std::size_t endpoint);
  static boost::asio::awaitable<void> serve(std::shared_ptr<State> state, boost::asio::ip::tcp::socket socket,
                                            int endpoint);
  boost::asio::io_context& io_;
  std::shared_ptr<State> state_;
  std::shared_ptr<Seen> seen_;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> doors_;
};

}  // namespace granitegap::standin
