#include "deps_http/dependency_client.h"

#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>

namespace granitegap::deps_http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;
using deps::CallOutcome;

using Request = http::request<http::empty_body>;
using Response = http::response<http::string_body>;
using Parser = http::response_parser<http::string_body>;

constexpr auto kReapInterval = std::chrono::milliseconds(500);
constexpr int kMaxInterimResponses = 4;            // 1xx responses before the final one
constexpr std::size_t kReadBufferOverhead = 4096;  // bytes in addition to header and body
constexpr int kHttpVersion = 11;

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

// Parses Retry-After in seconds (RFC 9110, 10.2.3). A date is ignored: it would require synchronised clocks.
std::optional<Duration> parse_retry_after(std::string_view text) {
  std::uint32_t seconds = 0;
  const auto* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data(), end, seconds);
  if (error != std::errc{} || parsed_to != end) return std::nullopt;
  return std::chrono::seconds(seconds);
}

CallOutcome classify_status(unsigned status) {
  if (status == 200) return CallOutcome::ok;
  if (status == 429 || status == 503) return CallOutcome::overloaded;
  const bool is_client_error = status >= 400 && status < 500;
  if (status == 204 || (is_client_error && status != 408)) return CallOutcome::not_found;
  return CallOutcome::error;  // 5xx, redirects and all other statuses
}

CallOutcome classify_error(error_code error) {
  const bool is_over_limit = error == http::error::body_limit || error == http::error::header_limit ||
                             error == http::error::buffer_overflow || error == beast::error::timeout;
  if (is_over_limit) return CallOutcome::limit_exceeded;
  if (error == http::error::end_of_stream || error == http::error::partial_message)
    return CallOutcome::connection_lost;
  const bool is_http_error = error.category() == make_error_code(http::error::bad_version).category();
  return is_http_error ? CallOutcome::error : CallOutcome::connection_lost;
}

// Returns false if the server has closed the idle connection or sent bytes without a request.
bool is_reusable(tcp::socket& socket) {
  char byte = 0;
  const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Request make_http_request(const edge::DependencyCall& call) {
  Request request(http::verb::get, call.path, kHttpVersion);
  request.set(http::field::host, call.dependency);
  request.set(http::field::accept_encoding, "identity");
  return request;
}

void begin_response(std::optional<Parser>& parser, const edge::DependencyCall& call) {
  parser.emplace();
  parser->header_limit(std::uint32_t(call.max_header_bytes));
  parser->body_limit(call.max_response_bytes);
}

bool is_interim(const Response& response) { return response.result_int() / 100 == 1; }

}  // namespace

// ---- Types of a call ----

// A call in progress with its connection.
struct DependencyClient::Call {
  Call(const asio::any_io_executor& executor, edge::DependencyCall call)
      : request(std::move(call)),
        http_request(make_http_request(request)),
        stream(std::make_unique<beast::tcp_stream>(executor)) {}
  Address address() const { return {request.endpoint.host, request.endpoint.port}; }

  edge::DependencyCall request;
  Request http_request;
  std::unique_ptr<beast::tcp_stream> stream;
  bool is_connected = false;  // its connection is counted in connections_
  bool is_cancelled = false;
};

// One request and its response on one connection.
struct DependencyClient::Exchange {
  error_code error;
  std::optional<Response> response;  // set if there was no error
  bool received_anything = false;
  bool received_extra_bytes = false;  // bytes after the response: the connection cannot be reused
};

// A keep-alive connection without a call.
struct DependencyClient::IdleConnection {
  std::unique_ptr<beast::tcp_stream> stream;
  Clock::time_point since;
  Duration timeout;
};

// ---- Calls ----

DependencyClient::DependencyClient(const asio::any_io_executor& executor, std::size_t max_connections,
                                   CompletionCallback on_completed)
    : executor_(executor),
      reap_timer_(executor),
      max_connections_(max_connections),
      on_completed_(std::move(on_completed)) {}

