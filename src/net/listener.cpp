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

}  // namespace

Listener::Listener(const asio::any_io_executor& executor, const tcp::endpoint& at, std::size_t sockets,
                   const edge::Catalog& catalog, Mailbox<edge::Input>& module, Logger& log)
    : executor_(executor),
      acceptor_(executor),
      retry_(executor),
      most_peers_(std::max<std::size_t>(sockets, 2 * kOwnDescriptors) - kOwnDescriptors),
      catalog_(catalog),
      module_(module),
      log_(log) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(kBacklog);
  acceptor_.non_blocking(true);
}

asio::awaitable<void> Listener::run() {
  while (!door_closed_) {
    error_code error;
    // Guards against running out of descriptors: the connection idle for longest makes room; with none idle
    // the backlog waits.
    if (peers_.size() >= most_peers_ && !close_idlest()) error = asio::error::no_descriptors;
    if (!error) {
      auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
      if (!error) {
        start_peer(std::move(socket));
        continue;
      }
    }
    if (door_closed_) break;
    log_.line("accept: " + error.message());
    if (error == asio::error::no_descriptors) close_idlest();
    retry_.expires_after(kAcceptRetry);
    co_await retry_.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

void Listener::start_peer(tcp::socket socket) {
  const edge::PeerId id{next_peer_++};
  auto peer = std::make_shared<Peer>(std::move(socket), id, catalog_, module_, log_);
  peers_.emplace(id, peer);
  asio::co_spawn(
      executor_, [peer]() -> asio::awaitable<void> { co_await peer->run(); },
      [this, id](const std::exception_ptr&) { peers_.erase(id); });
  if (door_closed_) peer->deliver(GoAway{});
}

bool Listener::close_idlest() {
  std::shared_ptr<Peer> idlest;
  for (const auto& [id, peer] : peers_)
    if (peer->idle() && (!idlest || peer->last_used() < idlest->last_used())) idlest = peer;
  if (idlest) idlest->close();
  return idlest != nullptr;
}

void Listener::deliver(const edge::Origin& to, Outgoing message) {
  if (const auto it = peers_.find(to.peer); it != peers_.end()) it->second->deliver(std::move(message));
}

void Listener::close_idle(Duration idle_for) {
  const auto before = Peer::Clock::now() - idle_for;
  for (const auto& [id, peer] : peers_)
    if (peer->idle() && peer->last_used() < before) peer->close();
}

void Listener::close_door() {
  if (std::exchange(door_closed_, true)) return;
  for (const auto& [id, peer] : peers_) peer->deliver(GoAway{});
  error_code error;
  while (!error) {  // closing with connections in the backlog would reset them, requests and all
    tcp::socket socket(executor_);
    acceptor_.accept(socket, error);
    if (!error) start_peer(std::move(socket));
  }
  acceptor_.close(error);
}

bool Listener::at_rest() const {
  return std::all_of(peers_.begin(), peers_.end(), [](const auto& p) { return p.second->idle(); });
}

}  // namespace granitegap::net
