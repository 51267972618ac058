#include "net/listener.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

namespace granitegap::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

constexpr int kBacklog = 4096;
// For the standard streams, the kernel link, the announce service and the event loop.
constexpr std::size_t kReservedDescriptors = 32;
constexpr auto kAcceptRetryDelay = 10ms;
constexpr auto kTimeoutCheckInterval = 100ms;
// A connection used within this time is not evicted: its client may not have read its answer yet.
constexpr auto kRecentUse = 100ms;

// Eviction preference of a connection. A connection of a higher rank is evicted before one of a lower rank.
enum class EvictionRank : std::uint8_t {
  never,            // recently used, awaiting an answer, or with unread bytes that may be a request
  message_pending,  // a partial message was received, or a health check awaits its answer
  idle,
  silent,     // no message was ever received
  lingering,  // everything is sent; only waiting for the client to close its side
};

EvictionRank eviction_rank(const ClientConnection& connection, ClientConnection::Clock::time_point now) {
  if (connection.last_active() >= now - kRecentUse) return EvictionRank::never;
  if (connection.is_lingering()) return EvictionRank::lingering;
  if (!connection.is_idle() || connection.has_unread_bytes()) return EvictionRank::never;
  if (connection.has_partial_message() || connection.has_pending_health_check())
    return EvictionRank::message_pending;
  return connection.received_message() ? EvictionRank::idle : EvictionRank::silent;
}

}  // namespace

Listener::Listener(const asio::any_io_executor& executor, const tcp::endpoint& address,
                   std::size_t max_descriptors, const edge::NameRegistry& names, Mailbox<edge::Input>& inputs,
                   Logger& log, FileDescriptor inherited)
    : executor_(executor),
      acceptor_(executor),
      accept_retry_(executor),
      timeout_check_(executor),
      max_connections_(std::max<std::size_t>(max_descriptors, 2 * kReservedDescriptors) -
                       kReservedDescriptors),
      names_(names),
      inputs_(inputs),
      log_(log) {
  if (inherited) {
    acceptor_.assign(address.protocol(), inherited.release());
    acceptor_.non_blocking(true);
    return;
  }
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(kBacklog);
  acceptor_.non_blocking(true);
}

asio::awaitable<void> Listener::run() {
  while (!draining_) {
    error_code error;
    auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      admit(std::move(socket));
      continue;
    }
    if (draining_) break;
    log_.line("cannot accept a connection, retrying in " + std::to_string(kAcceptRetryDelay.count()) +
                  " ms: " + error.message(),
              {{"event", "accept_failed"}, {"why", error.message()}});
    if (error == asio::error::no_descriptors) evict_connection();
    accept_retry_.expires_after(kAcceptRetryDelay);
    co_await accept_retry_.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

// Limits the number of connections, so that the process does not run out of file descriptors. If no
// connection can be evicted, the new one is closed immediately: its client fails over sooner than if the
// connection waited in the backlog.
void Listener::admit(tcp::socket socket) {
  if (connections_.size() < max_connections_ || evict_connection())
    return start_connection(std::move(socket));
  log_.line("new connection closed: all " + std::to_string(max_connections_) +
                " connections are in use and none can be evicted",
            {{"event", "accept_full"}});
}

asio::awaitable<void> Listener::enforce_timeouts() {
  for (;;) {
    timeout_check_.expires_after(kTimeoutCheckInterval);
    error_code woken;
    co_await timeout_check_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    const auto now = ClientConnection::Clock::now();
    for (const auto& [id, connection] : connections_) connection->enforce_timeouts(now);
  }
}

void Listener::start_connection(tcp::socket socket) {
  const edge::PeerId id{next_id_++};
  auto connection =
      std::make_shared<ClientConnection>(std::move(socket), id, names_, inputs_, load_hint_, log_);
  connections_.emplace(id, connection);
  asio::co_spawn(
      executor_, [connection]() -> asio::awaitable<void> { co_await connection->run(); },
      [this, id](const std::exception_ptr&) { connections_.erase(id); });
  // The connection was accepted before the listening socket closed, but is started after that.
  if (draining_) connection->deliver(GoAway{});
}

// Closes the least recently used connection of the highest eviction rank, unless enough connections are
// already closed and about to be removed. Returns whether there is room for a new connection.
bool Listener::evict_connection() {
  const auto now = ClientConnection::Clock::now();
  std::shared_ptr<ClientConnection> candidate;
  auto best = EvictionRank::never;
  std::size_t open_connections = 0;
  for (const auto& [id, connection] : connections_) {
    if (!connection->is_open()) continue;
    ++open_connections;
    const auto rank = eviction_rank(*connection, now);
    if (rank == EvictionRank::never || rank < best) continue;
    if (rank > best || connection->last_active() < candidate->last_active()) {
      best = rank;
      candidate = connection;
    }
  }
  if (open_connections < max_connections_) return true;
  if (candidate) candidate->close();
  return candidate != nullptr;
}

void Listener::deliver(const edge::ReplyAddress& to, OutgoingMessage message) {
  if (const auto* answer = std::get_if<edge::Response>(&message)) load_hint_ = answer->credit_hint;
  const auto connection = connections_.find(to.peer);
  if (connection != connections_.end()) connection->second->deliver(std::move(message));
}

void Listener::close_idle_connections(Duration idle_for) {
  const auto idle_since = ClientConnection::Clock::now() - idle_for;
  for (const auto& [id, connection] : connections_) {
    const bool can_close = connection->is_idle() && connection->has_read_everything();
    if (can_close && connection->last_active() < idle_since) connection->close();
  }
}

void Listener::start_draining(BacklogPolicy backlog) {
  if (draining_) return;
  // The backlog is accepted before GOAWAY is sent: a connection with a GOAWAY in flight counts as in use and
  // could not be evicted for a connection from the backlog.
  if (backlog == BacklogPolicy::accept) accept_backlog();
  draining_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& [id, connection] : connections_) connection->deliver(GoAway{});
}

// Closing the socket would reset the connections in its backlog and lose their requests.
void Listener::accept_backlog() {
  error_code error;
  while (!error) {
    tcp::socket socket(executor_);
    acceptor_.accept(socket, error);
    if (!error) admit(std::move(socket));
  }
}

bool Listener::is_quiescent() const {
  return std::all_of(connections_.begin(), connections_.end(), [](const auto& entry) {
    return entry.second->is_idle() && entry.second->has_read_everything();
  });
}

void Listener::close_all() {
  for (const auto& [id, connection] : connections_) connection->close();
}

}  // namespace granitegap::net
