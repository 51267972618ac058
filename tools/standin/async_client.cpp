#include "standin/async_client.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace granitegap::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kLengthSize = 4;

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

}  // namespace

asio::awaitable<bool> AsyncClient::connect(std::uint16_t port) {
  error_code error;
  co_await socket_.async_connect({asio::ip::address_v4::loopback(), port}, into(error));
  if (error) co_return false;
  start();
  co_return true;
}

void AsyncClient::attach(tcp::socket socket) {
  socket_ = std::move(socket);
  start();
}

void AsyncClient::start() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  connected_ = true;
  asio::co_spawn(
      io_, [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->read_responses(); },
      asio::detached);
}

std::uint32_t AsyncClient::send(const Request& request, RequestEnvelope envelope, OnResponse on_response) {
  envelope.stream = ++last_stream_;
  in_flight_[envelope.stream] = std::move(on_response);
  output_ += encode_request(request, envelope);
  if (!std::exchange(writing_, true))
    asio::co_spawn(
        io_, [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->write_output(); },
        asio::detached);
  return envelope.stream;
}

void AsyncClient::close() {
  error_code ignored;
  socket_.close(ignored);
}

asio::awaitable<void> AsyncClient::write_output() {
  error_code error;
  while (!output_.empty() && !error) {
    const auto bytes = std::exchange(output_, {});
    co_await asio::async_write(socket_, asio::buffer(bytes), into(error));
  }
  writing_ = false;
}

asio::awaitable<bool> AsyncClient::read_payload(std::string& payload) {
  error_code error;
  std::string length(kLengthSize, '\0');
  co_await asio::async_read(socket_, asio::buffer(length), into(error));
  if (error) co_return false;
  payload.assign(std::size_t(decode_number(length, 0, kLengthSize)), '\0');
  co_await asio::async_read(socket_, asio::buffer(payload), into(error));
  co_return !error;
}

asio::awaitable<void> AsyncClient::read_responses() {
  std::string payload;
  while (co_await read_payload(payload)) {
    const auto response = decode_response(payload);
    if (!response) continue;  // a goaway, or the answer to a health check
    const auto it = in_flight_.find(response->stream);
    if (it == in_flight_.end()) continue;
    const auto on_response = std::move(it->second);
    in_flight_.erase(it);
    on_response(*response);
  }
  connected_ = false;
  for (const auto& [stream, on_response] : std::exchange(in_flight_, {})) on_response(std::nullopt);
}

}  // namespace granitegap::standin
