#include "edge/edge_actor.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace granitegap::edge {
namespace {

// A request is 4 KiB at most, so that a full mailbox takes about a quarter of the memory. Guards against a
// flood that is read faster than it is decided on.
constexpr std::size_t kMessagesPerMb = 64;

}  // namespace

Now read_clocks() {
  return {
      TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch())),
      std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now())};
}

EdgeActor::EdgeActor(const boost::asio::any_io_executor& executor, Edge edge, std::size_t memory_mb,
                     Dispatch dispatch, Clocks clocks)
    : mailbox_(executor, memory_mb * kMessagesPerMb),
      edge_(std::move(edge)),
      dispatch_(std::move(dispatch)),
      clocks_(std::move(clocks)) {}

boost::asio::awaitable<void> EdgeActor::run() {
  using Clock = std::chrono::steady_clock;
  while (!mailbox_.closed()) {
    const auto timer = edge_.next_timer();
    const auto until = timer ? Clock::time_point(timer->time_since_epoch()) : Clock::time_point::max();
    auto inputs = co_await mailbox_.take(until);
    // Lets everything that is ready join the batch; and guards against a controller so busy that its timers
    // are always due, which would never let a socket be served.
    co_await boost::asio::post(boost::asio::use_awaitable);
    for (auto& input : co_await mailbox_.take(Clock::time_point::min())) inputs.push_back(std::move(input));
    for (auto& output : edge_.step(clocks_(), std::move(inputs))) dispatch_(std::move(output));
  }
}

}  // namespace granitegap::edge
