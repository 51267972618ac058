#include "state_transfer/actor.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "membership_udp/actor.h"
#include "net/accept_loop.h"

namespace granitegap::state_transfer {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using namespace std::chrono_literals;
using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::size_t kMaxConnections = 4;
constexpr double kRequestsPerSecond = 8, kRequestBurst = 8;
constexpr auto kConnectionTimeout = 2s;  // for receiving the query and sending the response together

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

SteadyTime to_steady(TimePoint time) { return SteadyTime(time.time_since_epoch()); }

// Closes a socket at a point in time, which ends any pending operation. Disarmed on destruction.
class SocketDeadline {
 public:
  SocketDeadline(asio::ip::tcp::socket& socket, SteadyTime at) : timer_(socket.get_executor(), at) {
    timer_.async_wait([alive = std::weak_ptr<int>(alive_), &socket](const error_code& error) {
      error_code ignored;
      if (!error && !alive.expired()) socket.close(ignored);
    });
  }

 private:
  // Expires with this object, which the timer's handler may outlive.
  std::shared_ptr<int> alive_ = std::make_shared<int>();
  asio::steady_timer timer_;
};

// Reads a message and its length prefix. Returns nullopt if the connection ends or the length is out of
// bounds.
asio::awaitable<std::optional<std::string>> read_message(asio::ip::tcp::socket& socket,
                                                         std::size_t max_bytes) {
  error_code error;
  std::string prefix(kLengthPrefixBytes, '\0');
  co_await asio::async_read(socket, asio::buffer(prefix), into(error));
  const auto length = error ? std::nullopt : parse_length_prefix(prefix, max_bytes);
  if (!length) co_return std::nullopt;
  std::string bytes(*length, '\0');
  co_await asio::async_read(socket, asio::buffer(bytes), into(error));
  if (error) co_return std::nullopt;
  co_return bytes;
}

std::string join_names(const std::vector<std::string>& names) {
  std::string text;
  for (const auto& name : names) text += (text.empty() ? "" : ", ") + name;
  return text;
}

}  // namespace

Actor::Actor(const asio::any_io_executor& executor, Options options, recovery::DonorSelectionOptions rules,
             Callbacks callbacks, Logger& log)
    : executor_(executor),
      options_(std::move(options)),
      callbacks_(std::move(callbacks)),
      log_(log),
      donor_selection_(rules, options_.zone, options_.seed),
      acceptor_(executor, {options_.bind_address, options_.port}),
      wake_timer_(executor),
      rate_tokens_(kRequestBurst),
      tokens_refilled_at_(callbacks_.clock()) {
  log_.line("recovery: donating warm state to other members on port " + std::to_string(port()),
            {{"event", "learning"}, {"port", std::int64_t(port())}});
}

void Actor::close() {
  closed_ = true;
  error_code ignored;
  acceptor_.close(ignored);
  wake_timer_.cancel();
}

// ---- Server ----

bool Actor::admit_request() {
  const auto now = callbacks_.clock();
  const std::chrono::duration<double> elapsed = now - tokens_refilled_at_;
  rate_tokens_ = std::min(kRequestBurst, rate_tokens_ + kRequestsPerSecond * elapsed.count());
  tokens_refilled_at_ = now;
  if (rate_tokens_ < 1 || open_connections_ >= kMaxConnections) return false;
  rate_tokens_ -= 1;
  return true;
}

asio::awaitable<void> Actor::run_server() {
  // A named variable: GCC 12 destroys a temporary in a co_await expression twice.
  const net::ConnectionHandler handle_connection = [this](Tcp::socket socket, const asio::ip::address& from) {
    if (callbacks_.may_request(from) && admit_request())
      asio::co_spawn(executor_, serve_connection(std::move(socket)), asio::detached);
  };
  co_await net::accept_connections(acceptor_, closed_, handle_connection);
}

