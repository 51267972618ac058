// A stand-in dependency on loopback sockets: an HTTP/1.1 server that answers by a script, faults included. It
// serves nothing else.
//
// Ownership: the caller owns the io_context, which must outlive the dependency and run no accept after its
// end; connections keep what they need alive. Threads: that of the io_context. Errors: the constructor throws
// boost::system::system_error if a port can't be had.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

#include "standin/script.h"

namespace granitegap::standin {

class Dependency {
 public:
  using Clock = std::chrono::steady_clock;
  // What the dependency has received.
  struct Counters {
    std::vector<Duration> arrivals;      // of requests, since the script's start
    std::size_t open = 0, max_open = 0;  // requests in flight, until they are answered
    // Requests in flight whose client still waits: until the answer, or until it closed its connection.
    std::size_t awaited = 0, max_awaited = 0;
  };
  // Called on the dependency's thread with each change of Counters::awaited.
  using AwaitedCallback = std::function<void(std::size_t awaited)>;

  // Listens on each port, an endpoint of the script each; 0: any free port. `start`: when the script begins.
  Dependency(boost::asio::io_context& io, Script script, std::uint64_t seed,
             const std::vector<std::uint16_t>& ports, Clock::time_point start);
  // From now on, bodies begin with a line: milliseconds since the script's start, a space, the request's
  // path.
  void prefix_bodies_with_arrival();
  void on_awaited_changed(AwaitedCallback callback);
  std::uint16_t port(std::size_t endpoint) const { return listeners_[endpoint]->local_endpoint().port(); }
  const Counters& counters() const;

 private:
  struct State;
  class AwaitedResponse;
  class Connection;
  boost::asio::awaitable<void> accept(std::size_t endpoint);

  boost::asio::io_context& io_;
  std::shared_ptr<State> state_;  // shared with the connections
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> listeners_;
};

}  // namespace granitegap::standin
