#include "edge/edge_actor.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace granitegap::edge {
namespace {

// A request is 4 KiB at most, so that a full mailbox takes about a quarter of the memory. Guards against a
// flood that is read faster than it is decided on.
constexpr std::size_t kMailPerMb = 64;

}  // namespace

Now read_clocks() {
  return {
      TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())),
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now())};
}

EdgeActor::EdgeActor(const boost::asio::any_io_executor& executor, Edge edge, std::size_t memory_mb,
                     Dispatch dispatch, Clocks clocks)
    : mailbox_(executor, memory_mb * kMailPerMb),
      edge_(std::move(edge)),
      dispatch_(std::move(dispatch)),
      clocks_(std::move(clocks)) {}

boost::asio::awaitable<void> EdgeActor::run() {
  using Clock = std::chrono::steady_clock;
  while (!mailbox_.closed()) {
    const auto timer = edge_.next_timer();
    const auto until = timer ? Clock::time_point(timer->time_since_epoch()) : Clock::time_point::max();
    auto mail = co_await mailbox_.take(until);
    // Lets all that is ready in, as one batch; and guards against a module so busy that its timers are always
    // due, which would never let a socket be served.
    co_await boost::asio::post(boost::asio::use_awaitable);
    for (auto& more : co_await mailbox_.take(Clock::time_point::min())) mail.push_back(std::move(more));
    for (auto& output : edge_.step(clocks_(), std::move(mail))) dispatch_(std::move(output));
  }
}

}  // namespace granitegap::edge
