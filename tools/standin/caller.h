// A stand-in client proxy: asks and waits, one request at a time, over a connection of its own. Blocking; for
// tests that ask one thing after another.
#pragma once
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace granitegap::standin {

struct Asked {
  std::string cls = "tile", body = "x", token;  // a token: in keyed classes
  std::chrono::milliseconds written_late{};     // t0 lies so far back
  int est_ms = 20;                              // core time, as the client guesses it
};
struct Answered {
  int code = -1;  // 0 served, 1 refused, 2 failed
  std::chrono::milliseconds backoff{};
  std::string body, hint;
};

class Caller {
 public:
  // `number`: of the proxy, told as `peer`.
  explicit Caller(std::uint16_t port, int number = 1);
  // Absent where the connection ended, or nothing came within `most`.
  std::optional<Answered> ask(const Asked& asked, std::chrono::milliseconds most = std::chrono::seconds(10));
  // Writes the request and does not wait; the answer to the newest one that was told.
  void tell(const Asked& asked);
  std::optional<Answered> hear(std::chrono::milliseconds most = std::chrono::seconds(10));
  // The same request in two pieces: the first bytes of it now, the rest when `tell_rest` is called.
  void tell_begin(const Asked& asked, std::size_t bytes);
  void tell_rest();
  // Asks for the health, as a platform's check does; absent as above.
  std::optional<bool> check(std::chrono::milliseconds most = std::chrono::seconds(10));

 private:
  bool read(std::string& to, std::size_t bytes, std::chrono::steady_clock::time_point until);
  std::optional<std::string> read_payload(std::chrono::steady_clock::time_point until);
  std::string next_frame(const Asked& asked);
  std::string rest_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
  int number_;
  std::uint32_t stream_ = 0;
};

// The bytes of a request's frame; `rid` is new with every try.
std::string request_frame(const Asked& asked, std::uint32_t stream, int proxy, const std::string& rid,
                          std::int64_t t0_ms);
// An answer's payload: type, stream, code, fields, body. Absent where it is none, or cut short.
std::optional<Answered> read_answer(const std::string& payload, std::uint32_t& stream);

}  // namespace granitegap::standin
