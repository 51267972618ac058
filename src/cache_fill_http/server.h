// The listener on which other members request the responses whose keys this member owns (deps/cache_fill.h):
// HTTP/1.1, GET, one request at a time per connection, from members only. docs/recovery.md explains why the
// requesting member treats a cache fill like any other call.
//
// A request is submitted to the edge under a tag; the edge returns its reply with reply(). Statuses: 200 with
// the response, 404 when there is none, 410 for a request to a previous process, 503 when the edge has no
// capacity or does not reply in time, 400 for a target that is not a cache fill request.
//
// Limits: kMaxConnections, 4 KiB per request, 30 s idle time, 2 s to write a response, and for the edge's
// reply the timeout in the request plus a fifth of it. All members run on the executor's thread.
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
    std::function<bool(const boost::asio::ip::address&)> is_member;  // true if the address may connect
    std::function<bool(edge::CacheFillQuery)> submit;                // false: the edge has no capacity for it
  };

  // Throws boost::system::system_error when the server cannot listen on the address.
  CacheFillServer(const boost::asio::any_io_executor& executor, const boost::asio::ip::tcp::endpoint& address,
                  Logger& log);
  // Must be called before serve(). `boot_id`: that of this process; requests for another are rejected.
  void start(membership::BootId boot_id, Hooks hooks);
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // Accepts connections until close().
  boost::asio::awaitable<void> serve();
  // Answers a submitted query with the edge's reply. No effect after the query's timeout.
  void reply(edge::CacheFillReply reply);
  // Stops accepting connections. Open connections end after the next response or when they time out.
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