// Sockets are closed with the overloads that return error codes; the check reports the throwing ones.
// NOLINTNEXTLINE(bugprone-exception-escape)
DependencyClient::~DependencyClient() { close_all(); }

void DependencyClient::close_all() {
  is_closed_ = true;
  while (!calls_.empty()) cancel(calls_.begin()->first);
  idle_.clear();
  connections_ = 0;
  reap_timer_.cancel();
}

void DependencyClient::start(edge::DependencyCall request) {
  if (is_closed_) return;
  const auto id = request.id;
  auto call = std::make_shared<Call>(executor_, std::move(request));
  calls_.emplace(id, call);
  asio::co_spawn(executor_, execute(call),
                 [this, call](const std::exception_ptr& exception, deps::CallCompletion completion) {
                   if (call->is_cancelled) return;  // the client may have been destroyed
                   if (call->is_connected) --connections_;
                   calls_.erase(call->request.id);
                   if (exception)
                     completion = {call->request.id, CallOutcome::connection_lost, {}, {}, nullptr};
                   on_completed_(std::move(completion));
                 });
}

void DependencyClient::cancel(deps::CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  auto& call = *found->second;
  call.is_cancelled = true;
  drop_connection(call);
  calls_.erase(found);
}

asio::awaitable<deps::CallCompletion> DependencyClient::execute(std::shared_ptr<Call> call) {
  const auto started = Clock::now();
  deps::CallCompletion completion{call->request.id, CallOutcome::connection_lost, {}, {}, nullptr};
  if (!call->is_cancelled) co_await perform(*call, completion);
  completion.took = std::chrono::duration_cast<Duration>(Clock::now() - started);
  co_return completion;
}

// Tries the call on an idle connection first, then on a new one. After each co_await the call may have been
// cancelled and the client destroyed; no member may be used then.
asio::awaitable<void> DependencyClient::perform(Call& call, deps::CallCompletion& completion) {
  bool is_reused = take_idle_connection(call);
  for (;;) {
    if (!is_reused) {
      const bool is_connected = co_await connect(call);
      if (call.is_cancelled) co_return;
      if (!is_connected) {
        completion.outcome = CallOutcome::unreachable;
        co_return;
      }
    }
    auto result = co_await exchange(call);
    if (call.is_cancelled) co_return;
    if (!result.error) {
      complete(call, result, completion);
      co_return;
    }
    // The server may have closed the idle connection while the request was being written. No byte of an
    // answer has arrived, so the request can be sent once more on a new connection.
    const bool was_closed_idle =
        is_reused && !result.received_anything && result.error != beast::error::timeout;
    if (!was_closed_idle) {
      completion.outcome = classify_error(result.error);
      co_return;
    }
    drop_connection(call);
    call.stream = std::make_unique<beast::tcp_stream>(executor_);
    is_reused = false;
  }
}

asio::awaitable<bool> DependencyClient::connect(Call& call) {
  if (!make_room_for_connection()) co_return false;
  error_code error;
  const auto address = asio::ip::make_address(call.request.endpoint.host, error);
  if (error) co_return false;
  const tcp::endpoint endpoint(address, call.request.endpoint.port);
  ++connections_;
  call.is_connected = true;
  call.stream->expires_after(call.request.io_timeout);
  co_await call.stream->async_connect(endpoint, into(error));
  if (call.is_cancelled || error) co_return false;
  error_code ignored;
  call.stream->socket().set_option(tcp::no_delay(true), ignored);
  co_return true;
}

