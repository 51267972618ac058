// A blocking stand-in client proxy with one connection, for tests that send requests one after another.
//
// Ownership: a client owns its connection. Threads: one thread at a time. Errors: the constructor throws
// boost::system::system_error if it can't connect; a lost connection or a timeout afterwards is an absent
// result.
#pragma once
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "standin/client_codec.h"

namespace granitegap::standin {

// The longest wait for a response where the caller gives none.
inline constexpr std::chrono::milliseconds kDefaultTimeout = std::chrono::seconds(10);

class Client {
 public:
  // Connects to a port on loopback. `proxy`: the number that the client gives for itself.
  explicit Client(std::uint16_t port, int proxy = 1);
  // Sends a request and waits for its response; absent if the connection ended or the timeout passed.
  std::optional<Response> call(const Request& request, std::chrono::milliseconds timeout = kDefaultTimeout);
  // Sends a request without waiting.
  void send(const Request& request);
  // Waits for the response to the newest request; absent as in call().
  std::optional<Response> receive(std::chrono::milliseconds timeout = kDefaultTimeout);
  // Sends only the first bytes of a request; send_remainder() sends the others.
  void send_prefix(const Request& request, std::size_t bytes);
  void send_remainder();
  // A health check as the platform's: whether the server reports itself healthy; absent as in call().
  std::optional<bool> check_health(std::chrono::milliseconds timeout = kDefaultTimeout);

 private:
  bool read(std::string& to, std::size_t bytes, std::chrono::steady_clock::time_point deadline);
  std::optional<std::string> read_payload(std::chrono::steady_clock::time_point deadline);
  std::string next_frame(const Request& request);

  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  int proxy_;
  std::uint32_t stream_ = 0;
  std::string remainder_;  // of a request sent in part
};

}  // namespace granitegap::standin