asio::awaitable<void> Actor::serve_connection(Tcp::socket socket) {
  const net::ScopedCount counted(open_connections_);
  const SocketDeadline deadline(socket, std::chrono::steady_clock::now() + kConnectionTimeout);
  const auto bytes = co_await read_message(socket, kMaxQueryBytes);
  if (!bytes) co_return;
  const auto decoded = decode_query(*bytes);
  const auto* query = std::get_if<TransferQuery>(&decoded);
  if (!query || query->cluster != options_.cluster) co_return;
  auto response = callbacks_.make_response();
  response.nonce = query->nonce;
  const auto out = add_length_prefix(encode(response));
  error_code ignored;  // on failure the client requests the state of another donor
  co_await asio::async_write(socket, asio::buffer(out), into(ignored));
}

// ---- Client ----

void Actor::start_transfer() {
  donor_selection_.begin(callbacks_.clock());
  if (view_) donor_selection_.on_view(*view_, callbacks_.clock());
  transfer_pending_ = true;
  wake_timer_.cancel();
}

void Actor::update_view(std::shared_ptr<const membership::View> newest) {
  view_ = std::move(newest);
  if (!transfer_pending_) return;
  donor_selection_.on_view(*view_, callbacks_.clock());
  wake_timer_.cancel();
}

asio::awaitable<void> Actor::run_client() {
  while (!closed_) {
    const auto now = callbacks_.clock();
    if (transfer_pending_) advance_transfer(now);
    const auto next = transfer_pending_ ? donor_selection_.next_deadline(now) : std::nullopt;
    wake_timer_.expires_at(next ? to_steady(*next) : SteadyTime::max());
    error_code ignored;  // the wait is cancelled when there is work to do earlier
    co_await wake_timer_.async_wait(into(ignored));
  }
}

void Actor::advance_transfer(TimePoint now) {
  for (auto& request : donor_selection_.next_requests(now))
    asio::co_spawn(executor_, request_from(std::move(request)), asio::detached);
  if (donor_selection_.finished(now)) finish_transfer(now);
}

void Actor::finish_transfer(TimePoint now) {
  transfer_pending_ = false;
  donors_ = donor_selection_.donors();
  transferred_at_ = now;
  const auto names = join_names(donors_);
  log_.line("recovery: warm state received from " + (names.empty() ? std::string("no donor") : names),
            {{"event", "learned_from"}, {"names", names}});
  callbacks_.finished(donor_selection_.result(), donor_selection_.donor_count());
}

asio::awaitable<void> Actor::request_from(recovery::TransferRequest request) {
  Tcp::socket socket(executor_);
  std::optional<recovery::TransferResponse> response;
  {
    const SocketDeadline deadline(socket, to_steady(request.deadline));
    response = co_await exchange(socket, request);
  }
  if (response)
    donor_selection_.on_response(*response, callbacks_.clock());
  else
    donor_selection_.on_failure(request.nonce);
  wake_timer_.cancel();
}

asio::awaitable<std::optional<recovery::TransferResponse>> Actor::exchange(
    Tcp::socket& socket, const recovery::TransferRequest& request) {
  const auto udp = membership_udp::endpoint_of(request.address);
  error_code error;
  co_await socket.async_connect({udp.address(), udp.port()}, into(error));
  if (error) co_return std::nullopt;
  const auto out = add_length_prefix(encode(TransferQuery{options_.cluster, options_.name, request.nonce}));
  co_await asio::async_write(socket, asio::buffer(out), into(error));
  if (error) co_return std::nullopt;
  const auto bytes = co_await read_message(socket, kMaxResponseBytes);
  if (!bytes) co_return std::nullopt;
  auto decoded = decode_response(*bytes);
  auto* response = std::get_if<recovery::TransferResponse>(&decoded);
  if (!response) co_return std::nullopt;
  co_return std::move(*response);
}

}  // namespace granitegap::state_transfer
