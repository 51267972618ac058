// The bounded mailbox of an actor: any coroutine posts, one receives.
//
// Threads: all calls on the one thread that runs the io_context. Messages are moved in and out. Nothing here
// throws but for a lack of memory.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

namespace granitegap {

template <class T>
class Mailbox {
 public:
  using Clock = std::chrono::steady_clock;
  // `capacity`: in messages.
  Mailbox(const boost::asio::any_io_executor& executor, std::size_t capacity)
      : wake_(executor), capacity_(capacity) {}

  // False when full or closed: the message is left with the sender, who decides what that means.
  [[nodiscard]] bool post(T&& message) {
    if (closed_ || full()) return false;
    append(std::move(message));
    return true;
  }
  // Posts past the capacity: for messages that must never be lost, such as the end of a connection or the
  // notice to stop, and whose number their sender bounds. Guards against a flood of other messages that
  // leaves no capacity for them.
  void post_control(T&& message) {
    if (!closed_) append(std::move(message));
  }

  [[nodiscard]] bool full() const { return messages_.size() >= capacity_; }
  [[nodiscard]] bool empty() const { return messages_.empty(); }
  [[nodiscard]] std::size_t size() const { return messages_.size(); }
  [[nodiscard]] bool closed() const { return closed_; }
  // Wakes the receiver. What was posted before can still be taken.
  void close() {
    closed_ = true;
    wake_.cancel();
  }

  // Waits until there is a message, the mailbox is closed or `until` is reached. Returns all messages in the
  // order in which they were posted; none at `until` or once closed.
  boost::asio::awaitable<std::vector<T>> take(Clock::time_point until = Clock::time_point::max()) {
    while (messages_.empty() && !closed_ && Clock::now() < until) {
      wake_.expires_at(until);
      boost::system::error_code cancelled;
      co_await wake_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    }
    co_return std::exchange(messages_, {});
  }

 private:
  void append(T&& message) {
    messages_.push_back(std::move(message));
    wake_.cancel();
  }

  boost::asio::steady_timer wake_;
  std::vector<T> messages_;
  std::size_t capacity_;
  bool closed_ = false;
};

}  // namespace granitegap
