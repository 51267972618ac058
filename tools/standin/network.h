// A stand-in network between real processes: a UDP relay on loopback that owns the address which each of them
// advertises, and treats what passes as the fault_injector says. It logs nothing by itself; FaultInjector
// counts.
//
// A datagram that process P sends to Q's advertised address comes in here from P's own bound address, and
// goes out to Q's bound one from P's advertised one: neither sees that anything stands between.
#pragma once
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "standin/fault_injector.h"

namespace granitegap::standin {

class Network {
 public:
  using Udp = boost::asio::ip::udp;
  Network(boost::asio::io_context& io, std::uint64_t seed);
  // `bound`: where the process itself listens. Returns the address that it is to advertise.
  Udp::endpoint add(const std::string& name, const Udp::endpoint& bound);
  FaultInjector& fault_injector() { return fault_injector_; }
  Duration elapsed() const;
  // Datagrams from an address that belongs to nobody: left unsent.
  std::uint64_t foreign() const { return foreign_; }
  // Sends bytes to `to` as though they came from `from`: noise, and datagrams of another time.
  void inject(const std::string& from, const std::string& to, std::string bytes);
  // Sees every datagram that comes in, before the fault_injector.
  std::function<void(const std::string& from, const std::string& to, const std::string& bytes)> tap;

 private:
  struct Place {
    std::string name;
    Udp::endpoint bound;
    Udp::socket socket;
    Udp::endpoint from;
    std::array<char, 2048> buffer{};
  };
  boost::asio::awaitable<void> receive(Place& place);
  void pass(const std::string& from, Place& to, std::string bytes);
  void out(const std::string& from, Place& to, const std::string& bytes);
  boost::asio::io_context& io_;
  FaultInjector fault_injector_;
  std::map<std::string, std::unique_ptr<Place>> places_;
  std::map<Udp::endpoint, std::string> bound_;
  std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
  std::mt19937_64 damage_;
  std::uint64_t foreign_ = 0;
};

}  // namespace granitegap::standin