asio::awaitable<DependencyClient::Exchange> DependencyClient::exchange(Call& call) {
  Exchange result;
  call.stream->expires_after(call.request.io_timeout);
  co_await http::async_write(*call.stream, call.http_request, into(result.error));
  if (call.is_cancelled) co_return result;

  beast::flat_buffer buffer(call.request.max_header_bytes + call.request.max_response_bytes +
                            kReadBufferOverhead);
  std::optional<Parser> parser;
  begin_response(parser, call.request);
  int interim_responses = 0;
  while (!result.error && !parser->is_done()) {
    call.stream->expires_after(call.request.io_timeout);
    const std::size_t bytes =
        co_await http::async_read_some(*call.stream, buffer, *parser, into(result.error));
    if (call.is_cancelled) co_return result;
    if (bytes > 0 || buffer.size() > 0) result.received_anything = true;
    if (result.error || !parser->is_done() || !is_interim(parser->get())) continue;
    ++interim_responses;
    if (interim_responses > kMaxInterimResponses) result.error = http::error::bad_status;
    begin_response(parser, call.request);
  }
  if (result.error) co_return result;
  result.response = parser->release();
  result.received_extra_bytes = buffer.size() > 0;
  co_return result;
}

// Sets the outcome from the response, and keeps the connection for the next call if it can be reused.
void DependencyClient::complete(Call& call, Exchange& exchange, deps::CallCompletion& completion) {
  auto& response = *exchange.response;
  const bool keep_alive = response.keep_alive() && !exchange.received_extra_bytes;
  completion.outcome = classify_status(response.result_int());
  if (completion.outcome == CallOutcome::overloaded) {
    const auto retry_after = response[http::field::retry_after];
    completion.retry_after = parse_retry_after({retry_after.data(), retry_after.size()});
  }
  if (completion.outcome == CallOutcome::ok)
    completion.body = std::make_shared<const std::string>(std::move(response.body()));

  auto& idle = idle_[call.address()];
  if (keep_alive && idle.size() < call.request.max_idle_connections) {
    call.stream->expires_never();
    idle.push_back({std::move(call.stream), Clock::now(), call.request.idle_connection_timeout});
    call.is_connected = false;  // still counted, as an idle connection
  } else if (idle.empty()) {
    idle_.erase(call.address());
  }
}

// ---- Connections ----

// Reuses an idle connection to the call's endpoint, the most recently used one first, as it is the most
// likely to be still open. Returns false when there is none.
bool DependencyClient::take_idle_connection(Call& call) {
  const auto found = idle_.find(call.address());
  if (found == idle_.end()) return false;
  auto& idle = found->second;
  while (!idle.empty() && !call.is_connected) {
    auto candidate = std::move(idle.back());
    idle.pop_back();
    if (is_reusable(candidate.stream->socket())) {
      call.stream = std::move(candidate.stream);
      call.is_connected = true;
    } else {
      --connections_;
    }
  }
  if (idle.empty()) idle_.erase(found);
  return call.is_connected;
}

void DependencyClient::drop_connection(Call& call) {
  if (call.is_connected) --connections_;
  call.is_connected = false;
  if (call.stream) call.stream->close();
}

// At the connection limit, closes the connection that has been idle for longest. Returns false when none is
// idle.
bool DependencyClient::make_room_for_connection() {
  if (connections_ < max_connections_) return true;
  std::list<IdleConnection>* oldest = nullptr;
  for (auto& [address, idle] : idle_)
    if (!idle.empty() && (!oldest || idle.front().since < oldest->front().since)) oldest = &idle;
  if (!oldest) return false;
  oldest->pop_front();
  --connections_;
  return true;
}

asio::awaitable<void> DependencyClient::reap_idle_connections() {
  while (!is_closed_) {
    reap_timer_.expires_after(kReapInterval);
    error_code ignored;
    co_await reap_timer_.async_wait(into(ignored));
    if (is_closed_) co_return;
    const auto now = Clock::now();
    for (auto it = idle_.begin(); it != idle_.end();) {
      connections_ -= std::erase_if(it->second, [&](const IdleConnection& connection) {
        return now - connection.since > connection.timeout;
      });
      it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
  }
}

}  // namespace granitegap::deps_http
