// The in-flight command log of the kernel link.
#include <doctest/doctest.h>

#include "kernel/command_log.h"
#include "kernel/line_codec.h"

namespace granitegap {
namespace {

TEST_CASE("command log: only what no notice reported over is sent again, stops after their runs") {
  kernel::CommandLog command_log;
  command_log.record(edge::StartRun{"b", ClassId{0}, ""});
  command_log.record(edge::StartRun{"a", ClassId{0}, ""});
  command_log.record(edge::StopRun{"b"});
  command_log.record(edge::StopRun{"never started"});
  CHECK(command_log.accept({1, edge::RunReport{"a", edge::RunOutcome::ok, {}, ""}}));
  CHECK_FALSE(command_log.accept({1, edge::RunReport{"b", edge::RunOutcome::ok, {}, ""}}));
  const auto again = command_log.commands_to_resend();
  REQUIRE(again.size() == 2);
  CHECK(std::get<edge::StartRun>(again[0]).rid == "b");
  CHECK(std::get<edge::StopRun>(again[1]).rid == "b");
  CHECK(command_log.last_sequence() == 1);
}

// A kernel outlives the program: guards against a link that takes an earlier life's number for its own, and
// then reads its next notices as replays.

// A kernel outlives the program. A log that took an earlier incarnation's sequence number for its own would
// then reject its next notices as replays.
TEST_CASE("command log: notices of an earlier incarnation are rejected, and its own are still accepted") {
  kernel::CommandLog command_log;
  command_log.connection_opened();
  CHECK_FALSE(command_log.accept({57, edge::RunReport{"old", edge::RunOutcome::ok, {}, "x"}}));
  CHECK_FALSE(command_log.accept({1, kernel::IgnoredNotice{}}));  // before BOOTED: of an earlier incarnation
  CHECK(command_log.accept({0, edge::KernelStarted{}}));
  CHECK_FALSE(command_log.accept({58, edge::RunReport{"older", edge::RunOutcome::ok, {}, "x"}}));
  CHECK(command_log.last_sequence() == 0);
  command_log.record(edge::StartRun{"a", ClassId{0}, ""});
  CHECK(command_log.accept({1, kernel::IgnoredNotice{}}));
  CHECK(command_log.accept({2, edge::RunReport{"a", edge::RunOutcome::ok, {}, "x"}}));
  // Notices that the kernel no longer keeps leave a gap; the report of a run in flight is accepted after it.
  command_log.record(edge::StartRun{"b", ClassId{0}, ""});
  CHECK(command_log.accept({9, edge::RunReport{"b", edge::RunOutcome::ok, {}, "x"}}));
  CHECK(command_log.last_sequence() == 9);
}

// Wherever a connection breaks, each end is reported once, and the next connection sends exactly what has
// none.
TEST_CASE("command log: a connection that breaks at any byte loses no notice and repeats none") {
  const std::string notices =
      "REAP 1 a OK 1.5 4\r\n\r\nx\n\r\nDMESG 2 a remark\r\nREAP 3 b STOPPED 2 0\r\n\r\nREAP 4 c OK 9 "
      "2\r\nok\r\n";
  for (std::size_t cut = 0; cut <= notices.size(); ++cut) {
    INFO("broken after ", cut, " bytes");
    kernel::CommandLog command_log;
    for (const char* rid : {"a", "b", "c", "d"}) command_log.record(edge::StartRun{rid, ClassId{0}, ""});
    command_log.record(edge::StopRun{"b"});
    std::string ended;
    const auto read = [&](std::string_view bytes) {
      kernel::NoticeDecoder decoder;  // each connection has its own
      decoder.add(bytes);
      while (const auto notice = decoder.next())
        if (command_log.accept(*notice))
          if (const auto* report = std::get_if<edge::RunReport>(&notice->content)) ended += report->rid;
    };
    read(std::string_view(notices).substr(0, cut));
    const auto known = command_log.last_sequence();
    // The kernel replays what came after that; here all of it, as repeated notices must change nothing.
    read("BOOTED WARM 60000\r\n" + notices);
    CHECK(known <= 4);
    CHECK(ended == "abc");
    CHECK(command_log.last_sequence() == 4);
    const auto again = command_log.commands_to_resend();
    REQUIRE(again.size() == 1);
    CHECK(std::get<edge::StartRun>(again[0]).rid == "d");
  }
}

}  // namespace
}  // namespace granitegap
