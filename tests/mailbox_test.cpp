// Capacity and order of the bounded mailbox of an actor.
#include "actor/mailbox.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace granitegap {
namespace {

TEST_CASE("mailbox: control messages are accepted when the mailbox is full, and order is kept") {
  boost::asio::io_context io;
  Mailbox<int> mailbox(io.get_executor(), 1);
  CHECK(mailbox.post(1));
  CHECK_FALSE(mailbox.post(2));
  mailbox.post_control(3);
  boost::asio::co_spawn(
      io,
      [&]() -> boost::asio::awaitable<void> {
        const auto messages = co_await mailbox.take();
        CHECK(messages == std::vector<int>{1, 3});
      },
      boost::asio::detached);
  io.run();
}

}  // namespace
}  // namespace granitegap
