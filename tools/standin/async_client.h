// An asynchronous stand-in client proxy: one connection that carries many requests at once, each with a
// callback for its response.
//
// Ownership: held by std::shared_ptr, as its reads and writes keep it alive until the connection ends.
// Threads: that of its io_context. Errors: a connection that ends gives each request in flight an absent
// response.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "standin/client_codec.h"

namespace granitegap::standin {

class AsyncClient : public std::enable_shared_from_this<AsyncClient> {
 public:
  // Called once with the response; absent if the connection ended first.
  using OnResponse = std::function<void(std::optional<Response>)>;
  explicit AsyncClient(boost::asio::io_context& io) : io_(io), socket_(io) {}
  // Connects to a port on loopback; false if that failed.
  boost::asio::awaitable<bool> connect(std::uint16_t port);
  // Takes over a socket that is connected.
  void attach(boost::asio::ip::tcp::socket socket);
  // The connection was established and has not ended.
  bool connected() const { return connected_; }
  std::size_t in_flight() const { return in_flight_.size(); }
  // Sends a request. Returns its stream; `envelope.stream` is ignored.
  std::uint32_t send(const Request& request, RequestEnvelope envelope, OnResponse on_response);
  // Drops the callback of a request in flight.
  void forget(std::uint32_t stream) { in_flight_.erase(stream); }
  void close();

 private:
  boost::asio::awaitable<void> read_responses();
  boost::asio::awaitable<bool> read_payload(std::string& payload);
  boost::asio::awaitable<void> write_output();
  void start();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::socket socket_;
  bool connected_ = false;
  std::uint32_t last_stream_ = 0;
  std::string output_;  // not yet written
  bool writing_ = false;
  std::map<std::uint32_t, OnResponse> in_flight_;  // by stream
};

}  // namespace granitegap::standin
