// The in-flight command log of the kernel link.
#include <doctest/doctest.h>

#include "kernel/command_log.h"
#include "kernel/line_codec.h"

namespace granitegap {
namespace {

TEST_CASE("command log: only commands without a reported outcome are resent, stops after their runs") {
  kernel::CommandLog command_log;
  command_log.record(edge::StartRun{"b", ClassId{0}, ""});
  command_log.record(edge::StartRun{"a", ClassId{0}, ""});
  command_log.record(edge::StopRun{"b"});
  command_log.record(edge::StopRun{"never started"});
  CHECK(command_log.accept({1, edge::RunReport{"a", edge::RunOutcome::ok, {}, ""}}));
  CHECK_FALSE(command_log.accept({1, edge::RunReport{"b", edge::RunOutcome::ok, {}, ""}}));
  const auto resent = command_log.commands_to_resend();
  REQUIRE(resent.size() == 2);
  CHECK(std::get<edge::StartRun>(resent[0]).rid == "b");
  CHECK(std::get<edge::StopRun>(resent[1]).rid == "b");
  CHECK(command_log.last_sequence() == 1);
}

// The kernel outlives the tile server process. If the log accepted a sequence number of an earlier
// incarnation, it would reject the next notices of its own incarnation as replays.
TEST_CASE("command log: notices of an earlier incarnation are rejected, later ones of its own accepted") {
  kernel::CommandLog command_log;
  command_log.connection_opened();
  CHECK_FALSE(command_log.accept({57, edge::RunReport{"old", edge::RunOutcome::ok, {}, "x"}}));
  // Before BOOTED, so of an earlier incarnation.
  CHECK_FALSE(command_log.accept({1, kernel::IgnoredNotice{}}));
  CHECK(command_log.accept({0, edge::KernelStarted{}}));
  CHECK_FALSE(command_log.accept({58, edge::RunReport{"older", edge::RunOutcome::ok, {}, "x"}}));
  CHECK(command_log.last_sequence() == 0);
  command_log.record(edge::StartRun{"a", ClassId{0}, ""});
  CHECK(command_log.accept({1, kernel::IgnoredNotice{}}));
  CHECK(command_log.accept({2, edge::RunReport{"a", edge::RunOutcome::ok, {}, "x"}}));
  // Notices that the kernel no longer stores leave a gap in the sequence. The report of a run in flight is
  // accepted after the gap.
  command_log.record(edge::StartRun{"b", ClassId{0}, ""});
  CHECK(command_log.accept({9, edge::RunReport{"b", edge::RunOutcome::ok, {}, "x"}}));
  CHECK(command_log.last_sequence() == 9);
}

// Breaks the connection after each byte. The end of each run must be accepted exactly once, and exactly the
// commands without a reported outcome must be resent.
TEST_CASE("command log: a connection that breaks at any byte loses no notice and repeats none") {
  const std::string notices =
      "REAP 1 a OK 1.5 4\r\n\r\nx\n\r\nDMESG 2 a remark\r\nREAP 3 b STOPPED 2 0\r\n\r\nREAP 4 c OK 9 "
      "2\r\nok\r\n";
  for (std::size_t cut = 0; cut <= notices.size(); ++cut) {
    INFO("connection broken after ", cut, " bytes");
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
    const auto sequence_at_break = command_log.last_sequence();
    // The kernel replays only the notices after that number. Here it replays all of them, as repeated notices
    // must have no effect.
    read("BOOTED WARM 60000\r\n" + notices);
    CHECK(sequence_at_break <= 4);
    CHECK(ended == "abc");
    CHECK(command_log.last_sequence() == 4);
    const auto resent = command_log.commands_to_resend();
    REQUIRE(resent.size() == 1);
    CHECK(std::get<edge::StartRun>(resent[0]).rid == "d");
  }
}

}  // namespace
}  // namespace granitegap
