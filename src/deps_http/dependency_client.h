// Performs calls to dependencies over HTTP/1.1 (Boost.Beast), one coroutine per call, on keep-alive
// connections.
//
// deps::ScatterGather decides what to call and when to give up. This client limits the bytes, the time
// without progress and the number of connections. Redirects are never followed. The only call that is retried
// is one on a reused connection that the server had closed.
//
// All members run on the executor's thread. Errors are reported as outcomes of the calls (deps::CallOutcome).
#pragma once
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "edge/types.h"

namespace granitegap::deps_http {

class DependencyClient {
 public:
  using CompletionCallback = std::function<void(deps::CallCompletion)>;
  // `max_connections`: maximum number of connections, idle ones included. At the limit an idle connection is
  // closed for a new one; if there is none, the call ends as unreachable. `on_completed` is called once for
  // every call that is started and not cancelled.
  DependencyClient(const boost::asio::any_io_executor& executor, std::size_t max_connections,
                   CompletionCallback on_completed);
  DependencyClient(const DependencyClient&) = delete;
  DependencyClient& operator=(const DependencyClient&) = delete;
  ~DependencyClient();  // NOLINT(bugprone-exception-escape): as at its definition

  void start(edge::DependencyCall request);
  // Ends a call without reporting it and closes its connection, as a connection with a partly read response
  // cannot be reused. No effect on unknown ids.
  void cancel(deps::CallId id);
  // Cancels all calls and closes all connections. Calls started later are ignored.
  void close_all();

  // Returns the number of calls in progress.
  std::size_t open_calls() const { return calls_.size(); }
  // Returns the number of open connections, idle ones included.
  std::size_t connections() const { return connections_; }

  // Closes connections that exceed their idle timeout; runs until close_all().
  boost::asio::awaitable<void> reap_idle_connections();

 private:
  using Clock = std::chrono::steady_clock;
  using Address = std::pair<std::string, std::uint16_t>;
  struct Call;
  struct Exchange;
  struct IdleConnection;

  boost::asio::awaitable<deps::CallCompletion> execute(std::shared_ptr<Call> call);
  boost::asio::awaitable<void> perform(Call& call, deps::CallCompletion& completion);
  boost::asio::awaitable<bool> connect(Call& call);
  static boost::asio::awaitable<Exchange> exchange(Call& call);
  void complete(Call& call, Exchange& exchange, deps::CallCompletion& completion);
  bool take_idle_connection(Call& call);
  void drop_connection(Call& call);
  bool make_room_for_connection();

  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer reap_timer_;
  std::size_t max_connections_;
  CompletionCallback on_completed_;
  std::map<deps::CallId, std::shared_ptr<Call>> calls_;
  std::map<Address, std::list<IdleConnection>> idle_;  // most recently used at the back
  std::size_t connections_ = 0;
  bool is_closed_ = false;
};

}  // namespace granitegap::deps_http
