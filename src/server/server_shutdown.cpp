// Graceful shutdown, and handing over to a successor on the same listening socket.
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
// So long before the end new connections are no longer accepted.
constexpr milliseconds kStopAcceptingBefore = 400ms;
// A request may be on its way on a connection when the notice to drain goes out on it.
constexpr milliseconds kInFlightGrace = 150ms;
constexpr milliseconds kPollInterval = 5ms;
// The platform kills a process that has handed over so long after the longest deadline, itself bounded.
constexpr milliseconds kMaxDeadline = 3000ms, kAfterDeadline = 600ms;

}  // namespace

void Server::drain() {
  if (std::exchange(draining_, true)) return;
  // First, so that of two processes that drain at once neither takes the other for its successor.
  if (lease_table_) lease_table_->mark_draining();
  const bool successor = lease_table_ && lease_table_->another_process_serves();
  edge_actor_.edge().lifecycle().stop(successor);
  const auto left = successor ? hand_over_time_limit() : config_.stop;
  log_.line("notice to leave: " + std::to_string(left.count()) + " ms left" +
                (successor ? ", the door is another process's" : ""),
            {{"event", "leaving"}, {"left_ms", std::int64_t(left.count())}});
  edge_actor_.mailbox().post_control(edge::Drain{left});
  spawn(successor ? hand_over(left) : drain_and_stop());
}

// The kill comes after the longest deadline, 3 s at most, and some more; or by stop_ms, if that is less.
std::chrono::milliseconds Server::hand_over_time_limit() const {
  Duration longest{};
  for (const auto& c : config_.parsed.settings.classes)
    longest = std::max(longest, c.deadline.value_or(c.latency_objective.value_or(1s)));
  const auto most = std::chrono::duration_cast<milliseconds>(std::min<Duration>(longest, kMaxDeadline));
  return std::min(config_.stop, most + kAfterDeadline);
}

// Another process accepts on the same socket. What was read here is answered here, as is what still arrives
// on open connections; new connections are the successor's, and so are load reports and health checks.
asio::awaitable<void> Server::hand_over(std::chrono::milliseconds within) {
  using Clock = std::chrono::steady_clock;
  const auto end = Clock::now() + within - std::min(kStopMargin, within / 8);
  load_reporter_.stop_reporting();
  listener_.start_draining(net::BacklogPolicy::leave);
  asio::steady_timer timer(context_);
  while (Clock::now() < end) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
    // Its clients end what rests, once they have been told: guards against a request sent back unheard.
    if (edge_actor_.is_idle() && listener_.empty()) break;
  }
  stop();
}

// Accepts and answers requests until callers have had time to notice; then stops accepting, waits until every
// response is delivered, and ends before the kill.
asio::awaitable<void> Server::drain_and_stop() {
  using Clock = std::chrono::steady_clock;
  const auto end = Clock::now() + config_.stop - std::min(kStopMargin, config_.stop / 8);
  asio::steady_timer timer(context_, end - std::min(kStopAcceptingBefore, config_.stop / 4));
  co_await timer.async_wait(asio::use_awaitable);
  listener_.start_draining(net::BacklogPolicy::accept);
  bool closing = false;
  const auto crossed = Clock::now() + std::min(kInFlightGrace, config_.stop / 16);
  while (Clock::now() < end) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
    if (Clock::now() < crossed || !edge_actor_.is_idle() || !listener_.is_quiescent()) continue;
    // Nothing is owed any more: the fleet hears that this one leaves, and it waits for some of them to know.
    if (fleet_) fleet_->leave();
    // Before an end is written down nothing more may run; what came in the meantime is answered first.
    if (persistence_ && !std::exchange(closing, true)) {
      edge_actor_.mailbox().post_control(edge::AdmissionClosed{});
      continue;
    }
    if (persistence_) persistence_->shut_down();
    if ((!fleet_ || fleet_->has_left()) && (!persistence_ || persistence_->finished())) break;
  }
  stop();
}

void Server::stop() {
  const bool all = edge_actor_.is_idle() && listener_.is_quiescent();
  log_.line(all ? "left: all answered" : "left: with answers unsent",
            {{"event", all ? "left" : "left_unsent"}});
  if (dependency_client_) dependency_client_->close_all();
  if (state_transfer_) state_transfer_->close();
  if (cache_fill_server_) cache_fill_server_->close();
  if (admin_) admin_->close();
  listener_.close_all();
  context_.stop();
}

}  // namespace granitegap
