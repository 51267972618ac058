// A stand-in network between real processes: a UDP relay on loopback. It owns the address that each process
// advertises and treats what passes as its fault injector decides.
//
// A datagram that process P sends to Q's advertised address arrives here from P's own bound address, and
// leaves for Q's bound address from P's advertised one, so neither sees the relay.
//
// Ownership: the caller owns the io_context, which must outlive the network and run no handler after its end.
// Threads: that of the io_context. Errors: add() throws boost::system::system_error; a datagram that can't be
// sent, or comes from an unknown address, is lost.
#pragma once
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "standin/fault_injector.h"

namespace granitegap::standin {

class Network {
 public:
  using Udp = boost::asio::ip::udp;
  Network(boost::asio::io_context& io, std::uint64_t seed);
  // Adds a process that is bound to `bound`; returns the address that it is to advertise.
  Udp::endpoint add(const std::string& name, const Udp::endpoint& bound);
  FaultInjector& fault_injector() { return fault_injector_; }
  // Since the network's creation; the time of its rules.
  Duration elapsed() const;
  // Sends a datagram to `to` with the source address of `from`, past the fault injector.
  void inject(const std::string& from, const std::string& to, const std::string& bytes);

 private:
  // One process: where it is bound, and the socket at its advertised address.
  struct Port {
    std::string name;
    Udp::endpoint bound;
    Udp::socket socket;
    Udp::endpoint sender;  // of the datagram in `buffer`
    std::array<char, 2048> buffer{};
  };
  boost::asio::awaitable<void> receive(Port& to);
  void relay(const std::string& from, Port& to, std::string bytes);
  void corrupt(std::string& bytes);
  void send(const std::string& from, Port& to, const std::string& bytes);
  void send_later(Duration delay, const std::string& from, Port& to, const std::string& bytes);

  boost::asio::io_context& io_;
  FaultInjector fault_injector_;
  std::map<std::string, std::unique_ptr<Port>> ports_;
  std::map<Udp::endpoint, std::string> names_;  // by bound address
  std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  std::mt19937_64 corruption_random_;
};

}  // namespace granitegap::standin
