#include "net/listener.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace granitegap::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

constexpr int kBacklog = 4096;
constexpr std::size_t kOwnDescriptors = 32;  // standard streams, kernel, announce, the loop's own
constexpr auto kAcceptRetry = 10ms;
constexpr auto kLook = 100ms;
constexpr auto kFresh = 100ms;  // since its last use: it may not have been heard, or not have read, yet

}  // namespace

Listener::Listener(const asio::any_io_executor& executor, const tcp::endpoint& at, std::size_t sockets,
                   const edge::NameRegistry& catalog, Mailbox<edge::Input>& module, Logger& log,
                   std::optional<int> inherited)
    : executor_(executor),
      acceptor_(executor),
      retry_(executor),
      look_(executor),
      max_peers_(std::max<std::size_t>(sockets, 2 * kOwnDescriptors) - kOwnDescriptors),
      catalog_(catalog),
      module_(module),
      log_(log) {
  if (inherited) {
    acceptor_.assign(at.protocol(), *inherited);
    acceptor_.non_blocking(true);
    return;
  }
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(kBacklog);
  acceptor_.non_blocking(true);
}

asio::awaitable<void> Listener::run() {
  while (!door_closed_) {
    error_code error;
    auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      admit(std::move(socket));
      continue;
    }
    if (door_closed_) break;
    log_.line("accept: " + error.message(), {{"event", "accept_failed"}, {"why", error.message()}});
    if (error == asio::error::no_descriptors) evict_connection();
    retry_.expires_after(kAcceptRetry);
    co_await retry_.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

// Guards against running out of descriptors. With no connection to spare the new one is closed at once: its
// client goes elsewhere sooner than from a backlog that waits.
void Listener::admit(tcp::socket socket) {
  if (peers_.size() < max_peers_ || evict_connection()) return start_connection(std::move(socket));
  log_.line("accept: closed at once, every connection is in use", {{"event", "accept_full"}});
}

asio::awaitable<void> Listener::enforce_timeouts() {
  for (;;) {
    look_.expires_after(kLook);
    error_code woken;
    co_await look_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    const auto now = ClientConnection::Clock::now();
    for (const auto& [id, peer] : peers_) peer->enforce_timeouts(now);
  }
}

void Listener::start_connection(tcp::socket socket) {
  const edge::PeerId id{next_peer_++};
  auto peer = std::make_shared<ClientConnection>(std::move(socket), id, catalog_, module_, hint_, log_);
  peers_.emplace(id, peer);
  asio::co_spawn(
      executor_, [peer]() -> asio::awaitable<void> { co_await peer->run(); },
      [this, id](const std::exception_ptr&) { peers_.erase(id); });
  // Accepted before the door closed, and come to this line after it: told as the others were.
  if (door_closed_) peer->deliver(GoAway{});
}

// One connection less, or on its way out: first one whose work is over, then one that never spoke, then the
// one idle for longest; one with a message or a check on its way only where there is no other. Never one that
// was used a moment ago, whose client may still be reading its answer, nor one in whose socket bytes lie
// unread, as these may be a request.
bool Listener::evict_connection() {
  const auto settled_by = ClientConnection::Clock::now() - kFresh;
  const auto rank = [&](const ClientConnection& p) {
    if (p.last_active() >= settled_by) return 0;
    if (p.is_lingering()) return 4;
    if (!p.is_idle() || p.has_unread_bytes()) return 0;
    return p.has_partial_message() || p.has_pending_health_check() ? 1 : p.received_message() ? 2 : 3;
  };
  std::shared_ptr<ClientConnection> spare;
  int best = 0;
  std::size_t open = 0;
  for (const auto& [id, peer] : peers_) {
    if (!peer->is_open()) continue;
    ++open;
    const int own = rank(*peer);
    if (own > best || (own && own == best && peer->last_active() < spare->last_active())) {
      best = own;
      spare = peer;
    }
  }
  if (open < max_peers_) return true;
  if (spare) spare->close();
  return spare != nullptr;
}

void Listener::deliver(const edge::Origin& to, OutgoingMessage message) {
  if (const auto* answer = std::get_if<edge::Answer>(&message)) hint_ = answer->hint;
  if (const auto it = peers_.find(to.peer); it != peers_.end()) it->second->deliver(std::move(message));
}

void Listener::close_idle_connections(Duration idle_for) {
  const auto before = ClientConnection::Clock::now() - idle_for;
  for (const auto& [id, peer] : peers_)
    if (peer->is_idle() && peer->has_read_everything() && peer->last_active() < before) peer->close();
}

void Listener::start_draining(BacklogPolicy backlog) {
  if (door_closed_) return;
  // Before the GOAWAY is sent, as a connection with an answer under way is in use and can't be evicted in
  // favour of those that wait in the backlog.
  if (backlog == BacklogPolicy::accept) accept_backlog();
  announce_shutdown();
}

// Closing the socket over connections in its backlog would reset them, and lose the requests on them.
void Listener::accept_backlog() {
  error_code error;
  while (!error) {
    tcp::socket socket(executor_);
    acceptor_.accept(socket, error);
    if (!error) admit(std::move(socket));
  }
}

void Listener::announce_shutdown() {
  door_closed_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& [id, peer] : peers_) peer->deliver(GoAway{});
}

bool Listener::is_quiescent() const {
  return std::all_of(peers_.begin(), peers_.end(),
                     [](const auto& p) { return p.second->is_idle() && p.second->has_read_everything(); });
}

void Listener::close_all() {
  for (const auto& [id, peer] : peers_) peer->close();
}

}  // namespace granitegap::net
