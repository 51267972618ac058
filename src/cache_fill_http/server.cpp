#include "cache_fill_http/server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "net/accept_loop.h"

namespace granitegap::cache_fill_http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using beast::error_code;
using namespace std::chrono_literals;

constexpr std::size_t kMaxRequestBytes = 4096;
constexpr auto kIdleTimeout = 30s, kWriteTimeout = 2s;
constexpr int kTimeoutMarginDivisor = 5;  // a query may exceed its timeout by a fifth

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

}  // namespace

// A query that was submitted to the edge and has no reply yet.
struct CacheFillServer::PendingQuery {
  explicit PendingQuery(const asio::any_io_executor& executor) : timer(executor) {}
  asio::steady_timer timer;  // cancelled by the reply
  std::optional<edge::CacheFillReply> reply;
};

// The answer to one HTTP request.
struct CacheFillServer::Result {
  http::status status = http::status::bad_request;
  std::string body;
};

CacheFillServer::CacheFillServer(const asio::any_io_executor& executor, const Tcp::endpoint& address,
                                 Logger& log)
    : executor_(executor), log_(log), acceptor_(executor, address) {
  log_.line("cache fill: listening for requests of other members on port " + std::to_string(port()),
            {{"event", "fill_door"}, {"port", std::int64_t(port())}});
}

void CacheFillServer::start(membership::BootId boot_id, Hooks hooks) {
  boot_id_ = boot_id;
  hooks_ = std::move(hooks);
}

void CacheFillServer::close() {
  is_closed_ = true;
  error_code ignored;
  acceptor_.close(ignored);
}

void CacheFillServer::reply(edge::CacheFillReply reply) {
  const auto found = pending_.find(reply.tag);
  if (found == pending_.end()) return;
  auto& query = *found->second;
  query.reply = std::move(reply);
  query.timer.cancel();
}

asio::awaitable<void> CacheFillServer::serve() {
  // A named variable: GCC 12 destroys a temporary in a co_await expression twice.
  const net::ConnectionHandler accept = [this](Tcp::socket socket, const asio::ip::address& from) {
    // At the connection limit the connection is closed, and the member calls the dependency itself.
    if (connections_ < kMaxConnections && hooks_.is_member(from))
      asio::co_spawn(executor_, serve_connection(std::move(socket)), asio::detached);
  };
  co_await net::accept_connections(acceptor_, is_closed_, accept);
}

asio::awaitable<void> CacheFillServer::serve_connection(Tcp::socket socket) {
  const net::ScopedCount counted(connections_);
  error_code error;
  socket.set_option(Tcp::no_delay(true), error);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer(2 * kMaxRequestBytes);
  while (!is_closed_) {
    http::request_parser<http::empty_body> parser;
    parser.header_limit(kMaxRequestBytes);
    stream.expires_after(kIdleTimeout);
    co_await http::async_read(stream, buffer, parser, into(error));
    if (error) co_return;

    const auto& request = parser.get();
    const auto target = request.target();
    const auto query = deps::parse_request_target({target.data(), target.size()});
    Result result;
    if (query) result = co_await handle(*query);

    http::response<http::string_body> response(result.status, request.version());
    response.keep_alive(request.keep_alive());
    response.body() = std::move(result.body);
    response.prepare_payload();
    stream.expires_after(kWriteTimeout);
    co_await http::async_write(stream, response, into(error));
    if (error || !response.keep_alive()) co_return;
  }
}

asio::awaitable<CacheFillServer::Result> CacheFillServer::handle(const deps::CacheFillRequest& request) {
  Result result;
  // The request is for a previous process of this member, or for another process that used this port.
  if (request.target_boot_id != boot_id_) {
    result.status = http::status::gone;
    co_return result;
  }
  const auto query = std::make_shared<PendingQuery>(executor_);
  query->timer.expires_after(request.timeout + request.timeout / kTimeoutMarginDivisor);
  const auto tag = next_tag_;
  ++next_tag_;
  pending_.emplace(tag, query);
  error_code ignored;
  if (hooks_.submit({tag, request})) co_await query->timer.async_wait(into(ignored));
  pending_.erase(tag);

  const auto& reply = query->reply;
  if (!reply) {
    result.status = http::status::service_unavailable;
  } else if (!reply->body) {
    result.status = http::status::not_found;
  } else {
    result.status = http::status::ok;
    result.body = deps::encode_fill_body(reply->age, *reply->body);
  }
  co_return result;
}

}  // namespace granitegap::cache_fill_http
