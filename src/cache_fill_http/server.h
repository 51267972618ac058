// The listener where other members ask this one for the responses whose keys it owns (deps/cache_fill.h):
// HTTP/1.1, GET, one request at a time per connection, from members only. docs/recovery.md tells why the
// asking member treats it as a call like any other.
//
// A request is handed to the edge under a tag; the edge's reply comes back by reply(). Statuses: 200 with the
// response, 404 when there is none, 410 for an earlier process, 503 without a reply in time, 400 for what is
// no cache fill request.
//
// Limits: kMaxConnections, 4 KiB of request, 30 s of idleness, 2 s to write, and the timeout that a request
// names plus a fifth. All members run on the executor's thread.
#pragma once
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>

#include "edge/types.h"
#include "log/logger.h"

namespace granitegap::cache_fill_http {

class CacheFillServer {
 public:
  static constexpr std::size_t kMaxConnections = 32;

  // Called on the executor's thread.
  struct Hooks {
    std::function<bool(const boost::asio::ip::address&)> is_member;  // whether the address may connect
    std::function<bool(edge::CacheFillQuery)> submit;                // false: the edge has no capacity for it
  };

  // Throws boost::system::system_error when the address cannot be listened on.
  CacheFillServer(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& address,
                  Logger& log);
  // To be called before serve(). `boot_id`: of this process; requests for another are rejected.
  void start(membership::BootId boot_id, Hooks hooks);
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Accepts connections until close().
  boost::asio::awaitable<void> serve();
  // The edge's reply to a submitted query. No effect after its timeout.
  void reply(edge::CacheFillReply reply);
  void close();

 private:
  using Tcp = boost::asio::ip::tcp;
  struct PendingQuery;
  struct Result;

  boost::asio::awaitable<void> serve_connection(Tcp::socket socket);
  boost::asio::awaitable<Result> handle(const deps::CacheFillRequest& request);

  boost::asio::any_io_executor executor_;
  Logger& log_;
  Tcp::acceptor acceptor_;
  membership::BootId boot_id_{};
  Hooks hooks_;
  std::map<std::uint64_t, std::shared_ptr<PendingQuery>> pending_;  // by tag
  std::uint64_t next_tag_ = 1;
  std::size_t connections_ = 0;
  bool is_closed_ = false;
};

}  // namespace granitegap::cache_fill_http
