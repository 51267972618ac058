#include "admin/server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "net/accept_loop.h"

namespace granitegap::admin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kCommandTimeout = std::chrono::seconds(2);  // until the complete line has arrived
constexpr auto kReplyTimeout = std::chrono::seconds(1);    // until the caller has read the reply
constexpr std::size_t kChunkBytes = 512;

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

}  // namespace

// The socket of one caller and its deadline.
class AdminServer::Connection {
 public:
  explicit Connection(tcp::socket s) : socket(std::move(s)), deadline_(socket.get_executor()) {}

  // Closes the socket after `timeout`, whatever operation is in progress. Replaces an earlier deadline.
  static void close_after(const std::shared_ptr<Connection>& connection, std::chrono::milliseconds timeout) {
    connection->deadline_.expires_after(timeout);
    connection->deadline_.async_wait([weak = std::weak_ptr(connection)](error_code cancelled) {
      const auto alive = weak.lock();
      if (alive && !cancelled) alive->close();
    });
  }

  void close() {
    error_code ignored;
    socket.close(ignored);
  }

  tcp::socket socket;

 private:
  asio::steady_timer deadline_;
};

AdminServer::AdminServer(const asio::any_io_executor& executor, const tcp::endpoint& at,
                         CommandHandler handler, Logger& log)
    : acceptor_(executor), handler_(std::move(handler)), log_(log) {
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
  // A named variable: GCC 12 destroys a temporary in a co_await expression twice.
  const net::ConnectionHandler on_connection = [this](tcp::socket socket, const asio::ip::address&) {
    accept(std::move(socket));
  };
  co_await net::accept_connections(acceptor_, closed_, on_connection);
}

void AdminServer::accept(tcp::socket socket) {
  if (connections_.size() >= kMaxConnections) {
    connections_.front()->close();
    connections_.pop_front();
  }
  auto connection = std::make_shared<Connection>(std::move(socket));
  connections_.push_back(connection);
  asio::co_spawn(acceptor_.get_executor(), serve_connection(connection),
                 [this, connection](const std::exception_ptr&) { connections_.remove(connection); });
}

asio::awaitable<void> AdminServer::serve_connection(std::shared_ptr<Connection> connection) {
  auto& socket = connection->socket;
  Connection::close_after(connection, kCommandTimeout);
  CommandReader reader;
  std::optional<CommandResult> result;
  std::array<char, kChunkBytes> chunk;
  error_code error;
  while (!result) {
    const auto size = co_await socket.async_read_some(asio::buffer(chunk), into(error));
    if (error) co_return;  // the connection ended before the line was complete
    result = reader.add({chunk.data(), size});
  }
  Connection::close_after(connection, kReplyTimeout);
  const auto line = encode(reply_to(*result));
  co_await asio::async_write(socket, asio::buffer(line), into(error));
  if (error) co_return;
  socket.shutdown(tcp::socket::shutdown_send, error);
  // Reads until the caller closes the connection: closing a socket with unread bytes sends a reset, which
  // could discard the reply.
  while (!error) co_await socket.async_read_some(asio::buffer(chunk), into(error));
}

Reply AdminServer::reply_to(const CommandResult& result) {
  if (const auto* command = std::get_if<Command>(&result)) return handler_(*command);
  const std::string why = error_text(std::get<CommandError>(result));
  log_.line("admin: command rejected: " + why, {{"event", "admin_bad_call"}, {"why", why}});
  return {false, why};
}

}  // namespace granitegap::admin
