#include "standin/caller.h"

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <utility>

namespace granitegap::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

std::string big(std::uint64_t value, int bytes) {
  std::string out;
  while (bytes-- > 0) out += char(value >> (8 * bytes) & 0xff);
  return out;
}
std::uint64_t number(const std::string& bytes, std::size_t at, std::size_t count) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < count; ++i) value = value << 8 | std::uint8_t(bytes.at(at + i));
  return value;
}

std::string new_rid() {
  static const std::uint64_t start = std::random_device()();
  static std::atomic<std::uint64_t> next{1};
  char rid[17];
  std::snprintf(rid, sizeof rid, "%08llx%08llx", static_cast<unsigned long long>(start & 0xffffffff),
                static_cast<unsigned long long>(next++ & 0xffffffff));
  return rid;
}

}  // namespace

std::string request_frame(const Asked& a, std::uint32_t stream, int proxy, const std::string& rid,
                          std::int64_t t0_ms) {
  std::string fields;
  int count = 0;
  const auto field = [&](const std::string& name, const std::string& value) {
    fields += big(name.size(), 1) + name + big(value.size(), 2) + value;
    ++count;
  };
  field("method", a.cls);
  field("rid", rid);
  field("t0", std::to_string(t0_ms));
  field("peer", std::to_string(proxy));
  field("acct", "turistaterkep");
  field("est", std::to_string(a.est_ms));
  field("mem", "24.5");
  field("prio", "0.5");
  if (!a.token.empty()) field("token", a.token);
  const auto payload = big(0, 1) + big(stream, 4) + big(std::uint64_t(count), 1) + fields + a.body;
  return big(payload.size(), 4) + payload;
}

std::optional<Answered> read_answer(const std::string& p, std::uint32_t& stream) {
  if (p.size() < 7 || p[0] != 1) return std::nullopt;
  stream = std::uint32_t(number(p, 1, 4));
  Answered a;
  a.code = p[5];
  std::size_t at = 7;
  for (int f = 0; f < p[6]; ++f) {
    if (at + 1 > p.size()) return std::nullopt;
    const auto name_size = std::size_t(std::uint8_t(p[at]));
    if (at + 3 + name_size > p.size()) return std::nullopt;
    const auto name = p.substr(at + 1, name_size);
    at += 1 + name_size;
    const auto size = std::size_t(number(p, at, 2));
    if (at + 2 + size > p.size()) return std::nullopt;
    const auto value = p.substr(at + 2, size);
    at += 2 + size;
    if (name == "backoff") a.backoff = std::chrono::milliseconds(std::atoll(value.c_str()));
    if (name == "hint") a.hint = value;
  }
  a.body = p.substr(at);
  return a;
}

Caller::Caller(std::uint16_t port, int proxy) : socket_(io_), number_(proxy) {
  socket_.connect({asio::ip::address_v4::loopback(), port});
  socket_.set_option(tcp::no_delay(true));
}

std::string Caller::next_frame(const Asked& asked) {
  using namespace std::chrono;
  const auto t0 = duration_cast<milliseconds>(system_clock::now().time_since_epoch()) - asked.written_late;
  return request_frame(asked, ++stream_, number_, new_rid(), t0.count());
}

void Caller::tell(const Asked& asked) {
  boost::system::error_code error;
  asio::write(socket_, asio::buffer(next_frame(asked)), error);
}

void Caller::tell_begin(const Asked& asked, std::size_t bytes) {
  rest_ = next_frame(asked);
  boost::system::error_code error;
  asio::write(socket_, asio::buffer(rest_, bytes), error);
  rest_.erase(0, bytes);
}

void Caller::tell_rest() {
  boost::system::error_code error;
  asio::write(socket_, asio::buffer(std::exchange(rest_, {})), error);
}

bool Caller::read(std::string& to, std::size_t bytes, Clock::time_point until) {
  to.assign(bytes, '\0');
  bool whole = false;
  asio::async_read(socket_, asio::buffer(to),
                   [&](const boost::system::error_code& error, std::size_t) { whole = !error; });
  io_.restart();
  io_.run_until(until);
  if (whole) return true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  io_.restart();
  io_.run();  // the read that was given up ends
  return false;
}

std::optional<std::string> Caller::read_payload(Clock::time_point until) {
  std::string head, payload;
  if (!read(head, 4, until) || !read(payload, std::size_t(number(head, 0, 4)), until)) return std::nullopt;
  return payload;
}

std::optional<Answered> Caller::hear(std::chrono::milliseconds most) {
  const auto until = Clock::now() + most;
  while (const auto payload = read_payload(until)) {
    std::uint32_t stream = 0;
    if (auto answer = read_answer(*payload, stream); answer && stream == stream_) return answer;
  }
  return std::nullopt;
}

std::optional<bool> Caller::check(std::chrono::milliseconds most) {
  const auto payload = big(6, 1) + big(++stream_, 4) + big(0, 1);
  boost::system::error_code error;
  asio::write(socket_, asio::buffer(big(payload.size(), 4) + payload), error);
  const auto until = Clock::now() + most;
  while (const auto answer = read_payload(until))
    if (answer->size() >= 6 && (*answer)[0] == 7 && number(*answer, 1, 4) == stream_)
      return (*answer)[5] == 0;
  return std::nullopt;
}

std::optional<Answered> Caller::ask(const Asked& asked, std::chrono::milliseconds most) {
  tell(asked);
  return hear(most);
}

}  // namespace granitegap::standin
