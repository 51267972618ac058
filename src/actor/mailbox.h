// The bounded mailbox of an actor: any number of coroutines post messages, one receives them.
//
// All members must be called on the thread that runs the io_context. Messages are moved in and out. No member
// throws, except if memory cannot be allocated.
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

// A queue of messages of type T for a single receiver.
template <class T>
class Mailbox {
 public:
  using Clock = std::chrono::steady_clock;
  // `capacity` is the number of messages that post() accepts before they are taken.
  Mailbox(const boost::asio::any_io_executor& executor, std::size_t capacity)
      : wake_(executor), capacity_(capacity) {}

  // Adds a message. Returns false and leaves the message unmoved if the mailbox is full or closed; the sender
  // decides how to handle that.
  [[nodiscard]] bool post(T&& message) {
    if (closed_ || full()) return false;
    append(std::move(message));
    return true;
  }
  // Adds a message even if the mailbox is full, unless it is closed. For messages that must not be lost when
  // other messages use up the capacity, such as the end of a connection or a request to stop. The sender must
  // bound their number.
  void post_control(T&& message) {
    if (!closed_) append(std::move(message));
  }

  [[nodiscard]] bool full() const { return messages_.size() >= capacity_; }
  [[nodiscard]] bool empty() const { return messages_.empty(); }
  [[nodiscard]] std::size_t size() const { return messages_.size(); }
  [[nodiscard]] bool closed() const { return closed_; }
  // Closes the mailbox and wakes the receiver. Messages posted before can still be taken.
  void close() {
    closed_ = true;
    wake_.cancel();
  }

  // Waits until there is a message, the mailbox is closed or `until` is reached. Returns all messages in the
  // order in which they were posted. Returns no messages if there is none at `until` or when the mailbox is
  // closed.
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
