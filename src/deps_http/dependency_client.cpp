#include "deps_http/dependency_client.h"

#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cmath>

namespace granitegap::deps_http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using beast::error_code;
using deps::CallFate;

constexpr auto kLook = std::chrono::milliseconds(500);
constexpr int kMaxInterim = 4;  // 1xx answers before the one that counts

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

// Delta seconds only (RFC 9110, 10.2.3); a date would need its clock and ours to agree.
std::optional<Duration> retry_after(std::string_view text) {
  std::uint32_t value = 0;
  const auto* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || at != end) return std::nullopt;
  return std::chrono::seconds(value);
}

CallFate fate_of(unsigned status) {
  if (status == 200) return CallFate::ok;
  if (status == 429 || status == 503) return CallFate::busy;
  if (status == 204 || (status >= 400 && status < 500 && status != 408)) return CallFate::no_data;
  return CallFate::error;  // 5xx, redirects (never followed) and whatever else
}

// Guards against reuse of a connection that the other side has closed, or on which it says what nobody asked.
bool still_quiet(tcp::socket& socket) {
  char byte;
  const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

struct DependencyClient::Call {
  Call(const asio::any_io_executor& executor, edge::DependencyCall b)
      : below(std::move(b)), stream(std::make_unique<beast::tcp_stream>(executor)) {}
  edge::DependencyCall below;
  std::unique_ptr<beast::tcp_stream> stream;
  bool connected = false, abandoned = false;
};

struct DependencyClient::Idle {
  std::unique_ptr<beast::tcp_stream> stream;
  Clock::time_point since;
  Duration most;
};

DependencyClient::DependencyClient(const asio::any_io_executor& executor, std::size_t max_connections,
                                   Report report)
    : executor_(executor), look_(executor), most_(max_connections), report_(std::move(report)) {}

DependencyClient::~DependencyClient() { close_all(); }

void DependencyClient::close_all() {
  closed_ = true;
  while (!calls_.empty()) abandon(calls_.begin()->first);
  idle_.clear();
  connections_ = 0;
  look_.cancel();
}

void DependencyClient::start(edge::DependencyCall below) {
  if (closed_) return;
  const auto id = below.id;
  auto call = std::make_shared<Call>(executor_, std::move(below));
  calls_.emplace(id, call);
  asio::co_spawn(executor_, carry_out(call),
                 [this, call](const std::exception_ptr& failed, deps::CallReport report) {
                   if (call->abandoned) return;  // this may be gone by now
                   if (call->connected) --connections_;
                   calls_.erase(call->below.id);
                   if (failed) report = {call->below.id, CallFate::cut_off, {}, {}, nullptr};
                   report_(std::move(report));
                 });
}

void DependencyClient::abandon(deps::CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  auto& call = *it->second;
  call.abandoned = true;
  if (std::exchange(call.connected, false)) --connections_;
  call.stream->close();
  calls_.erase(it);
}

// One idle connection less: the one idle for longest.
bool DependencyClient::make_room() {
  if (connections_ < most_) return true;
  std::list<Idle>* oldest = nullptr;
  for (auto& [to, list] : idle_)
    if (!list.empty() && (!oldest || list.front().since < oldest->front().since)) oldest = &list;
  if (!oldest) return false;
  oldest->pop_front();
  --connections_;
  return true;
}

asio::awaitable<deps::CallReport> DependencyClient::carry_out(std::shared_ptr<Call> call) {
  const auto began = Clock::now();
  const auto& below = call->below;
  const auto ended = [&](CallFate fate) {
    return deps::CallReport{
        below.id, fate, std::chrono::duration_cast<Duration>(Clock::now() - began), {}, nullptr};
  };
  if (call->abandoned) co_return ended(CallFate::cut_off);
  const std::pair place(below.endpoint.host, below.endpoint.port);
  bool reused = false;
  if (const auto idle = idle_.find(place); idle != idle_.end()) {
    while (!idle->second.empty() && !reused) {
      auto candidate = std::move(idle->second.back());  // the one used last is the likeliest to stand
      idle->second.pop_back();
      --connections_;
      if (!still_quiet(candidate.stream->socket())) continue;
      call->stream = std::move(candidate.stream);
      reused = true;
    }
    if (idle->second.empty()) idle_.erase(idle);
  }
  http::request<http::empty_body> request(http::verb::get, below.path, 11);
  request.set(http::field::host, below.dependency);
  request.set(http::field::accept_encoding, "identity");
  for (;;) {
    error_code error;
    if (!reused) {
      if (!make_room()) co_return ended(CallFate::unreachable);
      const auto address = asio::ip::make_address(below.endpoint.host, error);
      if (error) co_return ended(CallFate::unreachable);
      ++connections_;
      call->connected = true;
      call->stream->expires_after(below.io_timeout);
      co_await call->stream->async_connect(tcp::endpoint(address, below.endpoint.port), into(error));
      if (call->abandoned) co_return ended(CallFate::cut_off);
      if (error) co_return ended(CallFate::unreachable);
      call->stream->socket().set_option(tcp::no_delay(true), error);
    } else {
      ++connections_;
      call->connected = true;
    }
    call->stream->expires_after(below.io_timeout);
    co_await http::async_write(*call->stream, request, into(error));
    if (call->abandoned) co_return ended(CallFate::cut_off);

    beast::flat_buffer buffer(below.max_header_bytes + below.max_response_bytes + 4096);
    std::optional<http::response_parser<http::string_body>> parser;
    const auto fresh_parser = [&] {
      parser.emplace();
      parser->header_limit(std::uint32_t(below.max_header_bytes));
      parser->body_limit(below.max_response_bytes);
    };
    fresh_parser();
    std::size_t got = 0;
    int interim = 0;
    while (!error && !parser->is_done()) {
      call->stream->expires_after(below.io_timeout);
      got += co_await http::async_read_some(*call->stream, buffer, *parser, into(error));
      if (call->abandoned) co_return ended(CallFate::cut_off);
      if (!error && parser->is_done() && parser->get().result_int() / 100 == 1) {
        if (++interim > kMaxInterim) co_return ended(CallFate::error);
        fresh_parser();
      }
    }
    if (error) {
      // A connection kept for the next call may have been closed just as it was written: nothing of this read
      // was done there, as no byte came back, so that a new connection may carry it, once.
      const bool nothing_came = got == 0 && buffer.size() == 0 && error != beast::error::timeout;
      if (std::exchange(reused, false) && nothing_came) {
        call->stream->close();
        call->connected = false;
        --connections_;
        call->stream = std::make_unique<beast::tcp_stream>(executor_);
        continue;
      }
      if (error == http::error::body_limit || error == http::error::header_limit ||
          error == http::error::buffer_overflow || error == beast::error::timeout)
        co_return ended(CallFate::too_long);
      const bool torn = error == http::error::end_of_stream || error == http::error::partial_message ||
                        error.category() != make_error_code(http::error::bad_version).category();
      co_return ended(torn ? CallFate::cut_off : CallFate::error);
    }
    auto response = parser->release();
    auto report = ended(fate_of(response.result_int()));
    if (report.fate == CallFate::busy) {
      const auto value = response[http::field::retry_after];
      report.retry_after = retry_after({value.data(), value.size()});
    }
    if (report.fate == CallFate::ok)
      report.body = std::make_shared<const std::string>(std::move(response.body()));
    auto& kept = idle_[place];
    if (response.keep_alive() && buffer.size() == 0 && kept.size() < below.max_idle_connections) {
      call->stream->expires_never();
      kept.push_back({std::move(call->stream), Clock::now(), below.max_idle_time});
      call->connected = false;  // it counts on, as an idle one
    } else if (kept.empty()) {
      idle_.erase(place);
    }
    co_return report;
  }
}

asio::awaitable<void> DependencyClient::mind_idle() {
  while (!closed_) {
    look_.expires_after(kLook);
    error_code woken;
    co_await look_.async_wait(into(woken));
    if (closed_) co_return;
    const auto now = Clock::now();
    for (auto it = idle_.begin(); it != idle_.end();) {
      connections_ -= std::erase_if(it->second, [&](const Idle& i) { return now - i.since > i.most; });
      it = it->second.empty() ? idle_.erase(it) : std::next(it);
    }
  }
}

}  // namespace granitegap::deps_http
