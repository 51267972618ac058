#include "edge/edge_actor.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace granitegap::edge {
namespace {

// Mailbox capacity per MB of memory. A request is at most 4 KiB, so a full mailbox takes about a quarter of
// the memory. The bound limits memory use when requests are read faster than the edge processes them.
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
    // Yields to the executor, so that all inputs that are ready join this batch. Without the yield, sockets
    // would never be served while the controller's timers are continuously due.
    co_await boost::asio::post(boost::asio::use_awaitable);
    for (auto& input : co_await mailbox_.take(Clock::time_point::min())) inputs.push_back(std::move(input));
    for (auto& output : edge_.step(clocks_(), std::move(inputs))) dispatch_(std::move(output));
  }
}

}  // namespace granitegap::edge
