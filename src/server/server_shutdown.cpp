// Graceful shutdown, and the handover to a successor process on the same listening socket.
#include <algorithm>
#include <utility>

#include "server/server.h"

namespace granitegap {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Subtracted from the time limit, so that the process ends before it is killed.
constexpr milliseconds kStopMargin = 60ms;
// The listener stops accepting new connections this long before the time limit.
constexpr milliseconds kStopAcceptingBefore = 400ms;
// Time for a request that was already in transit on a connection when the GOAWAY was sent on it.
constexpr milliseconds kInFlightGrace = 150ms;
constexpr milliseconds kPollInterval = 5ms;
// The platform kills a process that has handed over kAfterDeadline after the longest deadline, of which at
// most kMaxDeadline counts.
constexpr milliseconds kMaxDeadline = 3000ms, kAfterDeadline = 600ms;

}  // namespace

void Server::drain() {
  if (std::exchange(draining_, true)) return;
  // Marked before looking for a successor: of two processes that drain at the same time neither may count the
  // other as its successor.
  if (lease_table_) lease_table_->mark_draining();
  const bool successor = lease_table_ && lease_table_->another_process_serves();
  edge_actor_.edge().lifecycle().stop(successor);
  const auto time_limit = successor ? hand_over_time_limit() : config_.stop;
  log_.line("shutdown requested: " + std::to_string(time_limit.count()) + " ms left" +
                (successor ? ", handing over to another process on the same socket" : ", draining"),
            {{"event", "leaving"}, {"left_ms", std::int64_t(time_limit.count())}});
  edge_actor_.mailbox().post_control(edge::Drain{time_limit});
  spawn(successor ? hand_over(time_limit) : drain_and_stop());
}

// Returns the time until the platform kills a process that has handed over: the longest deadline, 3 s at
// most, plus kAfterDeadline; or stop_ms if that is less.
std::chrono::milliseconds Server::hand_over_time_limit() const {
  Duration longest{};
  for (const auto& c : config_.parsed.settings.classes)
    longest = std::max(longest, c.deadline.value_or(c.latency_objective.value_or(1s)));
  const auto bounded = std::chrono::duration_cast<milliseconds>(std::min<Duration>(longest, kMaxDeadline));
  return std::min(config_.stop, bounded + kAfterDeadline);
}

// Another process accepts connections on the same socket. This process answers the requests that it has read
// and those that still arrive on its open connections. The successor accepts new connections, sends the load
// reports and answers the health checks.
asio::awaitable<void> Server::hand_over(std::chrono::milliseconds time_limit) {
  using Clock = std::chrono::steady_clock;
  const auto end = Clock::now() + time_limit - std::min(kStopMargin, time_limit / 8);
  load_reporter_.stop_reporting();
  listener_.start_draining(net::BacklogPolicy::leave);
  asio::steady_timer timer(context_);
  while (Clock::now() < end) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
    // Idle connections are closed by their clients, after the GOAWAY: closing them here could lose a request
    // that is already in transit.
    if (edge_actor_.is_idle() && listener_.empty()) break;
  }
  stop();
}

// Accepts and answers requests until callers have had time to notice the drain; then stops accepting,
// waits until every response is delivered, and stops the process before the platform kills it.
asio::awaitable<void> Server::drain_and_stop() {
  using Clock = std::chrono::steady_clock;
  const auto end = Clock::now() + config_.stop - std::min(kStopMargin, config_.stop / 8);
  asio::steady_timer timer(context_, end - std::min(kStopAcceptingBefore, config_.stop / 4));
  co_await timer.async_wait(asio::use_awaitable);
  listener_.start_draining(net::BacklogPolicy::accept);
  bool admission_closed = false;
  const auto in_flight_until = Clock::now() + std::min(kInFlightGrace, config_.stop / 16);
  while (Clock::now() < end) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
    if (Clock::now() < in_flight_until || !edge_actor_.is_idle() || !listener_.is_quiescent()) continue;
    // All requests are answered: announces to the fleet that this member leaves, and waits until members have
    // received it.
    if (membership_actor_) membership_actor_->leave();
    // No request may run after the shutdown record is written: closes admission first and answers what has
    // arrived in the meantime.
    if (persistence_ && !std::exchange(admission_closed, true)) {
      edge_actor_.mailbox().post_control(edge::AdmissionClosed{});
      continue;
    }
    if (persistence_) persistence_->shut_down();
    if ((!membership_actor_ || membership_actor_->has_left()) && (!persistence_ || persistence_->finished()))
      break;
  }
  stop();
}

void Server::stop() {
  const bool all_answered = edge_actor_.is_idle() && listener_.is_quiescent();
  log_.line(
      all_answered ? "stopped: all requests answered" : "stopped: time limit reached with responses unsent",
      {{"event", all_answered ? "left" : "left_unsent"}});
  if (dependency_client_) dependency_client_->close_all();
  if (state_transfer_) state_transfer_->close();
  if (cache_fill_server_) cache_fill_server_->close();
  if (admin_server_) admin_server_->close();
  listener_.close_all();
  context_.stop();
}

}  // namespace granitegap
