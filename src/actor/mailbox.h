// An actor's bounded mailbox on one io_context: any coroutine posts, one takes.
#pragma once
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <vector>

namespace granitegap {

template <class T>
class Mailbox {
 public:
  using Clock = std::chrono::steady_clock;
  Mailbox(const boost::asio::any_io_executor& executor, std::size_t most) : wake_(executor), most_(most) {}

  // False when full or closed: the sender keeps the matter, and decides what that means.
  [[nodiscard]] bool post(T&& mail) {
    if (closed_ || mail_.size() >= most_) return false;
    mail_.push_back(std::move(mail));
    wake_.cancel();
    return true;
  }
  // For what must never be lost, a connection's end or the notice to leave, and whose number its sender
  // bounds: guards against a flood of other mail that leaves no room for it.
  void post_control(T&& mail) {
    if (closed_) return;
    mail_.push_back(std::move(mail));
    wake_.cancel();
  }
  bool full() const { return mail_.size() >= most_; }
  bool empty() const { return mail_.empty(); }
  std::size_t size() const { return mail_.size(); }
  bool closed() const { return closed_; }
  void close() {
    closed_ = true;
    wake_.cancel();
  }

  // All that has come, in order; empty at `until` or once closed.
  boost::asio::awaitable<std::vector<T>> take(Clock::time_point until = Clock::time_point::max()) {
    while (mail_.empty() && !closed_ && Clock::now() < until) {
      wake_.expires_at(until);
      boost::system::error_code woken;
      co_await wake_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, woken));
    }
    co_return std::exchange(mail_, {});
  }

 private:
  boost::asio::steady_timer wake_;
  std::vector<T> mail_;
  std::size_t most_;
  bool closed_ = false;
};

}  // namespace granitegap
