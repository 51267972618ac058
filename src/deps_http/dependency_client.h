// Carries calls out over HTTP/1.1 (Boost.Beast): keep-alive connections within bounds, one coroutine a call.
// What to call and when to give up is decided elsewhere; the bounds here are those of bytes and of silence.
#pragma once
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "edge/types.h"

namespace granitegap::deps_http {

class DependencyClient {
 public:
  using Report = std::function<void(deps::CallCompletion)>;
  // `max_connections`: descriptors, idle ones included; at the bound an idle one makes room, and with none a
  // call ends as unreachable. `report` is never called for a call that was abandoned.
  DependencyClient(const boost::asio::any_io_executor& executor, std::size_t max_connections, Report report);
  ~DependencyClient();
  void start(edge::DependencyCall call);
  // Closes its connection: what is half read can't carry another call.
  void cancel(deps::CallId id);
  void close_all();  // calls and idle connections; nothing is reported or started after it
  std::size_t open_calls() const { return calls_.size(); }
  std::size_t connections() const { return connections_; }
  // Closes connections idle for too long; forever, until close_all().
  boost::asio::awaitable<void> reap_idle_connections();

 private:
  struct Call;
  struct Idle;
  using Clock = std::chrono::steady_clock;
  boost::asio::awaitable<deps::CallCompletion> carry_out(std::shared_ptr<Call> call);
  bool make_room();
  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer look_;
  std::size_t most_;
  Report report_;
  std::map<deps::CallId, std::shared_ptr<Call>> calls_;
  std::map<std::pair<std::string, std::uint16_t>, std::list<Idle>> idle_;
  std::size_t connections_ = 0;
  bool closed_ = false;
};

}  // namespace granitegap::deps_http
