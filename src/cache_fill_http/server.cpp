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

constexpr std::size_t kMaxQuestion = 4096;
constexpr auto kIdle = 30s, kWrite = 2s;

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

}  // namespace

struct CacheFillServer::Waiting {
  explicit Waiting(const asio::any_io_executor& executor) : over(executor) {}
  asio::steady_timer over;
  std::optional<edge::CacheFillReply> answer;
};

CacheFillServer::CacheFillServer(const asio::any_io_executor& executor, const Tcp::endpoint& at, Logger& log)
    : executor_(executor), log_(log), door_(executor, at) {
  log_.line("fill: others ask for keys at port " + std::to_string(port()),
            {{"event", "fill_door"}, {"port", std::int64_t(port())}});
}

void CacheFillServer::start(membership::BootId boot_id, Hooks hooks) {
  boot_id_ = boot_id;
  hooks_ = std::move(hooks);
}

void CacheFillServer::close() {
  closed_ = true;
  error_code ignored;
  door_.close(ignored);
}

void CacheFillServer::reply(edge::CacheFillReply answer) {
  const auto it = waiting_.find(answer.tag);
  if (it == waiting_.end()) return;  // it waits no more
  it->second->answer = std::move(answer);
  it->second->over.cancel();
}

asio::awaitable<void> CacheFillServer::serve() {
  // In a name of its own: GCC 12 destroys a temporary in a co_await expression twice.
  const net::ConnectionHandler take = [this](Tcp::socket socket, const asio::ip::address& from) {
    // Guards against a fleet whose members each keep as many as they like: they ask below themselves.
    if (connections_ < kMaxConnections && hooks_.may_ask(from))
      asio::co_spawn(executor_, converse(std::move(socket)), asio::detached);
  };
  co_await net::accept_connections(door_, closed_, take);
}

asio::awaitable<void> CacheFillServer::converse(Tcp::socket socket) {
  const net::ScopedCount counted(connections_);
  error_code error;
  socket.set_option(Tcp::no_delay(true), error);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer(2 * kMaxQuestion);
  while (!closed_) {
    http::request_parser<http::empty_body> parser;
    parser.header_limit(kMaxQuestion);
    stream.expires_after(kIdle);
    co_await http::async_read(stream, buffer, parser, into(error));
    if (error) co_return;
    const auto& request = parser.get();
    http::response<http::string_body> response(http::status::bad_request, request.version());
    response.keep_alive(request.keep_alive());
    const auto target = request.target();
    auto question = deps::parse_request_target({target.data(), target.size()});
    if (question && question->target_boot_id != boot_id_) {
      response.result(http::status::gone);  // of an earlier life, or of whoever had this port then
    } else if (question) {
      const auto waiting = std::make_shared<Waiting>(executor_);
      const auto within = question->timeout;
      waiting->over.expires_after(within + within / 5);
      const auto tag = next_++;
      waiting_.emplace(tag, waiting);
      if (hooks_.ask({tag, std::move(*question)})) co_await waiting->over.async_wait(into(error));
      waiting_.erase(tag);
      if (const auto& a = waiting->answer; a && a->body) {
        response.result(http::status::ok);
        response.body() = deps::encode_fill_body(a->age, *a->body);
      } else {
        response.result(a ? http::status::not_found : http::status::service_unavailable);
      }
    }
    response.prepare_payload();
    stream.expires_after(kWrite);
    co_await http::async_write(stream, response, into(error));
    if (error || !response.keep_alive()) co_return;
  }
}

}  // namespace granitegap::cache_fill_http
