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
constexpr double kCoreUseGain = 0.02;  // of one tick in the moving mean
constexpr std::int64_t kLongSinceBootMs = 60000;
constexpr std::string_view kLineEnd = "\r\n";

auto into(error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

}  // namespace

Kernel::Kernel(asio::io_context& io, int cores, Cost cost)
    : io_(io),
      listener_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      connection_(io),
      tick_(io),
      cores_(cores),
      cost_(std::move(cost)) {
  asio::co_spawn(io, accept_connections(), asio::detached);
  asio::co_spawn(io, advance_runs(), asio::detached);
}

asio::awaitable<void> Kernel::accept_connections() {
  for (;;) {
    error_code error;
    auto socket = co_await listener_.async_accept(into(error));
    if (error) co_return;
    connection_ = std::move(socket);
    output_.clear();
    writing_ = false;
    held_open_.reset();
    connected_ = true;
    co_await serve_connection();
    connected_ = false;
  }
}

asio::awaitable<void> Kernel::write_output() {
  error_code error;
  while (!output_.empty() && !error) {
    const auto bytes = std::exchange(output_, {});
    co_await asio::async_write(connection_, asio::buffer(bytes), into(error));
  }
  writing_ = false;
}

void Kernel::send(const std::string& text) {
  output_ += text;
  if (std::exchange(writing_, true)) return;
  asio::co_spawn(io_, write_output(), asio::detached);
}

// Notices of this start are numbered and kept for a reconnect. One of an earlier start goes to nobody.
void Kernel::notify(const std::string& request_id, const std::string& result) {
  if (stale_requests_.erase(request_id)) return;
  ++last_number_;
  notices_.push_back(
      {last_number_, "REAP " + std::to_string(last_number_) + " " + request_id + " " + result});
  if (connected_) send(notices_.back().text);
}

double Kernel::speed_at(Clock::time_point now) const {
  using Seconds = std::chrono::duration<double>;
  double warm_share = 1;
  if (booted_at_ && speed_.warm_up.count() > 0)
    warm_share = std::min(1.0, Seconds(now - *booted_at_) / Seconds(speed_.warm_up));
  const double warmth = speed_.initial + (1 - speed_.initial) * warm_share;
  const double runs = double(running_.size());
  const double threshold = speed_.contention_threshold * cores_;
  return runs > threshold ? warmth * (threshold / runs) : warmth;
}

std::int64_t Kernel::ms_since_boot() const {
  if (!booted_at_) return kLongSinceBootMs;
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - *booted_at_).count();
}

void Kernel::reboot() {
  booted_at_ = Clock::now();
  running_.clear();
  preempted_.clear();
  notices_.clear();
  error_code ignored;
  connection_.close(ignored);
}

// What runs belongs to an earlier start of the server from now on.
void Kernel::begin_new_start() {
  if (replays_stale_notices_)
    for (const auto& notice : notices_) send(notice.text);
  notices_.clear();
  last_number_ = 0;
  for (const auto& [request_id, run] : running_) stale_requests_.insert(request_id);
  for (const auto& [request_id, run] : preempted_) stale_requests_.insert(request_id);
}

void Kernel::hold_boot(bool hold) {
  boot_held_ = hold;
  if (hold || !held_open_) return;
  open(*std::exchange(held_open_, std::nullopt));
}

// `last_notice`: the newest that the server has got from this kernel; 0: the server has just started.
void Kernel::open(std::uint64_t last_notice) {
  if (last_notice == 0) begin_new_start();
  const std::string state = booted_at_ ? "COLD " : "WARM ";
  send("BOOTED " + state + std::to_string(ms_since_boot()) + "\r\n");
  for (const auto& notice : notices_)
    if (notice.number > last_notice) send(notice.text);
}

void Kernel::preempt(const std::string& request_id) {
  auto node = running_.extract(request_id);
  if (!node) return;
  notify(request_id, "STOPPED 0 0\r\n\r\n");
  preempted_.insert(std::move(node));
}

void Kernel::reschedule(const std::string& request_id) {
  auto node = preempted_.extract(request_id);
  if (node) running_.insert(std::move(node));
}

void Kernel::schedule(const Command& command, const std::string& body) {
  const auto& request_id = command.argument;
  if (running_.contains(request_id) || preempted_.contains(request_id)) return;
  ++run_counts_[{command.cls, body}];
  running_[request_id] = {double(cost_(command.cls, body).count()), Clock::now()};
}

Kernel::Command Kernel::parse(const std::string& line) {
  Command command;
  std::istringstream words(line);
  words >> command.verb >> command.argument;
  if (command.verb == "SCHED") words >> command.cls >> command.body_size;
  return command;
}

void Kernel::handle_open(std::uint64_t last_notice) {
  if (boot_held_)
    held_open_ = last_notice;
  else
    open(last_notice);
}

// Commands without a body.
void Kernel::handle(const Command& command) {
  if (command.verb == "OPEN") handle_open(std::strtoull(command.argument.c_str(), nullptr, 10));
  if (command.verb == "SYSINFO")
    send("INFO " + command.argument + " " + std::to_string(core_use_) + " " +
         std::to_string(running_.size()) + " 0.1 1\r\n");
  if (command.verb == "POST") send("POSTED " + command.argument + " OK\r\n");
  if (command.verb == "PREEMPT") preempt(command.argument);
  if (command.verb == "RESCHED") reschedule(command.argument);
}

asio::awaitable<void> Kernel::serve_connection() {
  std::string buffer;
  for (;;) {
    error_code error;
    const auto line_size =
        co_await asio::async_read_until(connection_, asio::dynamic_buffer(buffer), kLineEnd, into(error));
    if (error) co_return;
    const auto command = parse(buffer.substr(0, line_size));
    buffer.erase(0, line_size);
    handle(command);
    if (command.verb != "SCHED") continue;
    const auto body_end = command.body_size + kLineEnd.size();
    if (buffer.size() < body_end) {
      co_await asio::async_read(connection_, asio::dynamic_buffer(buffer),
                                asio::transfer_exactly(body_end - buffer.size()), into(error));
      if (error) co_return;
    }
    schedule(command, buffer.substr(0, command.body_size));
    buffer.erase(0, body_end);
  }
}

asio::awaitable<void> Kernel::advance_runs() {
  auto then = Clock::now();
  for (;;) {
    tick_.expires_after(kTick);
    error_code error;
    co_await tick_.async_wait(into(error));
    if (error) co_return;
    const auto now = Clock::now();
    advance(then, now);
    then = now;
  }
}

// Shares the cores evenly among all runs, and ends those that have had their core time.
void Kernel::advance(Clock::time_point from, Clock::time_point to) {
  const double passed_us = double(std::chrono::duration_cast<Duration>(to - from).count());
  const double busy_cores = std::min<double>(cores_, double(running_.size()));
  core_use_ += kCoreUseGain * (busy_cores / cores_ - core_use_);
  if (running_.empty()) return;
  const double share_us = passed_us * busy_cores * speed_at(to) / double(running_.size());
  for (auto it = running_.begin(); it != running_.end();) {
    auto& run = it->second;
    run.remaining_us -= share_us;
    if (run.remaining_us > 0) {
      ++it;
      continue;
    }
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(to - run.began).count();
    notify(it->first, "OK " + std::to_string(took) + " 2\r\nok\r\n");
    it = running_.erase(it);
  }
}

}  // namespace granitegap::standin
