#include "standin/kernel.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <sstream>

namespace granitegap::standin {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kTick = std::chrono::milliseconds(1);
constexpr double kUseGain = 0.02;  // of one tick in the mean use of the cores

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

}  // namespace

Kernel::Kernel(asio::io_context& io, int cores, Cost cost)
    : io_(io),
      door_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      link_(io),
      tick_(io),
      cores_(cores),
      cost_(std::move(cost)) {
  asio::co_spawn(io, accept(), asio::detached);
  asio::co_spawn(io, work(), asio::detached);
}

asio::awaitable<void> Kernel::accept() {
  for (;;) {
    error_code error;
    auto socket = co_await door_.async_accept(into(error));
    if (error) co_return;
    link_ = std::move(socket);
    out_.clear();
    writing_ = false;
    linked_ = true;
    co_await serve();
    linked_ = false;
  }
}

void Kernel::say(std::string text) {
  out_ += text;
  if (std::exchange(writing_, true)) return;
  asio::co_spawn(
      io_,
      [this]() -> asio::awaitable<void> {
        error_code error;
        while (!out_.empty() && !error) {
          const auto bytes = std::exchange(out_, {});
          co_await asio::async_write(link_, asio::buffer(bytes), into(error));
        }
        writing_ = false;
      },
      asio::detached);
}

// The end of a run, with its number; kept for a link to come. Whoever began it may be gone by then: then it
// is told to nobody, or before the next BOOTED under its old number.
void Kernel::notice(const std::string& rid, const std::string& rest) {
  if (old_.erase(rid)) return;
  ++number_;
  history_.emplace_back(number_, "REAP " + std::to_string(number_) + " " + rid + " " + rest);
  if (linked_) say(history_.back().second);
}

double Kernel::speed(std::chrono::steady_clock::time_point now) const {
  double part = 1;
  if (booted_ && pace_.warm_up.count() > 0)
    part = std::min(
        1.0, std::chrono::duration<double>(now - *booted_) / std::chrono::duration<double>(pace_.warm_up));
  const double warm = pace_.cold_from + (1 - pace_.cold_from) * part;
  const double most = pace_.crowd * cores_;
  return warm * (double(running_.size()) > most ? most / double(running_.size()) : 1);
}

void Kernel::reboot() {
  booted_ = std::chrono::steady_clock::now();
  running_.clear();
  paused_.clear();
  history_.clear();
  boost::system::error_code ignored;
  link_.close(ignored);
}

void Kernel::open(std::uint64_t last) {
  if (last == 0) {  // a new start of the program
    for (const auto& [number, text] : history_)
      if (tells_old_) say(text);
    history_.clear();
    number_ = 0;
    for (const auto& [rid, run] : running_) old_.insert(rid);
    for (const auto& [rid, run] : paused_) old_.insert(rid);
  }
  const auto ago =
      booted_
          ? std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - *booted_)
                .count()
          : 60000;
  say(std::string("BOOTED ") + (booted_ ? "COLD " : "WARM ") + std::to_string(ago) + "\r\n");
  for (const auto& [number, text] : history_)
    if (number > last) say(text);
}

asio::awaitable<void> Kernel::serve() {
  std::string buffer;
  for (;;) {
    error_code error;
    const auto end =
        co_await asio::async_read_until(link_, asio::dynamic_buffer(buffer), "\r\n", into(error));
    if (error) co_return;
    std::istringstream words(buffer.substr(0, end));
    buffer.erase(0, end);
    std::string verb, word, cls;
    words >> verb >> word;
    if (verb == "OPEN" && !held_) open(std::strtoull(word.c_str(), nullptr, 10));
    if (verb == "SYSINFO")
      say("INFO " + word + " " + std::to_string(use_) + " " + std::to_string(running_.size()) + " 0.1 1\r\n");
    if (verb == "POST") say("POSTED " + word + " OK\r\n");
    if (verb == "PREEMPT") {
      if (auto node = running_.extract(word)) {
        notice(word, "STOPPED 0 0\r\n\r\n");
        paused_.insert(std::move(node));
      }
    }
    if (verb == "RESCHED") {
      if (auto node = paused_.extract(word)) running_.insert(std::move(node));
    }
    if (verb != "SCHED") continue;
    std::size_t length = 0;
    words >> cls >> length;
    if (buffer.size() < length + 2) {
      co_await asio::async_read(link_, asio::dynamic_buffer(buffer),
                                asio::transfer_exactly(length + 2 - buffer.size()), into(error));
      if (error) co_return;
    }
    const auto body = buffer.substr(0, length);
    buffer.erase(0, length + 2);
    // For a request that runs already nothing happens.
    if (running_.count(word) || paused_.count(word)) continue;
    ++runs_[{cls, body}];
    running_[word] = {double(cost_(cls, body).count()), std::chrono::steady_clock::now()};
  }
}

asio::awaitable<void> Kernel::work() {
  auto then = std::chrono::steady_clock::now();
  for (;;) {
    tick_.expires_after(kTick);
    error_code error;
    co_await tick_.async_wait(into(error));
    if (error) co_return;
    const auto now = std::chrono::steady_clock::now();
    const double passed = double(std::chrono::duration_cast<Duration>(now - then).count());
    then = now;
    const double busy = std::min<double>(cores_, double(running_.size()));
    use_ += kUseGain * (busy / cores_ - use_);
    const double share = running_.empty() ? 0 : passed * busy * speed(now) / double(running_.size());
    for (auto it = running_.begin(); it != running_.end();) {
      it->second.left_us -= share;
      if (it->second.left_us > 0) {
        ++it;
        continue;
      }
      const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now - it->second.since).count();
      notice(it->first, "OK " + std::to_string(ms) + " 2\r\nok\r\n");
      it = running_.erase(it);
    }
  }
}

}  // namespace granitegap::standin
