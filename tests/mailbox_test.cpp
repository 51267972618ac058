// The bounded mailbox of an actor.
#include "actor/mailbox.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace granitegap {
namespace {

TEST_CASE("mailbox: control messages are accepted when it is full, in order") {
  boost::asio::io_context io;
  Mailbox<int> mailbox(io.get_executor(), 1);
  CHECK(mailbox.post(1));
  CHECK_FALSE(mailbox.post(2));
  mailbox.post_control(3);
  boost::asio::co_spawn(
      io,
      [&]() -> boost::asio::awaitable<void> {
        const auto all = co_await mailbox.take();
        CHECK(all == std::vector<int>{1, 3});
      },
      boost::asio::detached);
  io.run();
}

}  // namespace
}  // namespace granitegap
