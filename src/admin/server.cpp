#include "admin/server.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "net/accept_loop.h"

namespace granitegap::admin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kWholeLine = std::chrono::seconds(2);  // a call that takes longer is no call
constexpr auto kReadBack = std::chrono::seconds(1);   // for a caller to read its answer

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

}  // namespace

struct AdminServer::Connection {
  explicit Connection(tcp::socket s) : socket(std::move(s)), limit(socket.get_executor()) {}
  // At `span` from now the connection ends, whatever is under way.
  static void end_after(const std::shared_ptr<Connection>& self, std::chrono::milliseconds span) {
    self->limit.expires_after(span);
    self->limit.async_wait([weak = std::weak_ptr(self)](error_code cancelled) {
      const auto c = weak.lock();
      error_code ignored;
      if (c && !cancelled) c->socket.close(ignored);
    });
  }
  tcp::socket socket;
  asio::steady_timer limit;
  bool answered = false;
};

AdminServer::AdminServer(const asio::any_io_executor& executor, const tcp::endpoint& at, Answer answer,
                         Logger& log)
    : acceptor_(executor), answer_(std::move(answer)), log_(log) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
}

void AdminServer::close() {
  closed_ = true;
  error_code ignored;
  acceptor_.close(ignored);
}

asio::awaitable<void> AdminServer::serve() {
  co_await net::accept_connections(acceptor_, closed_, [this](tcp::socket socket, const asio::ip::address&) {
    // Guards against callers that say nothing and stay: the oldest of them makes room.
    if (open_.size() >= kMaxConnections) {
      error_code ignored;
      open_.front()->socket.close(ignored);
      open_.pop_front();
    }
    auto connection = std::make_shared<Connection>(std::move(socket));
    open_.push_back(connection);
    asio::co_spawn(acceptor_.get_executor(), talk(connection),
                   [this, connection](const std::exception_ptr&) { open_.remove(connection); });
  });
}

asio::awaitable<void> AdminServer::talk(std::shared_ptr<Connection> with) {
  auto& socket = with->socket;
  Connection::end_after(with, kWholeLine);
  Reader reader;
  std::optional<std::variant<Call, BadCall>> call;
  std::array<char, 512> chunk;
  error_code error;
  while (!call) {
    const auto size = co_await socket.async_read_some(asio::buffer(chunk), into(error));
    if (error) co_return;  // gone in the middle of a line: no call
    call = reader.add({chunk.data(), size});
  }
  Connection::end_after(with, kReadBack);
  Reply reply;
  if (const auto* bad = std::get_if<BadCall>(&*call)) {
    reply = {false, bad->why};
    log_.line("operators' door: bad call: " + bad->why, {{"event", "admin_bad_call"}, {"why", bad->why}});
  } else {
    reply = answer_(std::get<Call>(*call));
  }
  const auto line = encode(reply);
  co_await asio::async_write(socket, asio::buffer(line), into(error));
  if (error) co_return;
  socket.shutdown(tcp::socket::shutdown_send, error);
  // Guards against a reset over bytes that came after the line, which would take the answer with it.
  while (!error) co_await socket.async_read_some(asio::buffer(chunk), into(error));
}

}  // namespace granitegap::admin
