#include "standin/client.h"

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <random>
#include <utility>

namespace granitegap::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kLengthSize = 4;

// Unique within this process, and by chance among processes.
std::string new_request_id() {
  static const std::uint64_t kStart = std::random_device()();
  static std::atomic<std::uint64_t> next{1};
  char id[17];
  std::snprintf(id, sizeof id, "%08llx%08llx", static_cast<unsigned long long>(kStart & 0xffffffff),
                static_cast<unsigned long long>(next++ & 0xffffffff));
  return id;
}

}  // namespace

Client::Client(std::uint16_t port, int proxy) : socket_(io_), proxy_(proxy) {
  socket_.connect({asio::ip::address_v4::loopback(), port});
  socket_.set_option(tcp::no_delay(true));
}

std::string Client::next_frame(const Request& request) {
  using namespace std::chrono;
  const auto now = duration_cast<milliseconds>(system_clock::now().time_since_epoch());
  RequestEnvelope envelope;
  envelope.stream = ++stream_;
  envelope.proxy = proxy_;
  envelope.request_id = new_request_id();
  envelope.t0_ms = (now - request.backdated_by).count();
  return encode_request(request, envelope);
}

void Client::send(const Request& request) {
  boost::system::error_code ignored;  // receive() finds the connection ended
  asio::write(socket_, asio::buffer(next_frame(request)), ignored);
}

void Client::send_prefix(const Request& request, std::size_t bytes) {
  remainder_ = next_frame(request);
  boost::system::error_code ignored;
  asio::write(socket_, asio::buffer(remainder_, bytes), ignored);
  remainder_.erase(0, bytes);
}

void Client::send_remainder() {
  boost::system::error_code ignored;
  asio::write(socket_, asio::buffer(std::exchange(remainder_, {})), ignored);
}

bool Client::read(std::string& to, std::size_t bytes, Clock::time_point deadline) {
  to.assign(bytes, '\0');
  bool complete = false;
  asio::async_read(socket_, asio::buffer(to),
                   [&](const boost::system::error_code& error, std::size_t) { complete = !error; });
  io_.restart();
  io_.run_until(deadline);
  if (complete) return true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  io_.restart();
  io_.run();  // lets the abandoned read complete, as it refers to `to`
  return false;
}

std::optional<std::string> Client::read_payload(Clock::time_point deadline) {
  std::string length, payload;
  if (!read(length, kLengthSize, deadline)) return std::nullopt;
  if (!read(payload, std::size_t(decode_number(length, 0, kLengthSize)), deadline)) return std::nullopt;
  return payload;
}

std::optional<Response> Client::receive(std::chrono::milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  while (const auto payload = read_payload(deadline)) {
    auto response = decode_response(*payload);
    if (response && response->stream == stream_) return response;
  }
  return std::nullopt;
}

std::optional<bool> Client::check_health(std::chrono::milliseconds timeout) {
  boost::system::error_code ignored;
  asio::write(socket_, asio::buffer(encode_health_check(++stream_)), ignored);
  const auto deadline = Clock::now() + timeout;
  while (const auto payload = read_payload(deadline))
    if (const auto healthy = decode_health(*payload, stream_)) return healthy;
  return std::nullopt;
}

std::optional<Response> Client::call(const Request& request, std::chrono::milliseconds timeout) {
  send(request);
  return receive(timeout);
}

}  // namespace granitegap::standin
